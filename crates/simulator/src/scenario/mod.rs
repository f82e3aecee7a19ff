//! Reads and plays a scenario. A line is `at SECONDS VERB …`, `expect …` (checked
//! at the end), `teams GPUS` (what each may use, for a large fleet) or `until
//! SECONDS`; `#` starts a comment. `count NAME units=4 linger=20 red=2 server` defines a
//! count, with a team's share, and perhaps a licence server that the leader asks.
//!
//! Every class and team must be served at least half of what it asked for by the end (see
//! [`Simulation::served`]), or the line `unserved class=batch` says that this one is not: which must
//! then be so.
//!
//! Of the largest tenth of each shape and class, half must be served, and each must begin within four
//! minutes of its acceptance, or `largest unserved sweep/batch because …` and `largest late gang/batch
//! because …` say otherwise: which must be so, too. Users ask about each accepted job every 5 s; once
//! no fault is left, none may go 75 s without an answer, and there is no exception. After `until` all
//! faults end, and the world goes on until each job was asked about once more.
//!
//! No job waits for 90 s beside room once no fault is left (see the module `waiting`), or `waits wk-1
//! because …` says otherwise: which must be so.
//!
//! `crash leader for=0.2` ends a process that is back so many seconds later (4 without `for`).
//! `end-on lease|claim|touch|page before|after for=0.2` ends whoever next makes that call to the state
//! service, before or after it is carried out: a lease is asked for, the leader's key claimed, the lease
//! extended, a page of the records read. Several of them happen one after the other, and each must.
//!
//! Faults that last `for=60` seconds, each with a share of all messages where it says so:
//!
//! - `late-writes share=0.3 for=60`: transactions get no answer and are carried out 2 to 12 s later,
//!   after newer ones of the same controller.
//!   With `at-once` they are carried out at once, and only the answer is lost.
//! - `late-reports share=0.3 for=60`: a copy of a worker's report arrives at the same node again, 2 s
//!   to a lease and a half later, whatever the worker's agent epoch and whoever that node then is.
//! - `deaf MACHINE|share=0.3|zone=east for=60`: nothing reaches these machines, neither answers to
//!   their reports nor direct commands; their reports arrive. A share is of the machines there are.
//! - `cut-off NODE for=20`: the node has neither the state service, which refuses it (with `silent`, is
//!   silent), nor its peers; workers and users reach it.
//! - `late-reports share=0.3 for=60 for-next after=3`: the copy is kept for the next leader, and arrives
//!   at every node as that begins, or so many seconds later.
//! - `mute MACHINE|share=0.3|zone=east for=60`: these machines reach no controller; direct commands reach
//!   them and are answered.
//! - `cancel-at-end share=0.5 for=60`: of the jobs that end, that share is called off some ms before or
//!   after its last task has completed.
//! - `slow-state times=25 share=0.02 for=60`: calls to the state service are carried out, or answered,
//!   that many times slower, or up to twice as much.
//!
//! `stream wk-1000 rate=4 for=180 cancel=0.25`: see `stream.rs`.
//! `odd-requests for=60`: users repeat submissions of unfinished jobs, also with a field gone, cancel jobs
//! that are done, and send jobs that can never run or lack a field, five a second. Every answer to any
//! submission is judged: see `accepted.rs`, also for `offer`. `sells small east`: only there.
//! `cancel-now count=6 hang=20`: users call off so many jobs that run and have long to go, within 0.2 s;
//! up to eight of their machines hang so long. `boots 0.5 2`: machines rented from now on are up within
//! that. How many tasks were started after their users were told of the cancellation, how many commands to
//! start them left after it, and how long after at most, in s, is counted: `expect started-cancelled <= 2`,
//! `commanded-cancelled`, `commanded-after`. One by a leader that knew breaks a rule.
//!
//! `withdraw JOB node=n1` asks that node for a job's end, at once; its user repeats it as any other, at
//! one node after the other, and goes on asking. `ask JOB node=n1` asks a node about a job.
//! `close-looks`, `withhold` and `repeat` are in `answers.rs`.
//!
//! `of:wk-1/0` is the machine of a task; with a `?` behind it nothing happens while the task is nowhere.
//!
//! `weights off` chooses places without the measure of models' weights.
//!
//! With `shared-fetches`, images that a machine fetches at one time share its rate.
//!
//! `condor team=red run=10` serves submit files, whose tasks run so long; `file NAME` and the
//! lines after it that begin with `|` are one, and `at SECONDS condor NAME` sends it, to one
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

/// Plays so many cases on all processors; returns those that failed, with why.
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

/// Plays a scenario; what is wrong, a line each.
///
/// # Errors
/// The scenario cannot be read, or it did not go as it must.
pub fn run(text: &str) -> Result<(), String> {
    run_script(text, None, &mut Observed::default())
}

/// Plays a scenario; returns as well the digest of all that its controllers sent.
pub fn run_with_digest(text: &str) -> (Result<(), String>, String) {
    let mut observed = Observed::default();
    let outcome = run_script(text, None, &mut observed);
    (outcome, observed.effects.finish())
}

/// Plays a scenario in which some acts of leaders go another way; returns as well how many acts
/// there were.
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

/// What a results scenario shows beside its verdict.
#[derive(Debug, Default)]
struct Observed {
    /// Acts of leaders that could have gone another way.
    leader_operations: usize,
    effects: EffectDigest,
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
        judged,
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
    observed.effects = std::mem::take(&mut simulation.effect_digest);
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
