//! Checks that no fixed limit is too small for a site of 4,000 machines. See docs/OPERATIONS.md, "At 4,000
//! machines".

use indigopath_controller::constants;
use indigopath_controller::model::JobId;
use indigopath_controller::peers::Frame;
use std::sync::Arc;

/// Number of machines of the largest supported site.
const MACHINES: usize = 4_000;
/// Maximum number of tasks that run at a time on such a site.
const TASKS: usize = 20_000;
/// User requests per second.
const REQUESTS_PER_S: usize = 150;
/// Length of a line in a response of a licence server, in bytes, with the longest names observed.
const LICENCE_LINE_BYTES: usize = 100;

#[test]
fn heartbeats_of_all_machines_can_be_buffered() {
    // Besides the running tasks, as many that ended and are not forgotten yet.
    const { assert!(constants::BUFFERED_HEARTBEATS >= MACHINES + 2 * TASKS) };
}

#[test]
fn caches_hold_all_live_jobs() {
    // Every task may be a job of its own.
    const {
        assert!(constants::LIVE_JOB_CACHE_SIZE >= TASKS);
        assert!(constants::ENDED_JOB_CACHE_SIZE >= TASKS);
        assert!(constants::MAX_TRACKED_RUNS >= TASKS);
    };
}

#[test]
fn queues_hold_all_user_requests_that_wait() {
    // Users wait 5 s for the response to a submission.
    const {
        assert!(constants::MAX_WAITING_REQUESTS >= 5 * REQUESTS_PER_S);
        assert!(constants::MAX_COMMIT_WAITS >= 5 * REQUESTS_PER_S);
        assert!(constants::MAX_PEER_NOTICES >= 5 * REQUESTS_PER_S);
    };
}

#[test]
fn every_service_can_be_protected_and_have_spare_replicas() {
    const {
        assert!(indigopath_protection_windows::constants::MAX_SERVICES >= TASKS);
        assert!(constants::MAX_SPARE_REPLICAS as usize >= MACHINES);
    };
}

#[test]
fn a_licence_server_response_can_list_all_tasks_and_as_many_others() {
    const {
        assert!(indigopath_counted_resources::constants::MAX_SERVER_ANSWER_LINES >= 2 * TASKS);
        assert!(
            indigopath_counted_resources::constants::MAX_SERVER_ANSWER_BYTES
                >= 2 * TASKS * LICENCE_LINE_BYTES
        );
    };
}

#[test]
fn all_machines_are_listed_within_the_lag_slack() {
    // Pages of 500 machines, each response after 150 ms: the first three pages at once, then three a
    // second, as a cloud API with a limit of four calls a second allows.
    let pages = MACHINES.div_ceil(constants::LIST_PAGE_MACHINES) as u64 + 1;
    let listing_ms = (pages - 3) * 1_000 / 3 + pages * 150;
    let full_pages = (MACHINES / constants::LIST_PAGE_MACHINES) as u64;
    let slack_ms = constants::LIST_LAG_SLACK_MS + full_pages * constants::LIST_PAGE_MS;
    assert!(slack_ms >= listing_ms, "{listing_ms} ms");
}

#[test]
fn the_task_counts_of_all_jobs_fit_in_the_backlog_of_a_new_peer() {
    let job = JobId(Arc::from("wk-99000000000100000000"));
    let frame = Frame::TaskCounts {
        job,
        done: u32::MAX,
        running: u32::MAX,
    };
    assert!(constants::MAX_PEER_BACKLOG_BYTES >= TASKS * frame.encode().len());
}
