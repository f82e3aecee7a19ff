use super::*;
use crate::scenario::run;
use indigopath_controller::settings::OperatorSettings;

const NO_MACHINES: &str = "at 0 capacity 0\nat 1 submit wk-1 tasks=4\nuntil 260\n\
    unserved class=batch\nunserved team=blue\nexpect wk-1 starts = 0\n";

#[test]
fn a_late_large_job_fails_without_an_exception() {
    let lines = "largest late sweep/batch because there are no machines\n\
        largest unserved sweep/batch because there are no machines\n";
    assert_eq!(run(&format!("{NO_MACHINES}{lines}")), Ok(()));
    let problem = run(NO_MACHINES).unwrap_err();
    assert!(
        problem.contains("largest late sweep/batch: [(\"wk-1\""),
        "{problem}"
    );
    assert!(
        problem.contains("largest unserved sweep/batch: 0.0 of 4"),
        "{problem}"
    );
}

#[test]
fn an_exception_that_does_not_apply_fails() {
    let text = "at 1 submit wk-1\nuntil 60\nexpect all done\n";
    assert_eq!(run(text), Ok(()));
    let problem = run(&format!("{text}largest late sweep/batch because of nothing\n")).unwrap_err();
    assert_eq!(problem, "largest late sweep/batch: it is not so");
}

#[test]
fn an_unanswered_job_is_flagged_once_faults_are_over() {
    let mut simulation = Simulation::new(None, OperatorSettings::default());
    let observed = ObservedJob {
        accepted: true,
        accepted_at: Some(0),
        ..ObservedJob::default()
    };
    simulation.jobs.insert("wk-1".to_owned(), observed);
    // Its user never asks again.
    simulation
        .next_user_request_at
        .insert("wk-1".to_owned(), u64::MAX);
    simulation.state.start_outage(0);
    while simulation.now < MAX_UNANSWERED_MS + 5_000 {
        simulation.step();
    }
    assert_eq!(simulation.violations, [""; 0], "a fault is still active");
    simulation.run_until_settled();
    let expected = "forgotten at 156.00 s: wk-1 is asked about in vain";
    assert_eq!(simulation.violations, [expected]);
}
