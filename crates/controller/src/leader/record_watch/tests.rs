use super::*;

// Only one call is in flight at a time, and the next one continues where the last one ended.
#[test]
fn one_call_is_in_flight_at_a_time_and_continues_the_last() {
    let mut watch = RecordWatch::default();
    watch.start_at(7);
    let first = watch.next_call(JOB_WATCH_LONG_POLL_MS, 0);
    assert_eq!(
        first,
        Some(paths::watch(records::JOB_PREFIX, 7, JOB_WATCH_LONG_POLL_MS))
    );
    assert_eq!(watch.next_call(JOB_WATCH_LONG_POLL_MS, 1), None);
    watch.in_flight = false;
    watch.on_changes(9, 1);
    let second = watch.next_call(JOB_WATCH_LONG_POLL_MS, 1);
    assert_eq!(
        second,
        Some(paths::watch(records::JOB_PREFIX, 9, JOB_WATCH_LONG_POLL_MS))
    );
}

// A response from a lagging replica must not move the watch back.
#[test]
fn the_revision_never_goes_back() {
    let mut watch = RecordWatch::default();
    watch.start_at(7);
    watch.on_changes(5, 0);
    let path = watch.next_call(JOB_WATCH_LONG_POLL_MS, 0);
    assert_eq!(
        path,
        Some(paths::watch(records::JOB_PREFIX, 7, JOB_WATCH_LONG_POLL_MS))
    );
}

#[test]
fn a_failed_call_is_retried_after_a_while() {
    let mut watch = RecordWatch::default();
    assert!(watch.next_call(JOB_WATCH_LONG_POLL_MS, 0).is_some());
    watch.in_flight = false;
    watch.on_failure(10);
    assert_eq!(
        watch.next_call(JOB_WATCH_LONG_POLL_MS, 10 + WRITE_RETRY_MS - 1),
        None
    );
    assert!(
        watch
            .next_call(JOB_WATCH_LONG_POLL_MS, 10 + WRITE_RETRY_MS)
            .is_some()
    );
}
