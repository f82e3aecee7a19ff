use super::*;
use crate::constants::{
    COMMIT_WAIT_MS, ENDED_JOB_CACHE_SIZE, LIVE_JOB_CACHE_SIZE, LIVE_READ_MAX_AGE_MS, MAX_PEER_NOTICES,
    POLL_BATCH_MS, POLL_RESPONSE_DEADLINE_MS, USER_STATE_TIMEOUT_MS, USER_WRITE_TIMEOUT_MS,
};
use crate::io::{CallId, Effect, Outcome};
use crate::peers::Frame;
use crate::settings::Settings;
use crate::storage::records::Ending;

const JOB: &str = "wk-1";

fn settings() -> Settings {
    Settings::parse(include_str!("../../tests/support/settings.json")).unwrap()
}

fn new_job_api() -> JobApi {
    JobApi::new(&settings(), 0, 0, 0)
}

fn io() -> Io {
    Io::new(&settings(), 1, 1_000, 0)
}

fn response(status: u16, body: serde_json::Value) -> Outcome {
    Outcome::Answer {
        status,
        body: body.to_string().into_bytes(),
    }
}

/// The body of the last reply.
fn reply_body(io: &mut Io) -> serde_json::Value {
    let replies = std::mem::take(&mut io.effects);
    let body = replies.into_iter().rev().find_map(|effect| match effect {
        Effect::Reply { body, .. } => Some(body),
        _ => None,
    });
    serde_json::from_slice(&body.expect("a reply")).unwrap()
}

/// The body and id of the only call.
fn sent_comparison(io: &mut Io) -> (serde_json::Value, CallId) {
    let mut calls = std::mem::take(&mut io.effects)
        .into_iter()
        .filter_map(|effect| match effect {
            Effect::Call { call, body, .. } => Some((call, body)),
            _ => None,
        });
    let (call, body) = calls.next().expect("a call");
    assert!(calls.next().is_none());
    let body: serde_json::Value = serde_json::from_slice(&body).unwrap();
    (body, call)
}

/// A job API that has cached the job as live and has batched a poll of it.
fn api_with_batched_poll(io: &mut Io) -> JobApi {
    let mut job_api = new_job_api();
    let job = JobId(std::sync::Arc::from(JOB));
    job_api.cache.record_live(&job, 7, Team::named("red"));
    job_api.handle_request(RequestId(1), job, JobRequest::Poll, io);
    assert!(io.effects.is_empty());
    job_api
}

fn record_cancelled_end(job_api: &mut JobApi) {
    let ended = TerminalState {
        end: Ending::Cancelled,
        tasks: 0,
        team: None,
    };
    job_api.cache.record_end(JobId(std::sync::Arc::from(JOB)), ended);
}

#[test]
fn batched_polls_are_answered_by_one_comparison() {
    let mut io = io();
    let mut job_api = api_with_batched_poll(&mut io);
    job_api.handle_request(
        RequestId(2),
        JobId(std::sync::Arc::from(JOB)),
        JobRequest::Poll,
        &mut io,
    );
    io.now += POLL_BATCH_MS;
    job_api.run_due_work(48, &mut io);
    let (body, comparison) = sent_comparison(&mut io);
    assert_eq!(
        body,
        serde_json::json!({ "If": [{ "Path": "j/wk-1", "Stamp": 7 }] })
    );
    let same = response(200, serde_json::json!({ "Ledger": 9 }));
    job_api.handle_response(comparison, &same, &TaskCounts::new(), &mut io);
    assert_eq!(io.effects.len(), 2);
    assert_eq!(reply_body(&mut io)["Status"], "pending");
}

// A user saw "cancelled" and then "running" from a batched poll: the job was no longer cached as live, so
// the comparison was sent without it.
#[test]
fn a_cancellation_between_poll_and_comparison_is_not_reverted() {
    let mut io = io();
    let mut job_api = api_with_batched_poll(&mut io);
    record_cancelled_end(&mut job_api);
    io.now += POLL_BATCH_MS;
    job_api.run_due_work(48, &mut io);
    let (body, comparison) = sent_comparison(&mut io);
    assert_eq!(body["If"][0]["Stamp"], 7, "the job is still compared");
    let same = response(200, serde_json::json!({ "Ledger": 9 }));
    job_api.handle_response(comparison, &same, &TaskCounts::new(), &mut io);
    assert_eq!(reply_body(&mut io)["Status"], "cancelled");
}

#[test]
fn a_job_that_ended_through_another_node_is_read_again() {
    let mut io = io();
    let mut job_api = api_with_batched_poll(&mut io);
    io.now += POLL_BATCH_MS;
    job_api.run_due_work(48, &mut io);
    let (_, comparison) = sent_comparison(&mut io);
    let failed = response(409, serde_json::json!({ "failed": ["j/wk-1"], "Ledger": 9 }));
    job_api.handle_response(comparison, &failed, &TaskCounts::new(), &mut io);
    let path = io.effects.iter().find_map(|effect| match effect {
        Effect::Call { path, .. } => Some(path.clone()),
        _ => None,
    });
    assert_eq!(path.as_deref(), Some("/store/j/wk-1"));
}

/// The path, id and timeout in ms of the only call.
fn only_call(io: &mut Io) -> (String, CallId, u64) {
    let mut calls = std::mem::take(&mut io.effects)
        .into_iter()
        .filter_map(|effect| match effect {
            Effect::Call {
                call,
                path,
                timeout_ms,
                ..
            } => Some((path, call, timeout_ms)),
            _ => None,
        });
    let one = calls.next().expect("a call");
    assert!(calls.next().is_none());
    one
}

fn poll(job_api: &mut JobApi, request: u64, io: &mut Io) {
    // The job scan would send calls of its own.
    job_api.scan = JobScan::Complete;
    let job = JobId(std::sync::Arc::from(JOB));
    job_api.handle_request(RequestId(request), job, JobRequest::Poll, io);
}

fn reply_status(io: &mut Io) -> u16 {
    let effects = std::mem::take(&mut io.effects);
    let mut statuses = effects.into_iter().filter_map(|effect| match effect {
        Effect::Reply { status, .. } => Some(status),
        _ => None,
    });
    let status = statuses.next().expect("a reply");
    assert!(statuses.next().is_none());
    status
}

fn absent_response() -> Outcome {
    response(404, serde_json::json!({ "Ledger": 9 }))
}

/// A job API without cached state whose read of the job's end timed out.
fn api_after_slow_read(io: &mut Io) -> JobApi {
    let mut job_api = new_job_api();
    poll(&mut job_api, 1, io);
    let (path, live, _) = only_call(io);
    assert_eq!(path, "/store/j/wk-1");
    io.now += 900;
    job_api.handle_response(live, &absent_response(), &TaskCounts::new(), io);
    let (path, ended, left) = only_call(io);
    assert_eq!((&*path, left), ("/store/e/wk-1", USER_STATE_TIMEOUT_MS - 900));
    job_api.handle_response(ended, &Outcome::NoAnswer, &TaskCounts::new(), io);
    assert_eq!(reply_status(io), 503);
    job_api
}

// The state service took 0.9 s for each response, which left time for one read but not for two: every poll
// of an ended job failed, while polls of live jobs were answered.
#[test]
fn an_end_whose_read_timed_out_is_read_first_the_next_time() {
    let mut io = io();
    let mut job_api = api_after_slow_read(&mut io);
    poll(&mut job_api, 2, &mut io);
    let (path, ended, left) = only_call(&mut io);
    assert_eq!((&*path, left), ("/store/e/wk-1", USER_STATE_TIMEOUT_MS));
    let record = serde_json::json!({ "Path": "e/wk-1", "V": { "end": "done", "tasks": 2 }, "Stamp": 8 });
    job_api.handle_response(ended, &response(200, record), &TaskCounts::new(), &mut io);
    for (_, nonce) in end_notices(&mut io) {
        assert_eq!(reply_count(&io), 0);
        job_api.on_end_acknowledged(&job(), nonce, &mut io);
    }
    assert_eq!(reply_body(&mut io)["Status"], "done");
}

// The job may end between the two reads: only reading the live record before the end record proves that it
// does not exist.
#[test]
fn a_job_is_absent_only_if_the_end_record_is_read_last() {
    let mut io = io();
    let mut job_api = api_after_slow_read(&mut io);
    poll(&mut job_api, 2, &mut io);
    for expected in ["/store/e/wk-1", "/store/j/wk-1", "/store/e/wk-1"] {
        let (path, call, _) = only_call(&mut io);
        assert_eq!(path, expected);
        job_api.handle_response(call, &absent_response(), &TaskCounts::new(), &mut io);
    }
    assert_eq!(reply_status(&mut io), 404);
    // The job is no longer suspected to have ended.
    poll(&mut job_api, 3, &mut io);
    assert_eq!(only_call(&mut io).0, "/store/j/wk-1");
}

#[test]
fn a_cancellation_has_time_for_its_second_call() {
    let mut io = io();
    let mut job_api = new_job_api();
    let job = JobId(std::sync::Arc::from(JOB));
    job_api.handle_request(RequestId(1), job, JobRequest::Cancel, &mut io);
    let (path, live, left) = only_call(&mut io);
    assert_eq!((&*path, left), ("/store/j/wk-1", USER_STATE_TIMEOUT_MS));
    io.now += 1_400;
    let record = serde_json::json!({ "Path": "j/wk-1", "V": {}, "Stamp": 7 });
    job_api.handle_response(live, &response(200, record), &TaskCounts::new(), &mut io);
    let (path, _, left) = only_call(&mut io);
    assert_eq!((&*path, left), ("/multi", USER_WRITE_TIMEOUT_MS - 1_400));
}

// Many small jobs fill the caches of live and ended jobs. Evicted jobs are read again, so a job that this
// node reported as ended is never reported as live.
#[test]
fn jobs_evicted_from_full_caches_are_read_again() {
    let mut io = io();
    let mut job_api = api_with_batched_poll(&mut io);
    record_cancelled_end(&mut job_api);
    let other = |number: usize| JobId(std::sync::Arc::from(format!("wk-{}", number + 100)));
    let done = TerminalState {
        end: Ending::Done,
        tasks: 1,
        team: None,
    };
    for number in 0..ENDED_JOB_CACHE_SIZE.max(LIVE_JOB_CACHE_SIZE) + 1 {
        job_api.cache.record_live(&other(number), 9, Team::named("red"));
        job_api.cache.record_end(other(number), done.clone());
        job_api
            .cache
            .record_live(&other(1_000_000 + number), 9, Team::named("red"));
        job_api.on_peer_notice(other(number), false, io.now);
    }
    assert!(
        job_api.cache.ended_len() <= ENDED_JOB_CACHE_SIZE && job_api.cache.live_len() <= LIVE_JOB_CACHE_SIZE
    );
    assert!(job_api.peer_notices.len() <= MAX_PEER_NOTICES);
    assert!(!job_api.cache.has_ended(&job()), "it was evicted");
    io.now += POLL_BATCH_MS;
    job_api.run_due_work(48, &mut io);
    let (_, comparison) = sent_comparison(&mut io);
    let failed = response(409, serde_json::json!({ "failed": ["j/wk-1"], "Ledger": 9 }));
    job_api.handle_response(comparison, &failed, &TaskCounts::new(), &mut io);
    let (path, live, _) = only_call(&mut io);
    assert_eq!(path, "/store/j/wk-1");
    job_api.handle_response(live, &absent_response(), &TaskCounts::new(), &mut io);
    let (path, ended, _) = only_call(&mut io);
    assert_eq!(path, "/store/e/wk-1");
    let record = serde_json::json!({ "Path": "e/wk-1", "V": { "end": "cancelled", "tasks": 0 }, "Stamp": 8 });
    job_api.handle_response(ended, &response(200, record), &TaskCounts::new(), &mut io);
    for (_, nonce) in end_notices(&mut io) {
        assert_eq!(reply_count(&io), 0);
        job_api.on_end_acknowledged(&job(), nonce, &mut io);
    }
    assert_eq!(reply_body(&mut io)["Status"], "cancelled");
}

// ---- peer notices ----

fn job() -> JobId {
    JobId(std::sync::Arc::from(JOB))
}

/// End notices sent to peers: the peer and the nonce.
fn end_notices(io: &mut Io) -> Vec<(usize, u64)> {
    let frames = io.effects.iter().filter_map(|effect| match effect {
        Effect::Frame { peer, bytes } => match Frame::decode(bytes) {
            Ok(Some((Some(Frame::EndNotice { nonce, .. }), _))) => Some((*peer, nonce)),
            _ => None,
        },
        _ => None,
    });
    frames.collect()
}

fn reply_count(io: &Io) -> usize {
    let is_reply = |effect: &&Effect| matches!(effect, Effect::Reply { .. });
    io.effects.iter().filter(is_reply).count()
}

fn live_response() -> Outcome {
    response(200, serde_json::json!({ "Path": "j/wk-1", "V": {}, "Stamp": 7 }))
}

/// A job API that has just cancelled the job.
fn api_after_cancellation(io: &mut Io) -> JobApi {
    let mut job_api = new_job_api();
    job_api.handle_request(RequestId(1), job(), JobRequest::Cancel, io);
    let (_, live, _) = only_call(io);
    job_api.handle_response(live, &live_response(), &TaskCounts::new(), io);
    let (_, moved, _) = only_call(io);
    let committed = response(200, serde_json::json!({ "Ledger": 9 }));
    let done = job_api.handle_response(moved, &committed, &TaskCounts::new(), io);
    assert_eq!(done, Some(None));
    assert_eq!(job_api.take_newly_ended(), [job()], "the node's own term is told");
    job_api
}

#[test]
fn an_end_is_reported_once_peers_have_acknowledged_it() {
    let mut io = io();
    let mut job_api = api_after_cancellation(&mut io);
    let frames = end_notices(&mut io);
    assert_eq!(frames.len(), settings().peers.len());
    assert_eq!(reply_count(&io), 0);
    for (acknowledged, (_, nonce)) in frames.iter().enumerate() {
        assert_eq!(
            reply_count(&io),
            0,
            "{acknowledged} of {} have acknowledged it",
            frames.len()
        );
        job_api.on_end_acknowledged(&job(), *nonce, &mut io);
    }
    assert_eq!(reply_body(&mut io)["Status"], "cancelled");
    // Later requests are answered immediately.
    poll(&mut job_api, 2, &mut io);
    assert_eq!(reply_body(&mut io)["Status"], "cancelled");
}

#[test]
fn an_end_is_reported_after_the_commit_wait_without_acknowledgements() {
    let mut io = io();
    let mut job_api = api_after_cancellation(&mut io);
    poll(&mut job_api, 2, &mut io);
    io.now += COMMIT_WAIT_MS - 1;
    job_api.run_due_work(48, &mut io);
    assert_eq!(reply_count(&io), 0);
    io.now += 1;
    job_api.run_due_work(48, &mut io);
    assert_eq!(reply_count(&io), 2);
    assert_eq!(reply_body(&mut io)["Status"], "cancelled");
}

// The user gets a response before its timeout, and the end when it retries.
#[test]
fn a_poll_that_cannot_wait_longer_is_told_to_retry() {
    let mut io = io();
    let mut job_api = new_job_api();
    poll(&mut job_api, 1, &mut io);
    io.now += 1_000;
    let (_, live, _) = only_call(&mut io);
    job_api.handle_response(live, &absent_response(), &TaskCounts::new(), &mut io);
    let (_, ended, _) = only_call(&mut io);
    let record = serde_json::json!({ "Path": "e/wk-1", "V": { "end": "done", "tasks": 2 }, "Stamp": 8 });
    job_api.handle_response(ended, &response(200, record), &TaskCounts::new(), &mut io);
    assert_eq!(reply_count(&io), 0);
    io.now += POLL_RESPONSE_DEADLINE_MS - 1_000;
    job_api.run_due_work(48, &mut io);
    assert_eq!(reply_status(&mut io), 503);
    io.now += COMMIT_WAIT_MS;
    job_api.run_due_work(48, &mut io);
    poll(&mut job_api, 2, &mut io);
    assert_eq!(reply_body(&mut io)["Status"], "done");
}

fn submit_job(job_api: &mut JobApi, io: &mut Io) -> CallId {
    let body = serde_json::json!({
        "Id": JOB, "Lane": "batch", "Crew": "red", "Shape": "sweep", "Urgency": "standard", "Picks": 1,
        "Cpus": 1.0, "Gpus": 0.0, "MemGb": 1.0, "Kit": "img-1", "PullGb": 1.0, "Rigs": null, "Yard": null,
        "OneZone": false, "Apart": false, "Loaners": false, "RuntimeS": 10.0, "StashEveryS": 0.0,
        "StashS": 0.0, "DueS": null,
    });
    let (body, deployment) = (body.to_string(), settings().deployment);
    let flavors = include_str!("../../tests/support/flavors.json");
    let types = serde_json::from_str::<crate::protocol::MachineTypeList>(flavors)
        .unwrap()
        .types;
    let counts = Default::default();
    let types = Some(admission::KnownMachineTypes {
        list: &types,
        confirmed: true,
    });
    let spec = admission::accept(body.as_bytes(), &deployment, &counts, types, 0).unwrap();
    job_api.handle_request(RequestId(1), job(), JobRequest::Submit(Box::new(spec)), io);
    only_call(io).1
}

#[test]
fn a_repeated_submission_read_before_a_peers_notice_is_read_again() {
    let mut io = io();
    let mut job_api = new_job_api();
    let create = submit_job(&mut job_api, &mut io);
    let known = response(409, serde_json::json!({ "failed": ["j/wk-1"], "Ledger": 9 }));
    job_api.handle_response(create, &known, &TaskCounts::new(), &mut io);
    let (path, live, _) = only_call(&mut io);
    assert_eq!(path, "/store/j/wk-1");
    io.now += 10;
    assert!(job_api.on_peer_notice(job(), true, io.now));
    job_api.handle_response(live, &live_response(), &TaskCounts::new(), &mut io);
    assert_eq!(reply_count(&io), 0);
    assert_eq!(only_call(&mut io).0, "/store/e/wk-1");
}

#[test]
fn a_read_that_took_too_long_is_not_returned() {
    let mut io = io();
    let mut job_api = new_job_api();
    let create = submit_job(&mut job_api, &mut io);
    let known = response(409, serde_json::json!({ "failed": ["j/wk-1"], "Ledger": 9 }));
    job_api.handle_response(create, &known, &TaskCounts::new(), &mut io);
    let (_, live, _) = only_call(&mut io);
    io.now += LIVE_READ_MAX_AGE_MS;
    job_api.handle_response(live, &live_response(), &TaskCounts::new(), &mut io);
    assert_eq!(reply_count(&io), 0);
    let (_, live, _) = only_call(&mut io);
    io.now += LIVE_READ_MAX_AGE_MS - 1;
    job_api.handle_response(live, &live_response(), &TaskCounts::new(), &mut io);
    let until = io.effects.iter().find_map(|effect| match effect {
        Effect::Reply { until, .. } => *until,
        _ => None,
    });
    assert_eq!(
        until,
        Some(io.now + 1),
        "the reply expires when the reading is too old"
    );
}

#[test]
fn a_job_that_ended_during_its_acceptance_is_not_reported_as_pending() {
    let mut io = io();
    let mut job_api = new_job_api();
    let create = submit_job(&mut job_api, &mut io);
    io.now += 10;
    assert!(job_api.on_peer_notice(job(), true, io.now));
    let created = response(200, serde_json::json!({ "Ledger": 9 }));
    let done = job_api.handle_response(create, &created, &TaskCounts::new(), &mut io);
    assert!(matches!(done, Some(Some(AcceptedJob { version: 9, .. }))));
    assert_eq!(reply_count(&io), 0);
    assert_eq!(only_call(&mut io).0, "/store/e/wk-1");
}

// A peer's notice of the acceptance arrives between the two reads.
#[test]
fn a_job_accepted_by_a_peer_meanwhile_is_not_reported_as_absent() {
    let mut io = io();
    let mut job_api = new_job_api();
    poll(&mut job_api, 1, &mut io);
    let (_, live, _) = only_call(&mut io);
    job_api.handle_response(live, &absent_response(), &TaskCounts::new(), &mut io);
    let (_, ended, _) = only_call(&mut io);
    assert!(job_api.on_peer_notice(job(), false, io.now));
    job_api.handle_response(ended, &absent_response(), &TaskCounts::new(), &mut io);
    assert_eq!(reply_count(&io), 0);
    assert_eq!(only_call(&mut io).0, "/store/j/wk-1");
}

// A notice that is not recorded must not be acknowledged.
#[test]
fn notices_beyond_the_limit_are_not_recorded() {
    let mut job_api = new_job_api();
    for number in 0..MAX_PEER_NOTICES {
        let job = JobId(std::sync::Arc::from(format!("wk-9{number}")));
        assert!(job_api.on_peer_notice(job, true, 1_000));
    }
    assert!(!job_api.on_peer_notice(job(), true, 1_000));
    assert!(job_api.on_peer_notice(job(), true, 1_000 + USER_WRITE_TIMEOUT_MS));
}

/// Records a call that may still start a task of the job until 500 ms from now.
fn start_in_flight(io: &mut Io) -> CallId {
    let call = CallId(9_000);
    let jobs = std::collections::BTreeSet::from([job()]);
    io.starts_in_flight.insert(call, jobs, io.now + 500);
    call
}

fn acknowledgement_count(io: &Io) -> usize {
    let is_acknowledgement = |effect: &&Effect| {
        matches!(effect, Effect::Frame { bytes, .. }
            if matches!(Frame::decode(bytes), Ok(Some((Some(Frame::EndAcknowledged { .. }), _)))))
    };
    io.effects.iter().filter(is_acknowledgement).count()
}

// The connection to a worker took longer than the acknowledgement, and the start was sent after the user had been told
// that the job is cancelled.
#[test]
fn a_peers_notice_is_acknowledged_once_no_start_of_the_job_can_be_sent() {
    let (mut io, mut job_api) = (io(), new_job_api());
    let call = start_in_flight(&mut io);
    job_api.on_end_notice(job(), 70, Some(0), &mut io);
    job_api.run_due_work(48, &mut io);
    assert_eq!(acknowledgement_count(&io), 0);
    io.starts_in_flight.complete(call);
    job_api.run_due_work(48, &mut io);
    assert_eq!(acknowledgement_count(&io), 1);

    // A call without an outcome is not sent after its time.
    start_in_flight(&mut io);
    job_api.on_end_notice(job(), 71, Some(0), &mut io);
    assert_eq!(acknowledgement_count(&io), 1);
    io.now += 500;
    job_api.run_due_work(48, &mut io);
    assert_eq!(acknowledgement_count(&io), 2);
    // Starts of other jobs do not matter.
    start_in_flight(&mut io);
    job_api.on_end_notice(JobId(std::sync::Arc::from("wk-2")), 72, Some(0), &mut io);
    assert_eq!(acknowledgement_count(&io), 3);
}

// The same for a leader that cancels a job itself: its peers acknowledge within milliseconds.
#[test]
fn an_end_is_reported_once_this_node_cannot_send_a_start_of_the_job() {
    let mut io = io();
    let call = start_in_flight(&mut io);
    let mut job_api = api_after_cancellation(&mut io);
    for (_, nonce) in end_notices(&mut io) {
        job_api.on_end_acknowledged(&job(), nonce, &mut io);
    }
    job_api.run_due_work(48, &mut io);
    assert_eq!(reply_count(&io), 0);
    io.starts_in_flight.complete(call);
    job_api.run_due_work(48, &mut io);
    assert_eq!(reply_count(&io), 1);
    assert_eq!(reply_body(&mut io)["Status"], "cancelled");
}
