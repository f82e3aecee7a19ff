//! Which machines do for a proc, and if none do, why not.

use crate::cluster::{Hold, HoldReason, TooManyJobs};
use crate::constants::{
    MAX_EVALUATION_STEPS, MAX_KINDS_SHOWN, MAX_NAMES_SHOWN, MAX_PROBLEMS_SHOWN, MAX_TERMS_SHOWN, MIB_PER_GB,
    TERM_CACHE_SIZE,
};
use crate::request::{self, ParsedRequest, Problem, Request, SourceExpr};
use crate::site::{MachineKind, MachineKinds, Site};
use crate::submit::{Batch, EntryKind, Submission, SubmitEntry};
use crate::{commands::Effect, source::SourceLocation};
use fixedbitset::FixedBitSet;
use indigopath_classad::{Ad, Evaluator, Expr, Name, Reference, Scope, Value, nearest};
use rustc_hash::{FxHashMap, FxHashSet};
use serde::Serialize;
use std::sync::Arc;

/// What becomes of a proc.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// There are machines that do.
    Match,
    /// No kind of machine does.
    Never,
    /// It asks for what is not there, or is not done here.
    Refused,
    /// It may run once its reason is gone.
    Held,
}

/// The same for all procs that ask for the same.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub verdict: Verdict,
    /// Kinds of machines that do.
    pub kinds: FixedBitSet,
    /// How much each kind is liked, in the order of kinds; empty if none is preferred.
    pub ranks: Vec<f64>,
    pub reason: Option<String>,
    pub request: Option<Arc<Request>>,
}

/// Outcomes, and which of them is each proc's.
#[derive(Debug, Default)]
pub struct MatchResults {
    pub outcomes: Vec<Outcome>,
    /// By proc, a position in `outcomes`.
    pub outcome_of_proc: Vec<u32>,
}

impl MatchResults {
    /// Outcomes proc by proc.
    pub fn procs(&self) -> impl Iterator<Item = &Outcome> {
        self.outcome_of_proc
            .iter()
            .filter_map(|at| self.outcomes.get(*at as usize))
    }
}

/// Judges every proc of a file. Those that ask for the same are judged once.
pub fn match_submission(submission: &Submission, cluster: u64, now_s: i64, site: &Site) -> MatchResults {
    match_until(submission, cluster, now_s, site, usize::MAX)
}

/// The same for who takes only so many different requests.
///
/// # Errors
/// There are more; no time is spent on those beyond.
pub fn match_submission_at_most(
    submission: &Submission,
    cluster: u64,
    now_s: i64,
    site: &Site,
    most: usize,
) -> Result<MatchResults, TooManyJobs> {
    let results = match_until(submission, cluster, now_s, site, most);
    if results.outcomes.len() > most {
        return Err(TooManyJobs(results.outcomes.len()));
    }
    Ok(results)
}

/// Judges until there are more than `most` outcomes.
fn match_until(submission: &Submission, cluster: u64, now_s: i64, site: &Site, most: usize) -> MatchResults {
    let mut matchmaker = Matchmaker {
        site,
        evaluator: Evaluator::new(now_s),
        cluster,
        now_s,
        matched: FxHashMap::default(),
        terms: FxHashMap::default(),
    };
    let mut results = MatchResults::default();
    for batch in &submission.batches {
        matchmaker.batch(batch, most, &mut results);
    }
    results
}

struct Matchmaker<'s> {
    site: &'s Site,
    evaluator: Evaluator,
    cluster: u64,
    now_s: i64,
    /// What requests without an expression come to, by what they need.
    matched: FxHashMap<[u64; 4], FixedBitSet>,
    /// Terms that look at machines alone, by their fingerprint, and the kinds that they hold
    /// for.
    terms: FxHashMap<u64, (Expr, FixedBitSet)>,
}

/// Attributes that tell procs apart which otherwise ask for the same.
const OWN: [&str; 8] = ["procid", "args", "environment", "in", "out", "err", "iwd", "cmd"];

impl Matchmaker<'_> {
    fn batch(&mut self, batch: &Batch, most: usize, results: &mut MatchResults) {
        // What merely says what runs does not change where it may.
        let telling: Vec<usize> = batch
            .varying
            .iter()
            .enumerate()
            .filter(|(_, entry)| tells(entry))
            .map(|(at, _)| at)
            .collect();
        let mut known: FxHashMap<Vec<&str>, u32> = FxHashMap::default();
        for proc in &batch.procs {
            if results.outcomes.len() > most {
                return;
            }
            let values: Vec<&str> = telling.iter().map(|at| &*proc.values[*at]).collect();
            if let Some(at) = known.get(&values) {
                results.outcome_of_proc.push(*at);
                continue;
            }
            let given = batch.entries(proc);
            let (outcome, shared) =
                match request::read(given, self.cluster, proc.process, self.now_s, self.site) {
                    Err(problems) => (refused(&problems, self.site), true),
                    Ok(reading) => self.request(reading),
                };
            results.outcomes.push(outcome);
            let at = results.outcomes.len() as u32 - 1;
            results.outcome_of_proc.push(at);
            if shared {
                known.insert(values, at);
            }
        }
    }

    /// What becomes of a request, and whether others with the same telling values share it.
    fn request(&mut self, reading: ParsedRequest) -> (Outcome, bool) {
        let ParsedRequest { request, ad } = reading;
        if self.evaluator.spent() > MAX_EVALUATION_STEPS {
            return (self.too_costly(), true);
        }
        let mut names = FxHashSet::default();
        let mut problems = Vec::new();
        for asked in [&request.requirements, &request.rank].into_iter().flatten() {
            self.check(asked, &ad, &mut names, &mut problems);
        }
        let shared = !OWN.iter().any(|own| names.contains(*own));
        if !problems.is_empty() {
            return (refused(&problems, self.site), shared);
        }
        if let Err(error) = request
            .counts
            .check(&self.site.counts, u64::from(request.concurrent_tasks()))
        {
            let reason = format!("concurrency_limits: {error}");
            return (
                self.without_kinds(Verdict::Refused, reason, Some(request)),
                shared,
            );
        }
        let kinds = self.kinds(&request, &ad, &names);
        if self.evaluator.spent() > MAX_EVALUATION_STEPS {
            return (self.too_costly(), shared);
        }
        if kinds.is_clear() {
            let reason = self.why_none(&request, &ad);
            return (self.without_kinds(Verdict::Never, reason, Some(request)), shared);
        }
        let ranks = self.ranks(&request, &ad);
        let mut holds = request.holds.clone();
        let limit = over_limit(&request, self.site);
        holds.extend(limit.map(|text| Hold {
            reason: HoldReason::Limit,
            text,
        }));
        let outcome = Outcome {
            verdict: if holds.is_empty() {
                Verdict::Match
            } else {
                Verdict::Held
            },
            kinds,
            ranks,
            reason: (!holds.is_empty()).then(|| {
                let texts: Vec<&str> = holds.iter().map(|hold| hold.text.as_str()).collect();
                texts.join("; ")
            }),
            request: Some(Arc::new(Request { holds, ..request })),
        };
        (outcome, shared)
    }

    fn too_costly(&self) -> Outcome {
        let reason = "the file's expressions take too many steps to be matched: split it";
        self.without_kinds(Verdict::Refused, reason.to_owned(), None)
    }

    fn without_kinds(&self, verdict: Verdict, reason: String, request: Option<Request>) -> Outcome {
        Outcome {
            verdict,
            kinds: FixedBitSet::with_capacity(self.site.kinds.all().len()),
            ranks: Vec::new(),
            reason: Some(reason),
            request: request.map(Arc::new),
        }
    }

    /// Whether every name in an expression, and in what it refers to, is somebody's.
    fn check(
        &self,
        asked: &SourceExpr,
        ad: &Ad,
        names: &mut FxHashSet<Arc<str>>,
        problems: &mut Vec<Problem>,
    ) {
        let location = |at| asked.entry.definition.location_in_value(at);
        let what = &asked.entry.definition.name;
        for (function, at) in asked.expr.calls() {
            if !function.steady {
                let text = format!(
                    "{what}: {}() changes with time, and a match is made once",
                    function.name
                );
                problems.push(Problem {
                    location: location(at),
                    text,
                });
            }
        }
        let mut walk = Walk {
            ad,
            kinds: &self.site.kinds,
            names,
            open: Vec::new(),
        };
        for reference in asked.expr.references() {
            if let Err(text) = walk.follow(&reference) {
                let location = location(reference.at);
                let text = format!("{what}: {text}");
                if problems.len() < MAX_PROBLEMS_SHOWN {
                    problems.push(Problem { location, text });
                }
            }
        }
    }

    fn fits(request: &Request, kind: &MachineKind) -> bool {
        within(request.cpus, kind.cpus)
            && within(request.gpus, kind.gpus)
            && within(request.memory_gb, kind.memory_gb)
    }

    /// Whether spot machines are out because nobody asked for them: an expression says for
    /// itself which kinds do.
    fn spot_allowed(request: &Request) -> bool {
        request.allow_spot.unwrap_or(request.requirements.is_some())
    }

    fn kinds(&mut self, request: &Request, ad: &Ad, names: &FxHashSet<Arc<str>>) -> FixedBitSet {
        let all = self.site.kinds.all();
        let spot = Self::spot_allowed(request);
        let needs = [request.cpus, request.gpus, request.memory_gb].map(f64::to_bits);
        let needs_key = [needs[0], needs[1], needs[2], u64::from(spot)];
        let base = self.matched.entry(needs_key).or_insert_with(|| {
            let fitting = all
                .iter()
                .map(|kind| (spot || !kind.spot) && Self::fits(request, kind));
            fitting
                .enumerate()
                .filter(|(_, fits)| *fits)
                .map(|(at, _)| at)
                .collect::<FixedBitSet>()
        });
        let mut kinds = base.clone();
        kinds.grow(all.len());
        let Some(asked) = &request.requirements else {
            return kinds;
        };
        // All terms must hold: each is asked of the kinds that those before it leave.
        for term in asked.expr.terms() {
            if kinds.is_clear() {
                break;
            }
            self.narrow(term, ad, names, &mut kinds);
        }
        kinds
    }

    /// Leaves the kinds for which a term holds. What does not look at the job comes to the
    /// same for every request, and files repeat themselves: it is remembered.
    fn narrow(&mut self, term: &Expr, ad: &Ad, names: &FxHashSet<Arc<str>>, kinds: &mut FixedBitSet) {
        let calls = term.calls();
        // What eval() looks at is known only once it has.
        let any = calls.iter().any(|(function, _)| function.name == "eval");
        let of_machines = !any
            && term.references().iter().all(|reference| match reference.scope {
                Scope::Target => true,
                Scope::Any => !ad.contains(reference.name),
                Scope::My => false,
            });
        let fingerprint = term.fingerprint();
        if of_machines
            && let Some((known, holds)) = self.terms.get(&fingerprint)
            && known == term
        {
            kinds.intersect_with(holds);
            return;
        }
        let all = &self.site.kinds;
        let zone = any || names.contains("zone");
        let spot = any || names.contains("spot") || names.contains("rate");
        // Kinds that do not differ in what it looks at come to the same.
        let mut by_class: Vec<Option<bool>> = vec![None; all.equivalence_class_count()];
        let mut holds = FixedBitSet::with_capacity(all.all().len());
        for (at, kind) in all.all().iter().enumerate() {
            let beyond = self.evaluator.spent() > MAX_EVALUATION_STEPS;
            if beyond || (!of_machines && !kinds.contains(at)) {
                continue;
            }
            let class = all.equivalence_class(kind, zone, spot);
            let truth = match by_class.get(class).copied().flatten() {
                Some(truth) => truth,
                None => {
                    let value = self.evaluator.evaluate(term, ad, Some(&kind.ad));
                    let truth = value.truth() == Some(true);
                    if let Some(known) = by_class.get_mut(class) {
                        *known = Some(truth);
                    }
                    truth
                }
            };
            holds.set(at, truth);
        }
        kinds.intersect_with(&holds);
        if of_machines {
            if self.terms.len() >= TERM_CACHE_SIZE {
                self.terms.clear();
            }
            self.terms.insert(fingerprint, (term.clone(), holds));
        }
    }

    fn ranks(&mut self, request: &Request, ad: &Ad) -> Vec<f64> {
        let Some(asked) = &request.rank else {
            return Vec::new();
        };
        let kinds = &self.site.kinds;
        let mut rank = |kind: &MachineKind| {
            let value = self.evaluator.evaluate(&asked.expr, ad, Some(&kind.ad));
            // What is no number is no preference.
            value.as_number().filter(|rank| rank.is_finite()).unwrap_or(0.0)
        };
        let ranks: Vec<f64> = kinds.all().iter().map(&mut rank).collect();
        if ranks.windows(2).all(|two| two[0] == two[1]) {
            return Vec::new();
        }
        ranks
    }

    /// Term by term, which kinds each excludes.
    fn why_none(&mut self, request: &Request, ad: &Ad) -> String {
        let kinds = &self.site.kinds;
        if kinds.all().is_empty() {
            return "no kind of machine is known".to_owned();
        }
        let mut parts = Vec::new();
        let mut tell = |what: String, excluded: Vec<&MachineKind>| {
            let names = excluded.iter().take(MAX_KINDS_SHOWN).map(ToString::to_string);
            let names = names.collect::<Vec<_>>().join(", ");
            let shown = match excluded.len() {
                0 => return,
                all if all == kinds.all().len() => format!("all {all} kinds"),
                some if some <= MAX_KINDS_SHOWN => names,
                some => format!("{names}, … ({some} of {} kinds)", kinds.all().len()),
            };
            parts.push(format!("{what} excludes {shown}"));
        };
        let without = |does: &dyn Fn(&MachineKind) -> bool| -> Vec<&MachineKind> {
            kinds.all().iter().filter(|kind| !does(kind)).collect()
        };
        if let Some(asked) = &request.requirements {
            for term in asked.expr.terms().into_iter().take(MAX_TERMS_SHOWN) {
                if self.evaluator.spent() > MAX_EVALUATION_STEPS {
                    break;
                }
                let mut excluded = Vec::new();
                let mut because = Vec::new();
                for kind in kinds.all() {
                    let value = self.evaluator.evaluate(term, ad, Some(&kind.ad));
                    if value.truth() == Some(true) {
                        continue;
                    }
                    excluded.push(kind);
                    let why = match value {
                        Value::Undefined => "UNDEFINED".to_owned(),
                        Value::Error => {
                            let fault = self.evaluator.fault().map(ToString::to_string);
                            format!("ERROR: {}", fault.unwrap_or_default())
                        }
                        _ => continue,
                    };
                    if !because.contains(&why) {
                        because.push(why);
                    }
                }
                let location = asked.entry.definition.location_in_value(term.at);
                let mut what = format!("{term} ({}:{})", location.line, location.column);
                if !because.is_empty() {
                    what = format!("{what}, being {},", because.join(" or "));
                }
                tell(what, excluded);
            }
        }
        if !Self::spot_allowed(request) {
            tell("no +AllowSpot".to_owned(), without(&|kind| !kind.spot));
        }
        tell(
            format!("request_cpus {}", request.cpus),
            without(&|kind| within(request.cpus, kind.cpus)),
        );
        tell(
            format!("request_gpus {}", request.gpus),
            without(&|kind| within(request.gpus, kind.gpus)),
        );
        tell(
            format!("request_memory {:.0} MiB", request.memory_gb * MIB_PER_GB),
            without(&|kind| within(request.memory_gb, kind.memory_gb)),
        );
        format!("no kind of machine does: {}", parts.join("; "))
    }
}

fn tells(entry: &SubmitEntry) -> bool {
    match entry.kind {
        EntryKind::Attribute => true,
        EntryKind::Command(command) => match command.effect {
            Effect::Means(_) | Effect::Refused { .. } => true,
            Effect::Carried(_) | Effect::Noted(_) => false,
        },
    }
}

fn refused(problems: &[Problem], site: &Site) -> Outcome {
    let shown: Vec<String> = problems
        .iter()
        .take(MAX_PROBLEMS_SHOWN)
        .map(ToString::to_string)
        .collect();
    let mut reason = shown.join("; ");
    if problems.len() > MAX_PROBLEMS_SHOWN {
        reason = format!("{reason}; and {} more", problems.len() - MAX_PROBLEMS_SHOWN);
    }
    Outcome {
        verdict: Verdict::Refused,
        kinds: FixedBitSet::with_capacity(site.kinds.all().len()),
        ranks: Vec::new(),
        reason: Some(reason),
        request: None,
    }
}

/// Whether an amount is no more than another, sums of decimals allowed for.
fn within(amount: f64, most: f64) -> bool {
    amount <= most + 1e-6
}

/// What a request asks for beyond its team's limit, if anything.
fn over_limit(request: &Request, site: &Site) -> Option<String> {
    let team = site.teams.iter().find(|team| team.name == request.team)?;
    let together = f64::from(request.concurrent_tasks());
    let over = |what: &str, each: f64, most: f64| {
        let all = each * together;
        (most > 0.0 && !within(all, most)).then(|| {
            format!(
                "it needs {all} {what} at once, more than team {}'s limit of {most}",
                team.name
            )
        })
    };
    over("CPUs", request.cpus, team.cpus_max).or_else(|| over("GPUs", request.gpus, team.gpus_max))
}

/// Follows names from an expression through the job's own attributes.
struct Walk<'a> {
    ad: &'a Ad,
    kinds: &'a MachineKinds,
    /// Lower-case names that were met.
    names: &'a mut FxHashSet<Arc<str>>,
    open: Vec<Name>,
}

impl Walk<'_> {
    fn follow(&mut self, reference: &Reference<'_>) -> Result<(), String> {
        let name = reference.name;
        let of_job = reference.scope != Scope::Target && self.ad.contains(name);
        let of_machine = reference.scope != Scope::My && self.kinds.attributes().contains(name);
        if !of_job && !of_machine {
            return Err(self.unknown(reference));
        }
        self.names.insert(name.shared_key());
        if !of_job {
            return Ok(());
        }
        if self.open.contains(name) {
            return Err(format!("{name} refers to itself"));
        }
        let Some(expr) = self.ad.get(name.text()) else {
            return Ok(());
        };
        if matches!(expr.kind, indigopath_classad::Kind::Literal(_)) {
            return Ok(());
        }
        self.open.push(name.clone());
        for inner in expr.references() {
            self.follow(&inner)
                .map_err(|text| format!("{text} (in {name})"))?;
        }
        self.open.pop();
        Ok(())
    }

    fn unknown(&self, reference: &Reference<'_>) -> String {
        let job: Vec<&Name> = self.ad.names().collect();
        let (whose, scope) = match reference.scope {
            Scope::Any => ("neither the job nor any machine has", ""),
            Scope::My => ("the job does not have", "MY."),
            Scope::Target => ("no machine has", "TARGET."),
        };
        let known = job
            .into_iter()
            .filter(|_| reference.scope != Scope::Target)
            .chain(
                self.kinds
                    .attributes()
                    .iter()
                    .filter(|_| reference.scope != Scope::My),
            );
        let known: Vec<&str> = known.map(Name::text).collect();
        let near = nearest(reference.name.text(), known.iter().copied());
        let text = format!("{whose} an attribute {scope}{}", reference.name);
        if near.is_empty() {
            let shown = &known[known.len().saturating_sub(MAX_NAMES_SHOWN)..];
            format!("{text}; there are {}", shown.join(", "))
        } else {
            format!("{text}; the nearest are {}", near.join(", "))
        }
    }
}

/// Everything that the submitter should know of commands that change nothing here.
pub fn notes(submission: &Submission) -> Vec<(SourceLocation, String)> {
    let mut notes: Vec<(SourceLocation, String)> = submission
        .notes
        .iter()
        .map(|note| (note.location.clone(), note.text.clone()))
        .collect();
    let mut told = FxHashSet::default();
    for batch in &submission.batches {
        for entry in batch.shared.iter().map(|(entry, _)| entry).chain(&batch.varying) {
            if let EntryKind::Command(command) = entry.kind
                && let Effect::Noted(why) = command.effect
                && told.insert(command.name)
            {
                let text = format!("{} changes nothing here: {why}", command.name);
                notes.push((entry.definition.location(), text));
            }
        }
    }
    notes.sort();
    notes
}
