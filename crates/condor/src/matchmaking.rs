//! Matches procs against the kinds of machines, and explains why a proc matches none.

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

/// The result of matching a proc.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// Some kinds of machines are suitable.
    Match,
    /// No kind of machine is suitable.
    Never,
    /// It asks for something that does not exist or is unsupported.
    Refused,
    /// It may run once the reason of the hold no longer applies.
    Held,
}

/// The result for a request, shared by all procs with the same request.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub verdict: Verdict,
    /// The suitable kinds of machines.
    pub kinds: FixedBitSet,
    /// Rank of each kind, in the order of kinds; empty if none is preferred.
    pub ranks: Vec<f64>,
    pub reason: Option<String>,
    pub request: Option<Arc<Request>>,
}

/// The outcomes of a file's requests, and the outcome of each proc.
#[derive(Debug, Default)]
pub struct MatchResults {
    pub outcomes: Vec<Outcome>,
    /// For each proc, an index into `outcomes`.
    pub outcome_of_proc: Vec<u32>,
}

impl MatchResults {
    /// Returns the outcome of each proc in order.
    pub fn procs(&self) -> impl Iterator<Item = &Outcome> {
        self.outcome_of_proc
            .iter()
            .filter_map(|index| self.outcomes.get(*index as usize))
    }
}

/// Matches every proc of a file. Procs with the same request are matched once.
pub fn match_submission(submission: &Submission, cluster: u64, now_s: i64, site: &Site) -> MatchResults {
    match_until(submission, cluster, now_s, site, usize::MAX)
}

/// As [`match_submission`], but accepts a limited number of different requests.
///
/// # Errors
/// There are more different requests; those beyond the limit are not evaluated.
pub fn match_submission_at_most(
    submission: &Submission,
    cluster: u64,
    now_s: i64,
    site: &Site,
    max_outcomes: usize,
) -> Result<MatchResults, TooManyJobs> {
    let results = match_until(submission, cluster, now_s, site, max_outcomes);
    if results.outcomes.len() > max_outcomes {
        return Err(TooManyJobs(results.outcomes.len()));
    }
    Ok(results)
}

/// Matches procs until there are more than `max_outcomes` outcomes.
fn match_until(
    submission: &Submission,
    cluster: u64,
    now_s: i64,
    site: &Site,
    max_outcomes: usize,
) -> MatchResults {
    let mut matchmaker = Matchmaker {
        site,
        evaluator: Evaluator::new(now_s),
        cluster,
        now_s,
        capacity_cache: FxHashMap::default(),
        term_cache: FxHashMap::default(),
    };
    let mut results = MatchResults::default();
    for batch in &submission.batches {
        matchmaker.batch(batch, max_outcomes, &mut results);
    }
    results
}

struct Matchmaker<'s> {
    site: &'s Site,
    evaluator: Evaluator,
    cluster: u64,
    now_s: i64,
    /// Cache of the kinds with enough capacity, by the requested amounts and whether spot is allowed.
    capacity_cache: FxHashMap<[u64; 4], FixedBitSet>,
    /// Cache of terms that depend on machines alone, by fingerprint, with the kinds for which they
    /// are true.
    term_cache: FxHashMap<u64, (Expr, FixedBitSet)>,
}

/// Attributes that differ between procs with otherwise equal requests: an outcome that depends on
/// them is not shared.
const PER_PROC_ATTRIBUTES: [&str; 8] = ["procid", "args", "environment", "in", "out", "err", "iwd", "cmd"];

impl Matchmaker<'_> {
    fn batch(&mut self, batch: &Batch, max_outcomes: usize, results: &mut MatchResults) {
        // Values that only say what to run do not affect the match.
        let relevant: Vec<usize> = batch
            .varying
            .iter()
            .enumerate()
            .filter(|(_, entry)| affects_match(entry))
            .map(|(index, _)| index)
            .collect();
        let mut known: FxHashMap<Vec<&str>, u32> = FxHashMap::default();
        for proc in &batch.procs {
            if results.outcomes.len() > max_outcomes {
                return;
            }
            let values: Vec<&str> = relevant.iter().map(|index| &*proc.values[*index]).collect();
            if let Some(index) = known.get(&values) {
                results.outcome_of_proc.push(*index);
                continue;
            }
            let given = batch.entries(proc);
            let (outcome, shared) =
                match request::read(given, self.cluster, proc.process, self.now_s, self.site) {
                    Err(problems) => (refused(&problems, self.site), true),
                    Ok(reading) => self.request(reading),
                };
            results.outcomes.push(outcome);
            let index = results.outcomes.len() as u32 - 1;
            results.outcome_of_proc.push(index);
            if shared {
                known.insert(values, index);
            }
        }
    }

    /// Matches a request. Also returns whether procs with the same relevant values share the
    /// outcome.
    fn request(&mut self, reading: ParsedRequest) -> (Outcome, bool) {
        let ParsedRequest { request, ad } = reading;
        if self.evaluator.total_steps() > MAX_EVALUATION_STEPS {
            return (self.out_of_budget(), true);
        }
        let mut names = FxHashSet::default();
        let mut problems = Vec::new();
        for source_expr in [&request.requirements, &request.rank].into_iter().flatten() {
            self.check(source_expr, &ad, &mut names, &mut problems);
        }
        let shared = !PER_PROC_ATTRIBUTES
            .iter()
            .any(|attribute| names.contains(*attribute));
        if !problems.is_empty() {
            return (refused(&problems, self.site), shared);
        }
        if let Err(error) = request
            .counts
            .check(&self.site.counts, u64::from(request.concurrent_tasks()))
        {
            let reason = format!("concurrency_limits: {error}");
            return (self.unmatched(Verdict::Refused, reason, Some(request)), shared);
        }
        let kinds = self.kinds(&request, &ad, &names);
        if self.evaluator.total_steps() > MAX_EVALUATION_STEPS {
            return (self.out_of_budget(), shared);
        }
        if kinds.is_clear() {
            let reason = self.explain_no_match(&request, &ad);
            return (self.unmatched(Verdict::Never, reason, Some(request)), shared);
        }
        let ranks = self.ranks(&request, &ad);
        let mut holds = request.holds.clone();
        let limit = team_limit_excess(&request, self.site);
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

    fn out_of_budget(&self) -> Outcome {
        let reason = "the file's expressions take too many steps to be matched: split it";
        self.unmatched(Verdict::Refused, reason.to_owned(), None)
    }

    fn unmatched(&self, verdict: Verdict, reason: String, request: Option<Request>) -> Outcome {
        Outcome {
            verdict,
            kinds: FixedBitSet::with_capacity(self.site.kinds.all().len()),
            ranks: Vec::new(),
            reason: Some(reason),
            request: request.map(Arc::new),
        }
    }

    /// Checks that every name in an expression, and in the attributes that it refers to, is an
    /// attribute of the job or of some machine.
    fn check(
        &self,
        source_expr: &SourceExpr,
        ad: &Ad,
        names: &mut FxHashSet<Arc<str>>,
        problems: &mut Vec<Problem>,
    ) {
        let location = |index| source_expr.entry.definition.location_in_value(index);
        let what = &source_expr.entry.definition.name;
        for (function, index) in source_expr.expr.calls() {
            if !function.deterministic {
                let text = format!(
                    "{what}: {}() changes with time, and a match is made once",
                    function.name
                );
                problems.push(Problem {
                    location: location(index),
                    text,
                });
            }
        }
        let mut walker = ReferenceWalker {
            ad,
            kinds: &self.site.kinds,
            names,
            visiting: Vec::new(),
        };
        for reference in source_expr.expr.references() {
            if let Err(text) = walker.check_reference(&reference) {
                let location = location(reference.at);
                let text = format!("{what}: {text}");
                if problems.len() < MAX_PROBLEMS_SHOWN {
                    problems.push(Problem { location, text });
                }
            }
        }
    }

    fn has_capacity(request: &Request, kind: &MachineKind) -> bool {
        at_most(request.cpus, kind.cpus)
            && at_most(request.gpus, kind.gpus)
            && at_most(request.memory_gb, kind.memory_gb)
    }

    /// Whether spot machines are allowed. Without `+AllowSpot` they are if there is a requirements
    /// expression, which then decides on the kinds itself.
    fn spot_allowed(request: &Request) -> bool {
        request.allow_spot.unwrap_or(request.requirements.is_some())
    }

    fn kinds(&mut self, request: &Request, ad: &Ad, names: &FxHashSet<Arc<str>>) -> FixedBitSet {
        let all = self.site.kinds.all();
        let spot = Self::spot_allowed(request);
        let needs = [request.cpus, request.gpus, request.memory_gb].map(f64::to_bits);
        let needs_key = [needs[0], needs[1], needs[2], u64::from(spot)];
        let base = self.capacity_cache.entry(needs_key).or_insert_with(|| {
            let fitting = all
                .iter()
                .map(|kind| (spot || !kind.spot) && Self::has_capacity(request, kind));
            fitting
                .enumerate()
                .filter(|(_, has_capacity)| *has_capacity)
                .map(|(index, _)| index)
                .collect::<FixedBitSet>()
        });
        let mut kinds = base.clone();
        kinds.grow(all.len());
        let Some(source_expr) = &request.requirements else {
            return kinds;
        };
        // All terms must be true: each is evaluated only for the kinds that the previous ones
        // leave.
        for term in source_expr.expr.terms() {
            if kinds.is_clear() {
                break;
            }
            self.restrict_to_term(term, ad, names, &mut kinds);
        }
        kinds
    }

    /// Restricts the kinds to those for which a term is true. Terms that do not depend on the job
    /// have the same result for every request, and files repeat them: their results are cached.
    fn restrict_to_term(
        &mut self,
        term: &Expr,
        ad: &Ad,
        names: &FxHashSet<Arc<str>>,
        kinds: &mut FixedBitSet,
    ) {
        let calls = term.calls();
        // The attributes that eval() refers to are known only after evaluation.
        let uses_eval = calls.iter().any(|(function, _)| function.name == "eval");
        let depends_on_machine_only = !uses_eval
            && term.references().iter().all(|reference| match reference.scope {
                Scope::Target => true,
                Scope::Any => !ad.contains(reference.name),
                Scope::My => false,
            });
        let fingerprint = term.fingerprint();
        if depends_on_machine_only
            && let Some((known, holds)) = self.term_cache.get(&fingerprint)
            && known == term
        {
            kinds.intersect_with(holds);
            return;
        }
        let all = &self.site.kinds;
        let zone = uses_eval || names.contains("zone");
        let spot = uses_eval || names.contains("spot") || names.contains("rate");
        // Kinds with equal attributes as far as the term refers to them give the same result.
        let mut truth_by_class: Vec<Option<bool>> = vec![None; all.equivalence_class_count()];
        let mut holds = FixedBitSet::with_capacity(all.all().len());
        for (index, kind) in all.all().iter().enumerate() {
            let over_budget = self.evaluator.total_steps() > MAX_EVALUATION_STEPS;
            if over_budget || (!depends_on_machine_only && !kinds.contains(index)) {
                continue;
            }
            let equivalence_class = all.equivalence_class(kind, zone, spot);
            let truth = match truth_by_class.get(equivalence_class).copied().flatten() {
                Some(truth) => truth,
                None => {
                    let value = self.evaluator.evaluate(term, ad, Some(&kind.ad));
                    let truth = value.truth() == Some(true);
                    if let Some(known) = truth_by_class.get_mut(equivalence_class) {
                        *known = Some(truth);
                    }
                    truth
                }
            };
            holds.set(index, truth);
        }
        kinds.intersect_with(&holds);
        if depends_on_machine_only {
            if self.term_cache.len() >= TERM_CACHE_SIZE {
                self.term_cache.clear();
            }
            self.term_cache.insert(fingerprint, (term.clone(), holds));
        }
    }

    fn ranks(&mut self, request: &Request, ad: &Ad) -> Vec<f64> {
        let Some(source_expr) = &request.rank else {
            return Vec::new();
        };
        let kinds = &self.site.kinds;
        let mut rank = |kind: &MachineKind| {
            let value = self.evaluator.evaluate(&source_expr.expr, ad, Some(&kind.ad));
            // A rank that is not a number counts as 0.
            value.as_number().filter(|rank| rank.is_finite()).unwrap_or(0.0)
        };
        let ranks: Vec<f64> = kinds.all().iter().map(&mut rank).collect();
        if ranks.windows(2).all(|two| two[0] == two[1]) {
            return Vec::new();
        }
        ranks
    }

    /// Explains why no kind is suitable: which kinds each term and each amount excludes.
    fn explain_no_match(&mut self, request: &Request, ad: &Ad) -> String {
        let kinds = &self.site.kinds;
        if kinds.all().is_empty() {
            return "no kind of machine is known".to_owned();
        }
        let mut parts = Vec::new();
        let mut add_exclusion = |what: String, excluded: Vec<&MachineKind>| {
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
        let kinds_without = |is_suitable: &dyn Fn(&MachineKind) -> bool| -> Vec<&MachineKind> {
            kinds.all().iter().filter(|kind| !is_suitable(kind)).collect()
        };
        if let Some(source_expr) = &request.requirements {
            for term in source_expr.expr.terms().into_iter().take(MAX_TERMS_SHOWN) {
                if self.evaluator.total_steps() > MAX_EVALUATION_STEPS {
                    break;
                }
                let mut excluded = Vec::new();
                let mut causes = Vec::new();
                for kind in kinds.all() {
                    let value = self.evaluator.evaluate(term, ad, Some(&kind.ad));
                    if value.truth() == Some(true) {
                        continue;
                    }
                    excluded.push(kind);
                    let cause = match value {
                        Value::Undefined => "UNDEFINED".to_owned(),
                        Value::Error => {
                            let fault = self.evaluator.fault().map(ToString::to_string);
                            format!("ERROR: {}", fault.unwrap_or_default())
                        }
                        _ => continue,
                    };
                    if !causes.contains(&cause) {
                        causes.push(cause);
                    }
                }
                let location = source_expr.entry.definition.location_in_value(term.at);
                let mut what = format!("{term} ({}:{})", location.line, location.column);
                if !causes.is_empty() {
                    what = format!("{what}, being {},", causes.join(" or "));
                }
                add_exclusion(what, excluded);
            }
        }
        if !Self::spot_allowed(request) {
            add_exclusion("no +AllowSpot".to_owned(), kinds_without(&|kind| !kind.spot));
        }
        add_exclusion(
            format!("request_cpus {}", request.cpus),
            kinds_without(&|kind| at_most(request.cpus, kind.cpus)),
        );
        add_exclusion(
            format!("request_gpus {}", request.gpus),
            kinds_without(&|kind| at_most(request.gpus, kind.gpus)),
        );
        add_exclusion(
            format!("request_memory {:.0} MiB", request.memory_gb * MIB_PER_GB),
            kinds_without(&|kind| at_most(request.memory_gb, kind.memory_gb)),
        );
        format!("no kind of machine does: {}", parts.join("; "))
    }
}

fn affects_match(entry: &SubmitEntry) -> bool {
    match entry.kind {
        EntryKind::Attribute => true,
        EntryKind::Command(command) => match command.effect {
            Effect::SetsField(_) | Effect::Unsupported { .. } => true,
            Effect::CopiedToAd(_) | Effect::Ignored(_) => false,
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

/// Whether an amount is at most another, with a tolerance for sums of decimal fractions.
fn at_most(amount: f64, limit: f64) -> bool {
    amount <= limit + 1e-6
}

/// Describes by what a request exceeds its team's limit, if it does.
fn team_limit_excess(request: &Request, site: &Site) -> Option<String> {
    let team = site.teams.iter().find(|team| team.name == request.team)?;
    let together = f64::from(request.concurrent_tasks());
    let excess = |what: &str, each: f64, limit: f64| {
        let all = each * together;
        (limit > 0.0 && !at_most(all, limit)).then(|| {
            format!(
                "it needs {all} {what} at once, more than team {}'s limit of {limit}",
                team.name
            )
        })
    };
    excess("CPUs", request.cpus, team.cpus_max).or_else(|| excess("GPUs", request.gpus, team.gpus_max))
}

/// Follows the references of an expression through the job's attributes.
struct ReferenceWalker<'a> {
    ad: &'a Ad,
    kinds: &'a MachineKinds,
    /// Lower-case names that were referred to.
    names: &'a mut FxHashSet<Arc<str>>,
    visiting: Vec<Name>,
}

impl ReferenceWalker<'_> {
    fn check_reference(&mut self, reference: &Reference<'_>) -> Result<(), String> {
        let name = reference.name;
        let of_job = reference.scope != Scope::Target && self.ad.contains(name);
        let of_machine = reference.scope != Scope::My && self.kinds.attributes().contains(name);
        if !of_job && !of_machine {
            return Err(self.unknown_attribute(reference));
        }
        self.names.insert(name.shared_key());
        if !of_job {
            return Ok(());
        }
        if self.visiting.contains(name) {
            return Err(format!("{name} refers to itself"));
        }
        let Some(expr) = self.ad.get(name.text()) else {
            return Ok(());
        };
        if matches!(expr.kind, indigopath_classad::Kind::Literal(_)) {
            return Ok(());
        }
        self.visiting.push(name.clone());
        for inner in expr.references() {
            self.check_reference(&inner)
                .map_err(|text| format!("{text} (in {name})"))?;
        }
        self.visiting.pop();
        Ok(())
    }

    fn unknown_attribute(&self, reference: &Reference<'_>) -> String {
        let job: Vec<&Name> = self.ad.names().collect();
        let (lacking, scope) = match reference.scope {
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
        let nearest_names = nearest(reference.name.text(), known.iter().copied());
        let text = format!("{lacking} an attribute {scope}{}", reference.name);
        if nearest_names.is_empty() {
            let shown = &known[known.len().saturating_sub(MAX_NAMES_SHOWN)..];
            format!("{text}; there are {}", shown.join(", "))
        } else {
            format!("{text}; the nearest are {}", nearest_names.join(", "))
        }
    }
}

/// Returns the parser's notes, and a note on each command that has no effect here.
pub fn notes(submission: &Submission) -> Vec<(SourceLocation, String)> {
    let mut notes: Vec<(SourceLocation, String)> = submission
        .notes
        .iter()
        .map(|note| (note.location.clone(), note.text.clone()))
        .collect();
    let mut noted_commands = FxHashSet::default();
    for batch in &submission.batches {
        for entry in batch.shared.iter().map(|(entry, _)| entry).chain(&batch.varying) {
            if let EntryKind::Command(command) = entry.kind
                && let Effect::Ignored(cause) = command.effect
                && noted_commands.insert(command.name)
            {
                let text = format!("{} changes nothing here: {cause}", command.name);
                notes.push((entry.definition.location(), text));
            }
        }
    }
    notes.sort();
    notes
}
