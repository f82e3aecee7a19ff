use super::*;
use crate::constants::{HEARTBEAT_MAX_AGE_MS, MAX_BODY_BYTES, MAX_PEER_PROBES};
use crate::io::Destination;
use crate::peers::{PeerHeartbeat, ReachabilityAnswer, ReachabilityQuery};

fn settings() -> Settings {
    Settings::parse(include_str!("../../tests/support/settings.json")).unwrap()
}

fn health_status(node: &mut Node) -> u16 {
    node.handle(Command::Request {
        request: RequestId(1),
        method: "GET".to_owned(),
        path: "/healthz".to_owned(),
        body: Vec::new(),
    });
    let effects = node.take_effects();
    let status = effects.iter().find_map(|effect| match effect {
        Effect::Reply { status, .. } => Some(*status),
        _ => None,
    });
    status.expect("a reply")
}

fn peer_heartbeat(node: &mut Node, state_ok: bool) {
    // Position of `n1` among the members.
    let heartbeat = PeerHeartbeat {
        index: 1,
        token: 0,
        leads: false,
        state_ok,
        workers_heard: 0,
    };
    node.handle(Command::Frame(Frame::PeerHeartbeat(heartbeat)));
}

/// A node that knows the machine types and for which the state service has failed long enough.
fn node_with_failing_state_service() -> Node {
    let mut node = Node::new(settings(), 1, 0, 0);
    let flavors = include_str!("../../tests/support/flavors.json");
    node.set_machine_types(serde_json::from_str(flavors).unwrap());
    assert_eq!(health_status(&mut node), 200);
    node.record_state_response(&Outcome::NoAnswer);
    node.set_time(STATE_UNHEALTHY_AFTER_MS, 0);
    node
}

#[test]
fn every_node_is_healthy_in_an_outage_of_the_state_service() {
    let mut node = node_with_failing_state_service();
    peer_heartbeat(&mut node, false);
    assert_eq!(health_status(&mut node), 200);
}

#[test]
fn a_node_that_alone_loses_the_state_service_is_unhealthy() {
    let mut node = node_with_failing_state_service();
    peer_heartbeat(&mut node, true);
    assert_eq!(health_status(&mut node), 503);
}

// A partitioned node stayed healthy and got new users, who received no answers during the partition: it
// had the fewest connections, so the load balancer preferred it.
#[test]
fn a_node_partitioned_from_peers_and_the_state_service_is_unhealthy() {
    let mut node = node_with_failing_state_service();
    assert_eq!(health_status(&mut node), 503);
    peer_heartbeat(&mut node, false);
    assert_eq!(health_status(&mut node), 200);
    node.set_time(STATE_UNHEALTHY_AFTER_MS + HEARTBEAT_MAX_AGE_MS, 0);
    assert_eq!(health_status(&mut node), 503);
    node.record_state_response(&Outcome::Answer {
        status: 200,
        body: Vec::new(),
    });
    assert_eq!(
        health_status(&mut node),
        200,
        "losing the peers alone is no reason"
    );
}

/// The reply to a submission when the state service answers every call with the same outcome.
fn submission(node: &mut Node, body: &[u8], state: &Outcome) -> (u16, Vec<u8>) {
    node.handle(Command::Request {
        request: RequestId(7),
        method: "POST".to_owned(),
        path: "/v1/jobs".to_owned(),
        body: body.to_vec(),
    });
    for _ in 0..8 {
        let mut calls = Vec::new();
        for effect in node.take_effects() {
            match effect {
                Effect::Reply { status, body, .. } => return (status, body),
                Effect::Call { call, .. } => calls.push(call),
                _ => (),
            }
        }
        for call in calls {
            let outcome = state.clone();
            node.handle(Command::Answer { call, outcome });
        }
    }
    panic!("no reply");
}

// A submission may only be rejected after reading that its id is unknown, because the user does not retry
// a rejected submission.
#[test]
fn a_submission_is_rejected_only_after_its_id_was_read() {
    let answer = |status, body: &str| Outcome::Answer {
        status,
        body: body.as_bytes().to_vec(),
    };
    let ended = r#"{"Path":"e/wk-1","V":{"end":"done","tasks":2},"Stamp":8}"#;
    for (body, refused) in [
        (r#"{"Id":"wk-1"}"#, 400),
        (r#"{"Id":"wk-1","Cpus":1e999}"#, 400),
        (
            r#"{"Id":"wk-1","Lane":"batch","Crew":"nobody","Shape":"sweep","Urgency":"low","Picks":1,"Cpus":1,
                "Gpus":0,"MemGb":1,"Kit":"i","PullGb":0,"OneZone":false,"Apart":false,"Loaners":false,"RuntimeS":1,
                "StashEveryS":0,"StashS":0}"#,
            422,
        ),
    ] {
        for (state, status) in [
            (answer(404, r#"{"Ledger":9}"#), refused),
            (answer(200, ended), 200),
            (answer(503, "null"), 503),
            (answer(429, "null"), 503),
            (answer(200, "nonsense"), 503),
            (Outcome::NoAnswer, 503),
            (Outcome::NotSent, 503),
        ] {
            let mut node = Node::new(settings(), 1, 0, 0);
            let (reply_status, _) = submission(&mut node, body.as_bytes(), &state);
            assert_eq!(reply_status, status, "{body}, {state:?}");
        }
    }
}

// No line of a response may be longer than 64 KiB, and an error message quotes the request.
#[test]
fn an_error_response_is_short_for_any_request() {
    let absent = Outcome::Answer {
        status: 404,
        body: br#"{"Ledger":9}"#.to_vec(),
    };
    for letter in ["\\u0001", "\\\"", "x", "é"] {
        let long = letter.repeat((MAX_BODY_BYTES - 100) / letter.len());
        for body in [
            format!(r#"{{"Id":"wk-1","Cpus":"{long}"}}"#),
            format!(r#"{{"Id":"wk-1","Shape":"{long}"}}"#),
            format!(r#"{{"Id":"{long}"}}"#),
        ] {
            let mut node = Node::new(settings(), 1, 0, 0);
            let (status, answer) = submission(&mut node, body.as_bytes(), &absent);
            assert_eq!(status, 400);
            assert!(answer.len() < MAX_BODY_BYTES / 8, "{} bytes", answer.len());
        }
    }
}

// The nonce is returned to its sender and to no other peer.
#[test]
fn an_end_notice_of_a_peer_is_recorded_and_acknowledged() {
    let mut node = Node::new(settings(), 1, 0, 0);
    let job = crate::job_api::admission::parse_id("wk-1").unwrap();
    let (nonce, index) = (77, 1);
    node.take_effects();
    node.handle(Command::Frame(Frame::EndNotice {
        job: job.clone(),
        nonce,
        index,
    }));
    let sender = node.members[usize::from(index)].clone();
    let effects = node.take_effects();
    let [Effect::Frame { peer, bytes }] = &effects[..] else {
        panic!("{effects:?}");
    };
    assert_eq!(node.settings.peers[*peer].node, sender);
    let index = node.job_api.index();
    let acknowledged = Frame::EndAcknowledged { job, nonce, index };
    assert_eq!(Frame::decode(bytes), Ok(Some((Some(acknowledged), bytes.len()))));
    // A position that no member has.
    let job = crate::job_api::admission::parse_id("wk-1").unwrap();
    let index = u16::MAX;
    node.handle(Command::Frame(Frame::EndNotice { job, nonce, index }));
    assert_eq!(node.take_effects(), []);
}

fn query(machine: &str) -> Command {
    Command::Frame(Frame::ReachabilityQuery(ReachabilityQuery {
        round: 7,
        number: 3,
        index: 1,
        machine: machine.to_owned(),
        addr: "10.1.0.2:9000".to_owned(),
    }))
}

/// The probes of workers among these effects.
fn probes(effects: &[Effect]) -> Vec<CallId> {
    let probes = effects.iter().filter_map(|effect| match effect {
        Effect::Call { call, to, path, .. } if *to == Destination::Worker("10.1.0.2:9000".to_owned()) => {
            assert_eq!(path, paths::INSPECT);
            Some(*call)
        }
        _ => None,
    });
    probes.collect()
}

/// A heartbeat of a machine at `10.1.0.2:9000`.
fn heartbeat(machine: &str) -> Heartbeat {
    Heartbeat {
        machine: machine.to_owned(),
        addr: "10.1.0.2:9000".to_owned(),
        machine_type: "small".to_owned(),
        zone: "east".to_owned(),
        spot: false,
        agent_epoch: 1,
        seq: 1,
        token: 0,
        reclaim_notice_s: None,
        tasks: Vec::new(),
    }
}

/// The answer of a node that is asked whether it reaches a machine, if the probe has this outcome.
fn reachability_answer(machine: &str, outcome: Outcome) -> ReachabilityAnswer {
    let mut node = Node::new(settings(), 1, 0, 0);
    reachability_answer_of(&mut node, machine, outcome)
}

fn reachability_answer_of(node: &mut Node, machine: &str, outcome: Outcome) -> ReachabilityAnswer {
    node.handle(query(machine));
    let [call] = probes(&node.take_effects())[..] else {
        panic!("not one probe");
    };
    node.handle(Command::Answer { call, outcome });
    let frames = node.take_effects().into_iter().filter_map(|effect| match effect {
        Effect::Frame { bytes, .. } => Frame::decode(&bytes).unwrap().unwrap().0,
        _ => None,
    });
    let answers: Vec<ReachabilityAnswer> = frames
        .filter_map(|frame| match frame {
            Frame::ReachabilityAnswer(answer) => Some(answer),
            _ => None,
        })
        .collect();
    assert_eq!(answers.len(), 1);
    answers[0]
}

fn inspect_response(machine: &str) -> Outcome {
    Outcome::Answer {
        status: 200,
        body: serde_json::to_vec(&heartbeat(machine)).unwrap(),
    }
}

#[test]
fn a_node_probes_the_machine_that_a_peer_asks_about() {
    let answer = reachability_answer("m-1", inspect_response("m-1"));
    assert_eq!((answer.round, answer.number, answer.index), (7, 3, 0));
    assert!(answer.reached);
    assert!(!reachability_answer("m-1", Outcome::NoAnswer).reached);
}

#[test]
fn a_node_tells_for_a_while_that_it_hears_a_machine() {
    let mut node = Node::new(settings(), 1, 0, 0);
    node.handle(Command::Request {
        request: RequestId(1),
        method: "POST".to_owned(),
        path: paths::REPORT.to_owned(),
        body: serde_json::to_vec(&heartbeat("m-1")).unwrap(),
    });
    node.take_effects();
    assert!(reachability_answer_of(&mut node, "m-1", Outcome::NoAnswer).heard);
    assert!(!reachability_answer_of(&mut node, "m-2", Outcome::NoAnswer).heard);
    node.set_time(node.worker_failover_ms(), 0);
    assert!(!reachability_answer_of(&mut node, "m-1", Outcome::NoAnswer).heard);
}

#[test]
fn another_machine_at_the_same_address_does_not_count_as_reached() {
    assert!(!reachability_answer("m-1", inspect_response("m-2")).reached);
}

#[test]
fn probes_for_peers_are_limited() {
    let mut node = Node::new(settings(), 1, 0, 0);
    for _ in 0..2 * MAX_PEER_PROBES {
        node.handle(query("m-1"));
    }
    assert_eq!(probes(&node.take_effects()).len(), MAX_PEER_PROBES);
}
