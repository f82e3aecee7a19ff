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

fn users() -> JobApi {
    JobApi::new(&settings(), 0, 0, 0)
}

fn io() -> Io {
    Io::new(&settings(), 1, 1_000, 0)
}

fn answer(status: u16, body: serde_json::Value) -> Outcome {
    Outcome::Answer {
        status,
        body: body.to_string().into_bytes(),
    }
}

/// The last reply's body.
fn told(io: &mut Io) -> serde_json::Value {
    let replies = std::mem::take(&mut io.effects);
    let body = replies.into_iter().rev().find_map(|effect| match effect {
        Effect::Reply { body, .. } => Some(body),
        _ => None,
    });
    serde_json::from_slice(&body.expect("a reply")).unwrap()
}

/// The body of the one call made, and its number.
fn comparison(io: &mut Io) -> (serde_json::Value, CallId) {
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

/// A node that has seen the job live and has a poll for it gathered.
fn polled(io: &mut Io) -> JobApi {
    let mut users = users();
    let job = JobId(std::sync::Arc::from(JOB));
    users.cache.record_live(&job, 7, Team::named("red"));
    users.begin(RequestId(1), job, JobRequest::Poll, io);
    assert!(io.effects.is_empty());
    users
}

fn cancel(users: &mut JobApi) {
    let ended = TerminalState {
        end: Ending::Cancelled,
        tasks: 0,
        team: None,
    };
    users.cache.record_end(JobId(std::sync::Arc::from(JOB)), ended);
}

#[test]
fn gathered_polls_are_answered_by_one_comparison() {
    let mut io = io();
    let mut users = polled(&mut io);
    users.begin(
        RequestId(2),
        JobId(std::sync::Arc::from(JOB)),
        JobRequest::Poll,
        &mut io,
    );
    io.now += POLL_BATCH_MS;
    users.run_due_work(48, &mut io);
    let (body, comparison) = comparison(&mut io);
    assert_eq!(
        body,
        serde_json::json!({ "If": [{ "Path": "j/wk-1", "Stamp": 7 }] })
    );
    let same = answer(200, serde_json::json!({ "Ledger": 9 }));
    users.handle_response(comparison, &same, &TaskCounts::new(), &mut io);
    assert_eq!(io.effects.len(), 2);
    assert_eq!(told(&mut io)["Status"], "pending");
}

// Its user was told "cancelled", then "running" by the poll that had gathered: the
// comparison went out without the job, which was live no longer.
#[test]
fn a_cancellation_between_poll_and_comparison_is_not_taken_back() {
    let mut io = io();
    let mut users = polled(&mut io);
    cancel(&mut users);
    io.now += POLL_BATCH_MS;
    users.run_due_work(48, &mut io);
    let (body, comparison) = comparison(&mut io);
    assert_eq!(body["If"][0]["Stamp"], 7, "the job is compared all the same");
    let same = answer(200, serde_json::json!({ "Ledger": 9 }));
    users.handle_response(comparison, &same, &TaskCounts::new(), &mut io);
    assert_eq!(told(&mut io)["Status"], "cancelled");
}

#[test]
fn a_job_that_is_over_elsewhere_is_read_again() {
    let mut io = io();
    let mut users = polled(&mut io);
    io.now += POLL_BATCH_MS;
    users.run_due_work(48, &mut io);
    let (_, comparison) = comparison(&mut io);
    let failed = answer(409, serde_json::json!({ "failed": ["j/wk-1"], "Ledger": 9 }));
    users.handle_response(comparison, &failed, &TaskCounts::new(), &mut io);
    let path = io.effects.iter().find_map(|effect| match effect {
        Effect::Call { path, .. } => Some(path.clone()),
        _ => None,
    });
    assert_eq!(path.as_deref(), Some("/store/j/wk-1"));
}

/// Where the one call made went, its number, and how long it may take, in ms.
fn call(io: &mut Io) -> (String, CallId, u64) {
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

fn poll(users: &mut JobApi, request: u64, io: &mut Io) {
    // Which jobs there are is read beside it, and is not looked at here.
    users.scan = JobScan::Complete;
    let job = JobId(std::sync::Arc::from(JOB));
    users.begin(RequestId(request), job, JobRequest::Poll, io);
}

fn status(io: &mut Io) -> u16 {
    let effects = std::mem::take(&mut io.effects);
    let mut statuses = effects.into_iter().filter_map(|effect| match effect {
        Effect::Reply { status, .. } => Some(status),
        _ => None,
    });
    let status = statuses.next().expect("a reply");
    assert!(statuses.next().is_none());
    status
}

fn absent() -> Outcome {
    answer(404, serde_json::json!({ "Ledger": 9 }))
}

/// A node that knows nothing of the job, and whose reading of its end took too long.
fn asked_too_slowly(io: &mut Io) -> JobApi {
    let mut users = users();
    poll(&mut users, 1, io);
    let (path, live, _) = call(io);
    assert_eq!(path, "/store/j/wk-1");
    io.now += 900;
    users.handle_response(live, &absent(), &TaskCounts::new(), io);
    let (path, ended, left) = call(io);
    assert_eq!((&*path, left), ("/store/e/wk-1", USER_STATE_TIMEOUT_MS - 900));
    users.handle_response(ended, &Outcome::NoAnswer, &TaskCounts::new(), io);
    assert_eq!(status(io), 503);
    users
}

// The state service took 0.9 s for each answer: there was time for one reading and not for two, and
// every poll of a job that was over failed, while those of live jobs were answered.
#[test]
fn an_end_that_was_read_too_slowly_is_read_first_the_next_time() {
    let mut io = io();
    let mut users = asked_too_slowly(&mut io);
    poll(&mut users, 2, &mut io);
    let (path, ended, left) = call(&mut io);
    assert_eq!((&*path, left), ("/store/e/wk-1", USER_STATE_TIMEOUT_MS));
    let record = serde_json::json!({ "Path": "e/wk-1", "V": { "end": "done", "tasks": 2 }, "Stamp": 8 });
    users.handle_response(ended, &answer(200, record), &TaskCounts::new(), &mut io);
    for (_, number) in ended_frames(&mut io) {
        assert_eq!(replies(&io), 0);
        users.on_end_acknowledged(&job(), number, &mut io);
    }
    assert_eq!(told(&mut io)["Status"], "done");
}

// It may have ended between the two readings: only live and then ended tell that it was never there.
#[test]
fn a_job_is_absent_only_if_its_end_is_read_last() {
    let mut io = io();
    let mut users = asked_too_slowly(&mut io);
    poll(&mut users, 2, &mut io);
    for expected in ["/store/e/wk-1", "/store/j/wk-1", "/store/e/wk-1"] {
        let (path, call, _) = call(&mut io);
        assert_eq!(path, expected);
        users.handle_response(call, &absent(), &TaskCounts::new(), &mut io);
    }
    assert_eq!(status(&mut io), 404);
    // That it was thought to be over is forgotten.
    poll(&mut users, 3, &mut io);
    assert_eq!(call(&mut io).0, "/store/j/wk-1");
}

#[test]
fn a_withdrawal_has_time_for_its_second_call() {
    let mut io = io();
    let mut users = users();
    let job = JobId(std::sync::Arc::from(JOB));
    users.begin(RequestId(1), job, JobRequest::Cancel, &mut io);
    let (path, live, left) = call(&mut io);
    assert_eq!((&*path, left), ("/store/j/wk-1", USER_STATE_TIMEOUT_MS));
    io.now += 1_400;
    let record = serde_json::json!({ "Path": "j/wk-1", "V": {}, "Stamp": 7 });
    users.handle_response(live, &answer(200, record), &TaskCounts::new(), &mut io);
    let (path, _, left) = call(&mut io);
    assert_eq!((&*path, left), ("/multi", USER_WRITE_TIMEOUT_MS - 1_400));
}

// A stream of small jobs fills what a node remembers of live and ended ones. What was forgotten is read
// again: nobody hears that a job lives which this node said was over.
#[test]
fn what_full_caches_forgot_is_read_again() {
    let mut io = io();
    let mut users = polled(&mut io);
    cancel(&mut users);
    let other = |number: usize| JobId(std::sync::Arc::from(format!("wk-{}", number + 100)));
    let over = TerminalState {
        end: Ending::Done,
        tasks: 1,
        team: None,
    };
    for number in 0..ENDED_JOB_CACHE_SIZE.max(LIVE_JOB_CACHE_SIZE) + 1 {
        users.cache.record_live(&other(number), 9, Team::named("red"));
        users.cache.record_end(other(number), over.clone());
        users
            .cache
            .record_live(&other(1_000_000 + number), 9, Team::named("red"));
        users.on_peer_notice(other(number), false, io.now);
    }
    assert!(users.cache.ended_len() <= ENDED_JOB_CACHE_SIZE && users.cache.live_len() <= LIVE_JOB_CACHE_SIZE);
    assert!(users.peer_notices.len() <= MAX_PEER_NOTICES);
    assert!(!users.cache.has_ended(&job()), "it is forgotten");
    io.now += POLL_BATCH_MS;
    users.run_due_work(48, &mut io);
    let (_, comparison) = comparison(&mut io);
    let failed = answer(409, serde_json::json!({ "failed": ["j/wk-1"], "Ledger": 9 }));
    users.handle_response(comparison, &failed, &TaskCounts::new(), &mut io);
    let (path, live, _) = call(&mut io);
    assert_eq!(path, "/store/j/wk-1");
    users.handle_response(live, &absent(), &TaskCounts::new(), &mut io);
    let (path, ended, _) = call(&mut io);
    assert_eq!(path, "/store/e/wk-1");
    let record = serde_json::json!({ "Path": "e/wk-1", "V": { "end": "cancelled", "tasks": 0 }, "Stamp": 8 });
    users.handle_response(ended, &answer(200, record), &TaskCounts::new(), &mut io);
    for (_, number) in ended_frames(&mut io) {
        assert_eq!(replies(&io), 0);
        users.on_end_acknowledged(&job(), number, &mut io);
    }
    assert_eq!(told(&mut io)["Status"], "cancelled");
}

// ---- what peers tell ----

fn job() -> JobId {
    JobId(std::sync::Arc::from(JOB))
}

/// Frames sent to peers: to whom, and with what number.
fn ended_frames(io: &mut Io) -> Vec<(usize, u64)> {
    let frames = io.effects.iter().filter_map(|effect| match effect {
        Effect::Frame { peer, bytes } => match Frame::decode(bytes) {
            Ok(Some((Some(Frame::EndNotice { nonce: number, .. }), _))) => Some((*peer, number)),
            _ => None,
        },
        _ => None,
    });
    frames.collect()
}

fn replies(io: &Io) -> usize {
    let is_reply = |effect: &&Effect| matches!(effect, Effect::Reply { .. });
    io.effects.iter().filter(is_reply).count()
}

fn live_record() -> Outcome {
    answer(200, serde_json::json!({ "Path": "j/wk-1", "V": {}, "Stamp": 7 }))
}

/// A node that has just withdrawn the job.
fn withdrawn(io: &mut Io) -> JobApi {
    let mut users = users();
    users.begin(RequestId(1), job(), JobRequest::Cancel, io);
    let (_, live, _) = call(io);
    users.handle_response(live, &live_record(), &TaskCounts::new(), io);
    let (_, moved, _) = call(io);
    let committed = answer(200, serde_json::json!({ "Ledger": 9 }));
    let done = users.handle_response(moved, &committed, &TaskCounts::new(), io);
    assert_eq!(done, Some(Some(RequestOutcome::Cancelled(job()))));
    users
}

#[test]
fn an_end_is_told_once_siblings_have_noted_it() {
    let mut io = io();
    let mut users = withdrawn(&mut io);
    let frames = ended_frames(&mut io);
    assert_eq!(frames.len(), settings().peers.len());
    assert_eq!(replies(&io), 0);
    for (at, (_, number)) in frames.iter().enumerate() {
        assert_eq!(replies(&io), 0, "{at} of {} have noted it", frames.len());
        users.on_end_acknowledged(&job(), *number, &mut io);
    }
    assert_eq!(told(&mut io)["Status"], "cancelled");
    // Everybody else is told at once.
    poll(&mut users, 2, &mut io);
    assert_eq!(told(&mut io)["Status"], "cancelled");
}

#[test]
fn a_silent_sibling_costs_the_age_of_its_readings() {
    let mut io = io();
    let mut users = withdrawn(&mut io);
    poll(&mut users, 2, &mut io);
    io.now += COMMIT_WAIT_MS - 1;
    users.run_due_work(48, &mut io);
    assert_eq!(replies(&io), 0);
    io.now += 1;
    users.run_due_work(48, &mut io);
    assert_eq!(replies(&io), 2);
    assert_eq!(told(&mut io)["Status"], "cancelled");
}

// Its user hears something before it gives up, and the end when it comes again.
#[test]
fn a_poll_that_cannot_wait_is_told_to_come_back() {
    let mut io = io();
    let mut users = users();
    poll(&mut users, 1, &mut io);
    io.now += 1_000;
    let (_, live, _) = call(&mut io);
    users.handle_response(live, &absent(), &TaskCounts::new(), &mut io);
    let (_, ended, _) = call(&mut io);
    let record = serde_json::json!({ "Path": "e/wk-1", "V": { "end": "done", "tasks": 2 }, "Stamp": 8 });
    users.handle_response(ended, &answer(200, record), &TaskCounts::new(), &mut io);
    assert_eq!(replies(&io), 0);
    io.now += POLL_RESPONSE_DEADLINE_MS - 1_000;
    users.run_due_work(48, &mut io);
    assert_eq!(status(&mut io), 503);
    io.now += COMMIT_WAIT_MS;
    users.run_due_work(48, &mut io);
    poll(&mut users, 2, &mut io);
    assert_eq!(told(&mut io)["Status"], "done");
}

fn repeat(users: &mut JobApi, io: &mut Io) -> CallId {
    let body = serde_json::json!({
        "Id": JOB, "Lane": "batch", "Crew": "red", "Shape": "sweep", "Urgency": "standard", "Picks": 1,
        "Cpus": 1.0, "Gpus": 0.0, "MemGb": 1.0, "Kit": "img-1", "PullGb": 1.0, "Rigs": null, "Yard": null,
        "OneZone": false, "Apart": false, "Loaners": false, "RuntimeS": 10.0, "StashEveryS": 0.0,
        "StashS": 0.0, "DueS": null,
    });
    let (body, deployment) = (body.to_string(), settings().deployment);
    let flavors = include_str!("../../tests/support/flavors.json");
    let types = serde_json::from_str::<crate::protocol::Flavors>(flavors)
        .unwrap()
        .types;
    let counts = Default::default();
    let types = Some(admission::KnownMachineTypes {
        list: &types,
        confirmed: true,
    });
    let spec = admission::accept(body.as_bytes(), &deployment, &counts, types, 0).unwrap();
    users.begin(RequestId(1), job(), JobRequest::Submit(Box::new(spec)), io);
    call(io).1
}

#[test]
fn a_repeated_submission_read_before_a_siblings_word_is_read_again() {
    let mut io = io();
    let mut users = users();
    let create = repeat(&mut users, &mut io);
    let known = answer(409, serde_json::json!({ "failed": ["j/wk-1"], "Ledger": 9 }));
    users.handle_response(create, &known, &TaskCounts::new(), &mut io);
    let (path, live, _) = call(&mut io);
    assert_eq!(path, "/store/j/wk-1");
    io.now += 10;
    assert!(users.on_peer_notice(job(), true, io.now));
    users.handle_response(live, &live_record(), &TaskCounts::new(), &mut io);
    assert_eq!(replies(&io), 0);
    assert_eq!(call(&mut io).0, "/store/e/wk-1");
}

#[test]
fn a_reading_that_took_too_long_is_no_answer() {
    let mut io = io();
    let mut users = users();
    let create = repeat(&mut users, &mut io);
    let known = answer(409, serde_json::json!({ "failed": ["j/wk-1"], "Ledger": 9 }));
    users.handle_response(create, &known, &TaskCounts::new(), &mut io);
    let (_, live, _) = call(&mut io);
    io.now += LIVE_READ_MAX_AGE_MS;
    users.handle_response(live, &live_record(), &TaskCounts::new(), &mut io);
    assert_eq!(replies(&io), 0);
    let (_, live, _) = call(&mut io);
    io.now += LIVE_READ_MAX_AGE_MS - 1;
    users.handle_response(live, &live_record(), &TaskCounts::new(), &mut io);
    let until = io.effects.iter().find_map(|effect| match effect {
        Effect::Reply { until, .. } => *until,
        _ => None,
    });
    assert_eq!(until, Some(io.now + 1), "and goes out by then, if at all");
}

#[test]
fn an_acceptance_that_was_overtaken_is_not_told_as_pending() {
    let mut io = io();
    let mut users = users();
    let create = repeat(&mut users, &mut io);
    io.now += 10;
    assert!(users.on_peer_notice(job(), true, io.now));
    let created = answer(200, serde_json::json!({ "Ledger": 9 }));
    let done = users.handle_response(create, &created, &TaskCounts::new(), &mut io);
    assert!(matches!(
        done,
        Some(Some(RequestOutcome::Accepted { version: 9, .. }))
    ));
    assert_eq!(replies(&io), 0);
    assert_eq!(call(&mut io).0, "/store/e/wk-1");
}

// A peer told of the acceptance between the two readings.
#[test]
fn a_job_accepted_elsewhere_meanwhile_is_not_told_absent() {
    let mut io = io();
    let mut users = users();
    poll(&mut users, 1, &mut io);
    let (_, live, _) = call(&mut io);
    users.handle_response(live, &absent(), &TaskCounts::new(), &mut io);
    let (_, ended, _) = call(&mut io);
    assert!(users.on_peer_notice(job(), false, io.now));
    users.handle_response(ended, &absent(), &TaskCounts::new(), &mut io);
    assert_eq!(replies(&io), 0);
    assert_eq!(call(&mut io).0, "/store/j/wk-1");
}

// What is not noted must not be sent back.
#[test]
fn words_beyond_the_room_for_them_are_not_noted() {
    let mut users = users();
    for more in 0..MAX_PEER_NOTICES {
        let job = JobId(std::sync::Arc::from(format!("wk-9{more}")));
        assert!(users.on_peer_notice(job, true, 1_000));
    }
    assert!(!users.on_peer_notice(job(), true, 1_000));
    assert!(users.on_peer_notice(job(), true, 1_000 + USER_WRITE_TIMEOUT_MS));
}
