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

/// Units that one task would have others stopped for.
fn lacks(book: &mut UnitLedger<'_>, demand: &Demand) -> Vec<(Name, u32)> {
    book.deficit(demand, 1).unwrap().units
}

const FRESH: Requester = Requester {
    age_s: 0.0,
    estimate_s: 10.0,
    reserved_s: 0.0,
};

#[test]
fn held_lingering_and_others_leave_the_rest() {
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
    let is_ours = |host: &str| host.starts_with("m-");
    let mut book = UnitLedger::new(&definitions);
    book.hold("red", &one, 5.0, false);
    book.linger("red", "seat", 1, 3.0);
    book.apply_server_usage(&says(5, "desk"), 0, is_ours);
    assert_eq!(book.startable_tasks(&one, 9, &FRESH), 2);
    assert_eq!(book.startable_tasks(&two, 9, &FRESH), 1);
    let lack = book.handle_shortage(&two, 2, &FRESH).0.unwrap();
    assert_eq!(lack.reason, ShortageReason::External);
    // More is used than there is: nothing starts, and no stop is asked for.
    let mut book = UnitLedger::new(&definitions);
    book.hold("red", &two, 5.0, false);
    book.apply_server_usage(&says(1, "m-1"), 0, is_ours);
    assert_eq!(
        (
            book.startable_tasks(&one, 9, &FRESH),
            book.get("seat").unwrap().excess()
        ),
        (0, 1)
    );
    assert_eq!(book.deficit(&one, 1), None);
    // Nobody knows what others hold.
    let mut book = UnitLedger::new(&definitions);
    book.apply_server_usage(&BTreeMap::new(), 0, is_ours);
    assert_eq!(book.startable_tasks(&one, 9, &FRESH), 0);
    assert_eq!(
        book.handle_shortage(&one, 1, &FRESH).0.unwrap().reason,
        ShortageReason::Silent
    );
}

#[test]
fn a_count_that_is_no_longer_defined_lets_nothing_start() {
    let definitions = Definitions::new();
    let one = demand(&[("seat", 1)]);
    let mut book = UnitLedger::new(&definitions);
    assert_eq!(book.startable_tasks(&one, 1, &FRESH), 0);
    assert_eq!(
        book.handle_shortage(&one, 1, &FRESH).0.unwrap().reason,
        ShortageReason::Undefined
    );
    book.hold("red", &one, 1.0, false);
    assert_eq!(book.startable_tasks(&one, 1, &FRESH), 0);
}

#[test]
fn what_is_free_is_kept_for_an_old_request() {
    let definitions = definitions(r#"{ "seat": { "units": 4 } }"#);
    let (one, four) = (demand(&[("seat", 1)]), demand(&[("seat", 4)]));
    let held = demand(&[("seat", 1)]);
    let play = |age_s, kept_s, estimate_s| {
        let mut book = UnitLedger::new(&definitions);
        book.hold("red", &held, 20.0, false);
        assert_eq!(book.startable_tasks(&four, 1, &FRESH), 0);
        let old = Requester {
            reserved_s: kept_s,
            ..aged(age_s, 30.0)
        };
        book.handle_shortage(&four, 1, &old);
        book.startable_tasks(&one, 9, &aged(0.0, estimate_s))
    };
    assert_eq!(play(1.0, 0.0, 100.0), 3, "too young: others go on");
    assert_eq!(play(RESERVE_AFTER_S, 0.0, 100.0), 0, "what is free is kept");
    assert_eq!(
        play(RESERVE_AFTER_S, 0.0, 10.0),
        3,
        "through before the last unit comes"
    );
    assert_eq!(play(RESERVE_AFTER_S, 0.0, 0.0), 0, "nobody knows when it ends");
    assert_eq!(
        play(RESERVE_AFTER_S, BACKFILL_S, 10.0),
        0,
        "it has waited long enough"
    );
}

#[test]
fn what_ends_before_a_stopped_one_would_be_free_needs_no_stop() {
    let definitions = definitions(r#"{ "seat": { "units": 1, "linger_s": 20 } }"#);
    let one = demand(&[("seat", 1)]);
    for (left_s, missing) in [(19.0, 0), (21.0, 1)] {
        let mut book = UnitLedger::new(&definitions);
        book.hold("red", &one, left_s, false);
        assert_eq!(lacks(&mut book, &one).len(), missing);
    }
}

#[test]
fn what_is_leaving_or_lingers_is_counted_on_once() {
    let definitions = definitions(r#"{ "seat": { "units": 4, "linger_s": 20 } }"#);
    let (one, two) = (demand(&[("seat", 1)]), demand(&[("seat", 2)]));
    let mut book = UnitLedger::new(&definitions);
    book.hold("red", &one, 50.0, false);
    book.hold("red", &one, 50.0, true);
    book.linger("red", "seat", 2, 10.0);
    // Else every pass of the 20 s would stop another task.
    assert_eq!(lacks(&mut book, &two), []);
    assert_eq!(lacks(&mut book, &one), []);
    assert_eq!(lacks(&mut book, &one), [(Arc::from("seat"), 1)]);
}

#[test]
fn what_is_claimed_waits_for_the_rest_of_the_request() {
    let definitions = definitions(r#"{ "a": { "units": 1 }, "b": { "units": 1, "linger_s": 9 } }"#);
    let both = demand(&[("a", 1), ("b", 1)]);
    let mut book = UnitLedger::new(&definitions);
    book.linger("red", "b", 1, 5.0);
    assert_eq!(lacks(&mut book, &both), [], "one is free, one comes");
    book.claim(&both, 1);
    assert_eq!(book.startable_tasks(&demand(&[("a", 1)]), 1, &FRESH), 0);
    assert_eq!(book.get("a").unwrap().reserved(), 1);
}

#[test]
fn shares_are_owed_and_the_rest_is_borrowed() {
    let definitions =
        definitions(r#"{ "seat": { "units": 4, "shares": { "red": 2 } }, "free": { "units": 9 } }"#);
    let one = demand(&[("seat", 1)]);
    let mut book = UnitLedger::new(&definitions);
    assert_eq!(book.tasks_within_share("red", &one, 9), Some(2));
    assert_eq!(book.tasks_within_share("blue", &one, 9), Some(0));
    assert_eq!(book.tasks_within_share("blue", &demand(&[("free", 1)]), 9), None);
    book.allocate("red", &one, 1.0);
    book.allocate("blue", &one, 1.0);
    assert_eq!(book.tasks_within_share("red", &one, 9), Some(1));
    let borrowed =
        |book: &UnitLedger<'_>| ["blue", "red"].map(|team| book.get("seat").unwrap().borrowed(team));
    assert_eq!(borrowed(&book), [1, 0]);
    // What is being stopped already is not to be taken back once more.
    book.record_stops("blue", &one, &mut []);
    assert_eq!(borrowed(&book), [0, 0]);
}

#[test]
fn machines_are_asked_for_once_a_unit() {
    let definitions = definitions(r#"{ "seat": { "units": 3 } }"#);
    let one = demand(&[("seat", 1)]);
    let mut book = UnitLedger::new(&definitions);
    assert_eq!(book.promise(&one, 2), 2);
    assert_eq!(book.promise(&one, 5), 1);
    assert_eq!(book.promise(&one, 5), 0);
}
