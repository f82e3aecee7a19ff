//! Crashes at every step of a submission: the node that records a cluster crashes with its first call to the
//! state service, its second and so on, before or after the call is executed, until there are no more calls.
//! Each time the submitter retries at the next node. In the end there must be exactly one cluster, all of
//! whose tasks are done, and no task may have run before the whole cluster was recorded (the simulator
//! checks this).

use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};

/// Exceeds the number of calls that any of these submissions makes.
const MAX_CALLS: u32 = 60;

fn scenario(file: &str, at: u32, when: &str, tasks: u32) -> String {
    format!(
        "condor team=red run=3\nfile pages\n{file}at 1 end-at {at} {when}\nat 1 condor pages\nuntil 100\n\
         expect sent pages = 201\nexpect clusters = 1\nexpect open clusters = 0\n\
         expect cluster 1 done = {tasks}\nexpect cluster 1 live = 0\n"
    )
}

/// Runs a submission with a crash at every step, in parallel, and checks the number of crashes.
fn crash_at_every_step(file: &str, tasks: u32, min_crashes: u32) {
    let next = AtomicU32::new(0);
    let problems = Mutex::new(Vec::new());
    let crashes = AtomicU32::new(0);
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let (at, when) = (
                        number / 2,
                        if number.is_multiple_of(2) {
                            "before"
                        } else {
                            "after"
                        },
                    );
                    if at >= MAX_CALLS {
                        return;
                    }
                    let text = scenario(file, at, when, tasks);
                    match indigopath_simulator::run(&text) {
                        Ok(()) => (),
                        // The submission was complete before this call.
                        Err(problem) if problem == "no end" => return,
                        Err(problem) => problems.lock().unwrap().push(format!("{at} {when}: {problem}")),
                    }
                    crashes.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    });
    let problems = problems.into_inner().unwrap();
    assert!(problems.is_empty(), "{}", problems.join("\n"));
    let crashes = crashes.into_inner();
    println!("{crashes} crashes");
    assert!(
        (min_crashes..2 * MAX_CALLS).contains(&crashes),
        "{crashes} crashes"
    );
}

#[test]
fn a_small_submission_survives_a_crash_at_every_step() {
    crash_at_every_step("| request_gpus = 1\n| queue 4\n", 4, 8);
}

#[test]
fn a_submission_of_several_transactions_survives_a_crash_at_every_step() {
    crash_at_every_step("| request_memory = 1024 + $(Process)\n| queue 13\n", 13, 14);
}
