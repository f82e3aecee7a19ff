use super::*;

#[test]
fn requested_pass_waits_only_for_the_spacing() {
    let mut scheduler = Scheduler::new(1);
    let start = PASS_INTERVAL_MS;
    scheduler.begin_pass(start);
    assert!(!scheduler.is_due(0, start + PASS_INTERVAL_MS - 1));
    assert!(scheduler.is_due(0, start + PASS_INTERVAL_MS));
    scheduler.request_pass();
    assert!(!scheduler.is_due(0, start + PASS_SPACING_MS - 1));
    assert!(scheduler.is_due(0, start + PASS_SPACING_MS));
}

#[test]
fn unchanged_state_keeps_the_request() {
    let mut scheduler = Scheduler::new(1);
    scheduler.begin_pass(0);
    scheduler.request_pass_if(true);
    scheduler.request_pass_if(false);
    assert!(scheduler.is_due(0, PASS_SPACING_MS));
}

// Attempt numbers of a later term are higher than all numbers of a former one.
#[test]
fn attempt_numbers_rise_within_a_term_and_from_term_to_term() {
    let mut former = Scheduler::new(1);
    let mut later = Scheduler::new(2);
    let first = former.next_attempt_number();
    let second = former.next_attempt_number();
    assert!(first < second);
    assert!(second < later.next_attempt_number());
}
