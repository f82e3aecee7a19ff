use super::*;
use crate::Usage;
use std::sync::Arc;

fn definitions(text: &str) -> Definitions {
    serde_json::from_str(text).unwrap()
}

fn demand(parts: &[(&str, u64)]) -> Demand {
    Demand::new(
        &parts
            .iter()
            .map(|(name, units)| ((*name).to_owned(), *units))
            .collect(),
    )
    .unwrap()
}

fn aged(age_s: f64, estimate_s: f64) -> Requester {
    Requester {
        age_s,
        estimate_s,
        reserved_s: 0.0,
    }
}

/// Units of the demand of one task for which other tasks would have to be stopped.
fn units_to_free(unit_ledger: &mut UnitLedger<'_>, demand: &Demand) -> Vec<(Name, u32)> {
    unit_ledger.deficit(demand, 1).unwrap().units
}

const FRESH: Requester = Requester {
    age_s: 0.0,
    estimate_s: 10.0,
    reserved_s: 0.0,
};

#[test]
fn free_units_exclude_held_lingering_and_external_ones() {
    let definitions = definitions(r#"{ "seat": { "units": 6, "server": "127.0.0.1:1" } }"#);
    let (one, two) = (demand(&[("seat", 1)]), demand(&[("seat", 2)]));
    let says = |total, host: &str| {
        let mut feed = UsageFeed::default();
        feed.start_poll(0);
        feed.record_answer(Ok(Usage {
            total,
            in_use: 1,
            seats: vec![(host.to_owned(), 1)],
        }));
        BTreeMap::from([(Arc::from("seat"), feed)])
    };
    let is_own_machine = |host: &str| host.starts_with("m-");
    let mut unit_ledger = UnitLedger::new(&definitions);
    unit_ledger.hold("red", &one, 5.0, false);
    unit_ledger.linger("red", "seat", 1, 3.0);
    unit_ledger.apply_server_usage(&says(5, "desk"), 0, is_own_machine);
    assert_eq!(unit_ledger.available(&one, 9, &FRESH), 2);
    assert_eq!(unit_ledger.available(&two, 9, &FRESH), 1);
    let shortage = unit_ledger.handle_shortage(&two, 2, &FRESH).0.unwrap();
    assert_eq!(shortage.reason, ShortageReason::External);
    // Oversubscribed: nothing starts, and no stop is requested.
    let mut unit_ledger = UnitLedger::new(&definitions);
    unit_ledger.hold("red", &two, 5.0, false);
    unit_ledger.apply_server_usage(&says(1, "m-1"), 0, is_own_machine);
    assert_eq!(
        (
            unit_ledger.available(&one, 9, &FRESH),
            unit_ledger.get("seat").unwrap().excess()
        ),
        (0, 1)
    );
    assert_eq!(unit_ledger.deficit(&one, 1), None);
    // The usage of outside clients is unknown.
    let mut unit_ledger = UnitLedger::new(&definitions);
    unit_ledger.apply_server_usage(&BTreeMap::new(), 0, is_own_machine);
    assert_eq!(unit_ledger.available(&one, 9, &FRESH), 0);
    assert_eq!(
        unit_ledger.handle_shortage(&one, 1, &FRESH).0.unwrap().reason,
        ShortageReason::Silent
    );
}

#[test]
fn nothing_starts_on_an_undefined_count() {
    let definitions = Definitions::new();
    let one = demand(&[("seat", 1)]);
    let mut unit_ledger = UnitLedger::new(&definitions);
    assert_eq!(unit_ledger.available(&one, 1, &FRESH), 0);
    assert_eq!(
        unit_ledger.handle_shortage(&one, 1, &FRESH).0.unwrap().reason,
        ShortageReason::Undefined
    );
    unit_ledger.hold("red", &one, 1.0, false);
    assert_eq!(unit_ledger.available(&one, 1, &FRESH), 0);
}

#[test]
fn free_units_are_reserved_for_an_old_request() {
    let definitions = definitions(r#"{ "seat": { "units": 4 } }"#);
    let (one, four) = (demand(&[("seat", 1)]), demand(&[("seat", 4)]));
    let held = demand(&[("seat", 1)]);
    let startable_by_others = |age_s, reserved_s, estimate_s| {
        let mut unit_ledger = UnitLedger::new(&definitions);
        unit_ledger.hold("red", &held, 20.0, false);
        assert_eq!(unit_ledger.available(&four, 1, &FRESH), 0);
        let old = Requester {
            reserved_s,
            ..aged(age_s, 30.0)
        };
        unit_ledger.handle_shortage(&four, 1, &old);
        unit_ledger.available(&one, 9, &aged(0.0, estimate_s))
    };
    assert_eq!(
        startable_by_others(1.0, 0.0, 100.0),
        3,
        "too young: no reservation"
    );
    assert_eq!(
        startable_by_others(RESERVE_AFTER_S, 0.0, 100.0),
        0,
        "free units are reserved"
    );
    assert_eq!(
        startable_by_others(RESERVE_AFTER_S, 0.0, 10.0),
        3,
        "finishes before the last unit becomes free"
    );
    assert_eq!(
        startable_by_others(RESERVE_AFTER_S, 0.0, 0.0),
        0,
        "without an estimate, no backfilling"
    );
    assert_eq!(
        startable_by_others(RESERVE_AFTER_S, BACKFILL_S, 10.0),
        0,
        "the backfill time is over"
    );
}

#[test]
fn tasks_that_end_sooner_than_a_stop_would_free_units_are_not_stopped() {
    let definitions = definitions(r#"{ "seat": { "units": 1, "linger_s": 20 } }"#);
    let one = demand(&[("seat", 1)]);
    for (left_s, missing) in [(19.0, 0), (21.0, 1)] {
        let mut unit_ledger = UnitLedger::new(&definitions);
        unit_ledger.hold("red", &one, left_s, false);
        assert_eq!(units_to_free(&mut unit_ledger, &one).len(), missing);
    }
}

#[test]
fn units_being_released_are_assigned_to_one_request_only() {
    let definitions = definitions(r#"{ "seat": { "units": 4, "linger_s": 20 } }"#);
    let (one, two) = (demand(&[("seat", 1)]), demand(&[("seat", 2)]));
    let mut unit_ledger = UnitLedger::new(&definitions);
    unit_ledger.hold("red", &one, 50.0, false);
    unit_ledger.hold("red", &one, 50.0, true);
    unit_ledger.linger("red", "seat", 2, 10.0);
    // Otherwise every pass within the linger time of 20 s would stop another task.
    assert_eq!(units_to_free(&mut unit_ledger, &two), []);
    assert_eq!(units_to_free(&mut unit_ledger, &one), []);
    assert_eq!(units_to_free(&mut unit_ledger, &one), [(Arc::from("seat"), 1)]);
}

#[test]
fn claimed_units_are_withheld_until_the_request_is_complete() {
    let definitions = definitions(r#"{ "a": { "units": 1 }, "b": { "units": 1, "linger_s": 9 } }"#);
    let both = demand(&[("a", 1), ("b", 1)]);
    let mut unit_ledger = UnitLedger::new(&definitions);
    unit_ledger.linger("red", "b", 1, 5.0);
    assert_eq!(
        units_to_free(&mut unit_ledger, &both),
        [],
        "one unit is free, one is being released"
    );
    unit_ledger.claim(&both, 1);
    assert_eq!(unit_ledger.available(&demand(&[("a", 1)]), 1, &FRESH), 0);
    assert_eq!(unit_ledger.get("a").unwrap().reserved(), 1);
}

#[test]
fn shares_are_guaranteed_and_other_units_are_borrowed() {
    let definitions =
        definitions(r#"{ "seat": { "units": 4, "shares": { "red": 2 } }, "free": { "units": 9 } }"#);
    let one = demand(&[("seat", 1)]);
    let mut unit_ledger = UnitLedger::new(&definitions);
    assert_eq!(unit_ledger.tasks_within_share("red", &one, 9), Some(2));
    assert_eq!(unit_ledger.tasks_within_share("blue", &one, 9), Some(0));
    assert_eq!(
        unit_ledger.tasks_within_share("blue", &demand(&[("free", 1)]), 9),
        None
    );
    unit_ledger.allocate("red", &one, 1.0);
    unit_ledger.allocate("blue", &one, 1.0);
    assert_eq!(unit_ledger.tasks_within_share("red", &one, 9), Some(1));
    let borrowed =
        |ledger: &UnitLedger<'_>| ["blue", "red"].map(|team| ledger.get("seat").unwrap().borrowed(team));
    assert_eq!(borrowed(&unit_ledger), [1, 0]);
    // Units already being released are not taken back a second time.
    unit_ledger.record_stops("blue", &one, &mut []);
    assert_eq!(borrowed(&unit_ledger), [0, 0]);
}

#[test]
fn machines_are_requested_once_per_unit() {
    let definitions = definitions(r#"{ "seat": { "units": 3 } }"#);
    let one = demand(&[("seat", 1)]);
    let mut unit_ledger = UnitLedger::new(&definitions);
    assert_eq!(unit_ledger.available_later(&one, 2), 2);
    assert_eq!(unit_ledger.available_later(&one, 5), 1);
    assert_eq!(unit_ledger.available_later(&one, 5), 0);
}
