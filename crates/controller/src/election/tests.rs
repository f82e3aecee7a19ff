use super::*;
use crate::constants::{CLAIM_JITTER_MS, LEADER_LOOKUP_RETRY_MS};
use crate::io::Effect;
use crate::protocol;
use crate::settings::Settings;
use crate::storage::records::LEADER_KEY;
use serde_json::json;

const INCARNATION: u64 = 7;

fn answer(status: u16, body: serde_json::Value) -> Outcome {
    Outcome::Answer {
        status,
        body: body.to_string().into_bytes(),
    }
}

/// Polls the election, and responds to the one call that it makes.
fn step(election: &mut Election, io: &mut Io, path: &str, outcome: &Outcome) -> Option<ElectionEvent> {
    io.now += CLAIM_JITTER_MS;
    if io.effects.is_empty() {
        assert_eq!(election.run_due_work(io), None);
    }
    let calls = std::mem::take(&mut io.effects);
    let [
        Effect::Call {
            call,
            path: requested_path,
            ..
        },
    ] = &calls[..]
    else {
        panic!("{calls:?}");
    };
    assert_eq!(requested_path, path);
    election
        .handle_response(*call, outcome, io)
        .expect("a call of the election")
}

fn key(node: &str, incarnation: u64, lease: Option<u64>) -> protocol::StoredItem {
    protocol::StoredItem {
        key: LEADER_KEY.to_owned(),
        value: json!({ "node": node, "incarnation": incarnation }),
        version: 40,
        lease,
    }
}

/// A node that leads under lease 12, after a claim under lease 11 that was never answered.
fn elected_node(io: &mut Io) -> Election {
    let settings = Settings::parse(include_str!("../../tests/support/settings.json")).unwrap();
    let mut election = Election::new("n0", INCARNATION, &settings.deployment);
    let absent = answer(404, json!({ "Ledger": 9 }));
    step(&mut election, io, "/store/leader", &absent);
    step(&mut election, io, "/holds", &answer(200, json!({ "Permit": 11 })));
    step(&mut election, io, "/multi", &Outcome::NoAnswer);
    io.now += LEADER_LOOKUP_RETRY_MS;
    step(&mut election, io, "/store/leader", &absent);
    step(&mut election, io, "/holds", &answer(200, json!({ "Permit": 12 })));
    let claimed = step(&mut election, io, "/multi", &answer(200, json!({ "Ledger": 20 })));
    assert_eq!(claimed, Some(ElectionEvent::Elected { token: 20 }));
    election
}

// A claim that timed out may be executed minutes later, after another node's term, if an outage kept its
// lease alive. It has the name and incarnation of this process, and was mistaken for a renewal.
#[test]
fn late_claim_of_this_process_is_not_a_renewal() {
    let settings = Settings::parse(include_str!("../../tests/support/settings.json")).unwrap();
    let mut io = Io::new(&settings, 1, 0, 0);
    let mut election = elected_node(&mut io);
    assert!(election.is_own_key(Some(&key("n0", INCARNATION, Some(12)))));
    assert!(!election.is_own_key(Some(&key("n0", INCARNATION, Some(11)))));
    assert!(!election.is_own_key(Some(&key("n0", INCARNATION, None))));
    assert!(!election.is_own_key(Some(&key("n0", INCARNATION + 1, Some(12)))));
    assert!(!election.is_own_key(Some(&key("n1", INCARNATION, Some(12)))));
    assert!(!election.is_own_key(None));
    election.hand_over("leaving", &mut io);
    assert!(!election.is_own_key(Some(&key("n0", INCARNATION, Some(12)))));
}

#[test]
fn a_node_that_handed_over_without_evidence_keeps_its_next_term() {
    let settings = Settings::parse(include_str!("../../tests/support/settings.json")).unwrap();
    let mut io = Io::new(&settings, 1, 0, 0);
    let mut election = elected_node(&mut io);
    io.now = 5_000;
    assert!(
        election
            .hand_over_unproven("no peer can be consulted", &mut io)
            .is_some()
    );
    io.effects.clear();
    let mut election = Election {
        leadership: elected_node(&mut io).leadership,
        ..election
    };
    // Two peers have led in the meantime, for some seconds each.
    let next_term = io.now + 30_000;
    let leases_end = next_term + cancellation_watermark::former_leases_end_ms(&settings.deployment.workers);
    io.now = leases_end;
    assert_eq!(
        election.hand_over_unproven("no peer can be consulted", &mut io),
        None
    );
    assert!(
        election
            .hand_over("a peer reaches more machines", &mut io)
            .is_some()
    );
}
