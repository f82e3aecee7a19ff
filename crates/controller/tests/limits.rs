//! No fixed limit stands below 4,000 machines: docs/OPERATIONS.md, "At 4,000 machines".

use indigopath_controller::constants;
use indigopath_controller::model::JobId;
use indigopath_controller::peers::Frame;
use std::sync::Arc;

/// A site of this size, with all that it may hold at a time.
const MACHINES: usize = 4_000;
const TASKS: usize = 20_000;
/// Requests of users a second.
const REQUESTS_PER_S: usize = 150;
/// Bytes of a line of a licence server, with the longest names seen.
const LICENCE_LINE_BYTES: usize = 100;

#[test]
fn heartbeats_of_all_machines_can_be_buffered() {
    // As many tasks that ended and are not forgotten yet as run.
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
fn queues_hold_what_users_ask_while_they_wait() {
    // A submission's user waits for 5 s.
    const {
        assert!(constants::MAX_WAITING_REQUESTS >= 5 * REQUESTS_PER_S);
        assert!(constants::MAX_COMMIT_WAITS >= 5 * REQUESTS_PER_S);
        assert!(constants::MAX_PEER_NOTICES >= 5 * REQUESTS_PER_S);
    };
}

#[test]
fn every_service_may_be_protected_and_have_room_kept() {
    const {
        assert!(indigopath_protection_windows::constants::MAX_SERVICES >= TASKS);
        assert!(constants::MAX_SPARE_REPLICAS as usize >= MACHINES);
    };
}

#[test]
fn a_licence_servers_answer_may_name_all_tasks_and_as_many_others() {
    const {
        assert!(indigopath_counted_resources::constants::MAX_SERVER_ANSWER_LINES >= 2 * TASKS);
        assert!(
            indigopath_counted_resources::constants::MAX_SERVER_ANSWER_BYTES
                >= 2 * TASKS * LICENCE_LINE_BYTES
        );
    };
}

#[test]
fn the_list_of_all_machines_is_read_within_its_slack() {
    // Pages of 500, the answer to each after 150 ms; the first three at once, then three a second, as a
    // platform of four calls a second allows.
    let pages = MACHINES.div_ceil(constants::LIST_PAGE_MACHINES) as u64 + 1;
    let read_ms = (pages - 3) * 1_000 / 3 + pages * 150;
    let full_pages = (MACHINES / constants::LIST_PAGE_MACHINES) as u64;
    let slack_ms = constants::LIST_LAG_SLACK_MS + full_pages * constants::LIST_PAGE_MS;
    assert!(slack_ms >= read_ms, "{read_ms} ms");
}

#[test]
fn a_peer_that_connects_is_told_the_counts_of_all_jobs() {
    let job = JobId(Arc::from("wk-99000000000100000000"));
    let frame = Frame::TaskCounts {
        job,
        done: u32::MAX,
        running: u32::MAX,
    };
    assert!(constants::MAX_PEER_BACKLOG_BYTES >= TASKS * frame.encode().len());
}
