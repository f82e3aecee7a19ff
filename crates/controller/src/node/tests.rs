use super::*;
use crate::constants::MAX_BODY_BYTES;

fn settings() -> Settings {
    Settings::parse(include_str!("../../tests/support/settings.json")).unwrap()
}

fn health(node: &mut Node) -> u16 {
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

fn beat(node: &mut Node, state_ok: bool) {
    // `n1`, by its place among the members.
    let beat = PeerHeartbeat {
        index: 1,
        token: 0,
        leads: false,
        state_ok,
        workers_heard: 0,
    };
    node.handle(Command::Frame(Frame::PeerHeartbeat(beat)));
}

/// A node that knows the machine types, and which the state service has failed for long enough.
fn failed() -> Node {
    let mut node = Node::new(settings(), 1, 0, 0);
    let flavors = include_str!("../../tests/support/flavors.json");
    node.learn_types(serde_json::from_str(flavors).unwrap());
    assert_eq!(health(&mut node), 200);
    node.note_state(&Outcome::NoAnswer);
    node.set_time(STATE_UNHEALTHY_AFTER_MS, 0);
    node
}

#[test]
fn in_an_outage_every_node_is_healthy() {
    let mut node = failed();
    beat(&mut node, false);
    assert_eq!(health(&mut node), 200);
}

#[test]
fn a_node_that_alone_is_refused_sends_its_users_away() {
    let mut node = failed();
    beat(&mut node, true);
    assert_eq!(health(&mut node), 503);
}

// It went on taking users, who got no answer for as long as the cut lasted: it has the fewest
// connections, and the load balancer prefers it.
#[test]
fn a_node_cut_from_siblings_and_the_state_service_sends_its_users_away() {
    let mut node = failed();
    assert_eq!(health(&mut node), 503);
    beat(&mut node, false);
    assert_eq!(health(&mut node), 200);
    node.set_time(STATE_UNHEALTHY_AFTER_MS + HEARTBEAT_MAX_AGE_MS, 0);
    assert_eq!(health(&mut node), 503);
    node.note_state(&Outcome::Answer {
        status: 200,
        body: Vec::new(),
    });
    assert_eq!(health(&mut node), 200, "siblings alone are no reason");
}

/// The reply to a submission; the state service answers each call made for it so.
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

// Only who has read that an id is not known may refuse it: its user never comes again.
#[test]
fn a_submission_is_refused_only_once_its_id_is_read() {
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
            let (told, _) = submission(&mut node, body.as_bytes(), &state);
            assert_eq!(told, status, "{body}, {state:?}");
        }
    }
}

// No line of an answer may be longer than 64 KiB, and a refusal repeats what came.
#[test]
fn a_refusal_is_short_whatever_came() {
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

// The number goes back to whoever sent it, and to nobody else.
#[test]
fn a_siblings_word_of_an_end_is_noted_and_sent_back() {
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
