//! Plans the jobs that a submission becomes.

use super::{ProcsOutcome, SubmitRejection, job_id};
use crate::constants::{MAX_DURATION_S, MAX_NAME_BYTES, MAX_VALUE_SHARE};
use crate::model::{JobSpec, Resources};
use crate::protocol::{Priority, Shape};
use crate::storage::records::Record;
use indigopath_condor::cluster::{JobArray, group_into_arrays};
use indigopath_condor::constants::{MAX_CLUSTER_JOBS, MAX_CLUSTER_PROCS};
use indigopath_condor::{
    Bundle, EntryKind, KindSet, MatchResults, Outcome, PriorityBand, ProcSet, Request, Site, Submission,
    SubmitOrigin, Verdict, match_submission_at_most, notes, read,
};
use std::sync::Arc;

/// The jobs of a cluster, and what the response tells its submitter.
#[derive(Debug)]
pub struct Plan {
    pub jobs: Vec<JobSpec>,
    pub procs: u32,
    pub held: Vec<ProcsOutcome>,
    pub notes: Vec<String>,
}

/// Maximum number of reasons in a response; further ones are usually alike.
const MAX_REASONS: usize = 20;

/// Maximum length of the command line kept for display, in characters.
const MAX_CMD_CHARS: usize = 120;

impl Plan {
    /// Returns the digest by which two nodes tell whether they made the same plan.
    pub fn digest(&self) -> String {
        let jobs = serde_json::to_vec(&self.jobs).unwrap_or_default();
        blake3::hash(&jobs).to_hex()[..32].to_owned()
    }
}

/// Plans a submission as the cluster with the given number. `submitted_ms` is recorded as its
/// submission time, and `value_kb` limits the size of a record.
///
/// # Errors
/// Returns a rejection if the file cannot be parsed, or if any proc is refused or could never run.
pub fn plan(
    bundle: &Bundle,
    cluster: u64,
    site: &Site,
    submitted_ms: u64,
    value_kb: f64,
) -> Result<Plan, SubmitRejection> {
    let rejection = |error: String| SubmitRejection {
        error,
        refused: Vec::new(),
    };
    let submission = read(&bundle.text, &bundle.file, cluster, bundle.at_s, bundle)
        .map_err(|error| rejection(error.to_string()))?;
    if submission.procs() > MAX_CLUSTER_PROCS {
        return Err(rejection(format!(
            "the file has {} procs; at most {MAX_CLUSTER_PROCS} are taken at once: split it",
            submission.procs()
        )));
    }
    if submission.procs() == 0 {
        return Err(rejection("the file has no procs".to_owned()));
    }
    let results = match_submission_at_most(&submission, cluster, bundle.at_s, site, MAX_CLUSTER_JOBS)
        .map_err(|error| rejection(error.to_string()))?;
    let bad = outcomes_with(&results, |verdict| {
        matches!(verdict, Verdict::Refused | Verdict::Never)
    });
    if let Some(first) = bad.first() {
        return Err(SubmitRejection {
            error: format!("procs {}: {}", first.procs, first.reason),
            refused: bad,
        });
    }
    let arrays = group_into_arrays(&results).map_err(|error| rejection(error.to_string()))?;
    let mut jobs = Vec::with_capacity(arrays.len());
    for (index, array) in (0u32..).zip(&arrays) {
        let outcome = &results.outcomes[array.outcome];
        let Some(request) = &outcome.request else { continue };
        let mut spec = job_spec(request, outcome, array, site);
        spec.id = job_id(cluster, index);
        spec.submitted_ms = submitted_ms;
        spec.condor = Some(Arc::new(SubmitOrigin {
            cluster,
            procs: ProcSet::new(&array.procs),
            owner: bundle.owner.clone(),
            cmd: command_line(&submission, array.procs.first().copied().unwrap_or(0)),
            holds: request.holds.clone(),
        }));
        for (what, name) in [("class", &spec.class), ("team", &spec.team)] {
            if name.len() > MAX_NAME_BYTES {
                return Err(rejection(format!("the name of its {what} is too long")));
            }
        }
        if spec.image.is_empty() || spec.image.len() > MAX_NAME_BYTES {
            return Err(rejection("the name of its image is too long".to_owned()));
        }
        if !(0.0..=MAX_DURATION_S).contains(&spec.estimate_s) {
            return Err(rejection("its estimate is out of range".to_owned()));
        }
        if spec.to_text().get().len() as f64 > value_kb * 1024.0 * MAX_VALUE_SHARE {
            return Err(rejection("a record of it would be too large".to_owned()));
        }
        jobs.push(spec);
    }
    Ok(Plan {
        jobs,
        procs: submission.procs() as u32,
        held: outcomes_with(&results, |verdict| verdict == Verdict::Held),
        notes: notes(&submission)
            .into_iter()
            .take(MAX_REASONS)
            .map(|(place, text)| format!("{place}: {text}"))
            .collect(),
    })
}

/// Returns the procs with selected verdicts, with their reasons.
fn outcomes_with(results: &MatchResults, selected: impl Fn(Verdict) -> bool) -> Vec<ProcsOutcome> {
    let mut found = Vec::new();
    for (position, outcome) in results.outcomes.iter().enumerate() {
        if found.len() >= MAX_REASONS {
            break;
        }
        if selected(outcome.verdict) {
            let procs = (0u32..)
                .zip(&results.outcome_of_proc)
                .filter(|(_, of)| **of as usize == position);
            let procs: Vec<u32> = procs.map(|(proc, _)| proc).collect();
            found.push(ProcsOutcome {
                procs: ProcSet::new(&procs).text(),
                verdict: format!("{:?}", outcome.verdict).to_lowercase(),
                reason: outcome.reason.clone().unwrap_or_default(),
            });
        }
    }
    found
}

fn job_spec(request: &Request, outcome: &Outcome, array: &JobArray, site: &Site) -> JobSpec {
    let kinds = KindSet::from_outcome(outcome, &site.kinds);
    let spot = kinds.any_spot();
    // Without an expression, machine types added later fit as well: no kinds are stored.
    let any = request.requirements.is_none() && outcome.ranks.is_empty();
    JobSpec {
        id: job_id(0, 0),
        class: request.class.clone(),
        team: request.team.clone(),
        shape: match request.gang {
            Some(_) => Shape::Gang,
            None => Shape::Array,
        },
        priority: match request.priority {
            PriorityBand::High => Priority::High,
            PriorityBand::Normal => Priority::Normal,
            PriorityBand::Low => Priority::Low,
        },
        tasks: request.gang.unwrap_or(array.procs.len() as u32),
        needs: Resources {
            cpus: request.cpus,
            gpus: request.gpus,
            memory_gb: request.memory_gb,
        },
        image: request.image.clone(),
        image_gb: request.image_gb,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot,
        estimate_s: request.estimate_s,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        counts: request.counts.clone(),
        kinds: (!any).then(|| Arc::new(kinds)),
        condor: None,
        submitted_ms: 0,
    }
}

/// Returns a proc's executable and arguments, shortened for display.
fn command_line(submission: &Submission, proc: u32) -> String {
    let mut words = [String::new(), String::new()];
    let found = submission
        .batches
        .iter()
        .find_map(|batch| Some((batch, batch.procs.iter().find(|own| own.process == proc)?)));
    if let Some((batch, proc)) = found {
        for (entry, value) in batch.entries(proc) {
            if let EntryKind::Command(command) = entry.kind {
                match command.name {
                    "executable" => words[0] = value.to_owned(),
                    "arguments" => words[1] = value.to_owned(),
                    _ => (),
                }
            }
        }
    }
    words.join(" ").trim().chars().take(MAX_CMD_CHARS).collect()
}
