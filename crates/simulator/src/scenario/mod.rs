//! Parses and runs scenarios. A line is `at SECONDS VERB …`, `expect …` (checked at the end), `teams
//! GPUS` (the GPU limit of each team, for a large fleet) or `until SECONDS`; `#` starts a comment.
//! `count NAME units=4 linger=20 red=2 server` defines a counted resource, with a team's share and
//! optionally a licence server that the leader polls.
//!
//! Every class and team must be served at least half of what it requested by the end (see
//! [`Simulation::served_shares`]), or the line `unserved class=batch` declares an exception, which
//! must then apply.
//!
//! Of the largest tenth of each shape and class, half must be served, and each job must start within
//! four minutes of its acceptance, or `largest unserved sweep/batch because …` and `largest late
//! gang/batch because …` declare exceptions, which must apply, too. Users poll each accepted job
//! every 5 s; once no fault is left, no job may go 75 s without a response, without exception. After
//! `until` all faults end, and the simulation continues until every job was polled once more.
//!
//! No job may wait for 90 s beside free capacity once no fault is left (see the module
//! `waiting_checks`), or `waits wk-1 because …` declares an exception, which must apply.
//!
//! `crash leader for=0.2` crashes a process that restarts after this many seconds (4 without `for`).
//! `end-on lease|claim|touch|page before|after for=0.2` crashes the next node that makes that call
//! to the state service, before or after it is executed: requesting a lease, claiming the leader's
//! key, renewing the lease, reading a page of the records. Several of them happen one after the
//! other, and each must happen.
//!
//! Faults that last `for=60` seconds, each with the share of messages that it affects where it has
//! one:
//!
//! - `late-writes share=0.3 for=60`: transactions get no response and are executed 2 to 12 s later,
//!   after newer ones of the same controller. With `at-once` they are executed at once, and only the
//!   response is lost.
//! - `late-reports share=0.3 for=60`: a copy of a worker's heartbeat arrives at the same node again,
//!   2 s to one and a half leases later, whatever the worker's agent epoch and the node's role then
//!   are.
//! - `deaf MACHINE|share=0.3|zone=east for=60`: messages to these machines are lost, both responses
//!   to their heartbeats and direct commands; their heartbeats arrive. A share is of the existing
//!   machines.
//! - `cut-off NODE for=20`: the node reaches neither the state service, which refuses it (with
//!   `silent`, does not respond), nor its peers; workers and users reach it.
//! - `late-reports share=0.3 for=60 for-next after=3`: the copy is kept for the next leader, and
//!   arrives at every node when that leader starts, or this many seconds later.
//! - `mute MACHINE|share=0.3|zone=east for=60`: heartbeats of these machines are lost; direct
//!   commands reach them and are answered.
//! - `cancel-at-end share=0.5 for=60`: this share of the jobs that complete is cancelled some ms
//!   before or after the last task completes.
//! - `slow-state times=25 share=0.02 for=60`: calls to the state service are executed, or answered,
//!   this many times slower, or up to twice as much.
//!
//! `stream wk-1000 rate=4 for=180 cancel=0.25`: see `job_stream.rs`.
//! `odd-requests for=60`: users repeat submissions of unfinished jobs, also with a field missing,
//! cancel jobs that are done, and submit jobs that can never run or lack a field, five per second.
//! The response to every submission is checked: see `admission_checks.rs`, also for `offer`. `sells
//! small east`: this machine type is available in this zone only.
//! `cancel-now count=6 hang=20`: users cancel this many running jobs with a long remaining run time,
//! within 0.2 s; up to eight of their machines hang for this many seconds. `boots 0.5 2`: machines
//! launched from now on boot within this range of seconds. The number of tasks that started after
//! their users were told of the cancellation, the number of start commands sent after it, and the
//! longest time after it, in s, are counted: `expect started-cancelled <= 2`, `commanded-cancelled`,
//! `commanded-after`. A start command that is sent after it is a violation, whatever its sender knows.
//!
//! `withdraw JOB node=n1` cancels a job at that node, at once; its user repeats it like any other
//! request, at one node after the other, and goes on polling. `ask JOB node=n1` polls a job at a
//! node. `close-looks`, `withhold` and `repeat` are in `response_checks.rs`.
//!
//! `of:wk-1/0` is the machine of a task; with a `?` behind it nothing happens while the task has no
//! machine.
//!
//! `weights off` turns image locality off.
//!
//! With `shared-fetches`, concurrent image fetches share a machine's bandwidth.
//!
//! `condor team=red run=10` serves submit files, whose tasks run this long; `file NAME` and the
//! following lines that begin with `|` define a file, and `at SECONDS condor NAME` sends it, to one
//! node after the other, until it is answered.

mod actions;
mod expectations;
mod script;

use crate::effect_digest::EffectDigest;
use crate::simulation::{Deviation, DeviationPlan, Simulation};
use script::{Agenda, Script};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};

pub(crate) use script::{body, number};

/// Runs this many cases on all processors; returns the failed ones with their problems.
pub fn run_cases(
    cases: usize,
    run_case: impl Fn(usize) -> Result<(), String> + Sync,
) -> Vec<(usize, String)> {
    let next = AtomicUsize::new(0);
    let run_next_cases = || {
        let mut failed = Vec::new();
        loop {
            let case = next.fetch_add(1, Ordering::Relaxed);
            if case >= cases {
                return failed;
            }
            if let Err(problem) = run_case(case) {
                failed.push((case, problem));
            }
        }
    };
    let thread_count = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..thread_count).map(|_| scope.spawn(run_next_cases)).collect();
        let results = threads
            .into_iter()
            .map(|thread| thread.join().expect("worker thread panicked"));
        results.flatten().collect()
    })
}

/// Runs a scenario; the error has one line for each problem.
///
/// # Errors
/// The scenario cannot be parsed, or an expectation or a rule does not hold.
pub fn run(text: &str) -> Result<(), String> {
    run_script(text, None, &mut Observed::default())
}

/// Runs a scenario; also returns the digest of everything that its controllers sent.
pub fn run_with_digest(text: &str) -> (Result<(), String>, String) {
    let mut observed = Observed::default();
    let outcome = run_script(text, None, &mut observed);
    (outcome, observed.effect_digest.finish())
}

/// Runs a scenario in which some operations of leaders deviate; also returns the number of
/// operations.
pub fn run_with_deviations(
    text: &str,
    deviations: &BTreeMap<usize, Deviation>,
) -> (Result<(), String>, usize) {
    let deviation_plan = DeviationPlan {
        deviations: deviations.clone(),
        leader_operations: 0,
    };
    let mut observed = Observed::default();
    let outcome = run_script(text, Some(deviation_plan), &mut observed);
    (outcome, observed.leader_operations)
}

/// What a run yields besides its result.
#[derive(Debug, Default)]
struct Observed {
    /// Operations of leaders that could have deviated.
    leader_operations: usize,
    effect_digest: EffectDigest,
}

fn run_script(
    text: &str,
    deviation_plan: Option<DeviationPlan>,
    observed: &mut Observed,
) -> Result<(), String> {
    let Script {
        setup,
        mut agenda,
        files,
        until_ms,
        expectations: judged,
    } = Script::parse(text)?;
    let mut simulation = setup.build();
    simulation.deviation_plan = deviation_plan;
    run_until(&mut simulation, &mut agenda, &files, until_ms)?;
    simulation.check_accounting();
    observed.leader_operations = simulation
        .deviation_plan
        .as_ref()
        .map_or(0, |plan| plan.leader_operations);
    let verdict = expectations::evaluate(&mut simulation, judged);
    observed.effect_digest = std::mem::take(&mut simulation.effect_digest);
    verdict
}

fn run_until(
    simulation: &mut Simulation,
    agenda: &mut Agenda,
    files: &BTreeMap<String, String>,
    until_ms: u64,
) -> Result<(), String> {
    while simulation.now < until_ms {
        while let Some(action) = agenda.next_due(simulation.now) {
            actions::act(simulation, agenda, files, &action)
                .map_err(|problem| format!("`{action}`: {problem}"))?;
        }
        simulation.step();
    }
    Ok(())
}
