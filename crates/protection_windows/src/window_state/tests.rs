use super::*;
use crate::check;
use crate::event::{CloseReason, ValueWrite};
use proptest::prelude::*;

/// Maximum difference between two clocks, in ms.
const BOUND_MS: u64 = 1_000;
const HOUR_MS: u64 = 3_600_000;

fn timetable(text: &str) -> Timetable {
    check(&serde_json::from_str(text).unwrap(), |_| true).unwrap()
}

fn trading(more: &str) -> Timetable {
    timetable(&format!(
        r#"{{ "trading": {{ "time_zone": "UTC", "from": "06:00", "to": "22:00", "lead_s": 60,
            "classes": ["live"], "rank": 1{more} }} }}"#
    ))
}

fn at(text: &str) -> u64 {
    text.parse::<jiff::Timestamp>().unwrap().as_millisecond() as u64
}

fn service(id: &str, submitted_ms: u64) -> Service<'_> {
    Service {
        id,
        class: "live",
        team: "red",
        submitted_ms,
    }
}

/// The part of the state service that protection windows use.
#[derive(Debug, Clone, Default)]
struct Store(BTreeMap<u32, (String, u64)>, u64);

impl Store {
    fn write(&mut self, write: &ValueWrite) -> u64 {
        let stored_version = self.0.get(&write.number).map_or(0, |(_, version)| *version);
        assert_eq!(stored_version, write.version, "write on a different version");
        self.1 += 1;
        match &write.value {
            Some(text) => {
                self.0.insert(write.number, (text.clone(), self.1));
                self.1
            }
            None => {
                self.0.remove(&write.number);
                0
            }
        }
    }

    fn write_all(&mut self, state: &mut WindowState, now: u64) {
        for write in state.due_writes(now) {
            let version = self.write(&write);
            state.on_written(write.number, version);
        }
    }

    fn successor(&self, timetable: &Timetable) -> WindowState {
        let mut state = WindowState::new(timetable.clone(), BOUND_MS, 16_000);
        for (number, (text, version)) in &self.0 {
            state.restore(*number, text, *version).unwrap();
        }
        state
    }
}

#[test]
fn a_successor_whose_clock_is_behind_neither_closes_nor_reopens() {
    let timetable = trading("");
    let mut store = Store::default();
    let mut first = store.successor(&timetable);
    let opens = at("2026-12-01T05:59:00Z");
    // The opening is sent before any clock has reached it, and takes effect once it is recorded.
    first.update(opens - 2 * BOUND_MS, [service("wk-1", 0)]);
    first.update(opens - BOUND_MS, [service("wk-1", 0)]);
    assert_eq!(first.standing("wk-1"), None);
    store.write_all(&mut first, 0);
    first.update(opens - BOUND_MS, [service("wk-1", 0)]);
    assert_eq!(first.standing("wk-1").map(|standing| standing.rank), Some(1));

    let mut second = store.successor(&timetable);
    let events = second.update(opens - BOUND_MS - 900, [service("wk-1", 0)]);
    assert_eq!(
        events,
        [],
        "neither opened nor closed, and clocks within the bound"
    );
    assert!(second.standing("wk-1").is_some());

    let closes = at("2026-12-01T22:00:00Z") + BOUND_MS;
    second.update(closes, [service("wk-1", 0)]);
    assert!(
        second.standing("wk-1").is_some(),
        "closed in memory, recorded as open"
    );
    store.write_all(&mut second, 100_000);
    second.update(closes, [service("wk-1", 0)]);
    assert_eq!(second.standing("wk-1"), None);
    let mut third = store.successor(&timetable);
    let events = third.update(closes - 900, [service("wk-1", 0)]);
    assert_eq!(events, [], "recorded as closed, whatever the clock says");
    assert_eq!(third.standing("wk-1"), None);
}

#[test]
fn without_the_state_service_windows_open_on_time_and_close_late() {
    let mut state = WindowState::new(trading(""), BOUND_MS, 16_000);
    let ready = at("2026-12-01T05:59:00Z");
    let closes = at("2026-12-01T22:00:00Z");
    let mut protects = |wall_ms, is_written: bool| {
        state.update(wall_ms, [service("wk-1", 0)]);
        for write in state.due_writes(wall_ms) {
            if is_written {
                state.on_written(write.number, 1);
            } else {
                state.on_write_failed(write.number);
            }
        }
        state.standing("wk-1").is_some()
    };
    assert!(!protects(ready - 2 * BOUND_MS, false));
    assert!(!protects(ready - BOUND_MS, false));
    assert!(!protects(ready - 1, false));
    assert!(protects(ready, false));
    assert!(protects(closes + BOUND_MS, false));
    assert!(protects(closes + HOUR_MS, false), "until the closing is recorded");
    protects(closes + HOUR_MS + 2_000, true);
    assert!(!protects(closes + HOUR_MS + 4_000, true));
    // A successor without a record protects what its predecessor may have started to protect.
    let mut successor = WindowState::new(trading(""), BOUND_MS, 16_000);
    successor.update(ready - BOUND_MS, [service("wk-1", 0)]);
    assert!(successor.standing("wk-1").is_some());
}

#[test]
fn the_order_is_kept_until_the_window_closes() {
    let timetable = timetable(
        r#"{ "day": { "time_zone": "UTC", "from": "06:00", "to": "22:00", "classes": ["live"], "rank": 2 },
             "noon": { "time_zone": "UTC", "from": "11:00", "to": "13:00", "classes": ["live"],
                "teams": ["blue"], "rank": 1 } }"#,
    );
    let mut store = Store::default();
    let mut state = store.successor(&timetable);
    let order = |state: &WindowState| {
        let mut order: Vec<(Standing, String)> = state
            .standings()
            .map(|(id, standing)| (standing, id.to_string()))
            .collect();
        order.sort();
        order.into_iter().map(|(_, id)| id).collect::<Vec<_>>()
    };
    let blue = |id, submitted_ms| Service {
        team: "blue",
        ..service(id, submitted_ms)
    };
    let eight = at("2026-12-01T08:00:00Z");
    state.update(eight, [service("wk-1", 20)]);
    store.write_all(&mut state, 0);
    state.update(eight, [service("wk-1", 20)]);
    store.write_all(&mut state, 2_000);
    // Services that were submitted earlier but appear later are ordered after it.
    let all = [blue("wk-3", 5), blue("wk-2", 10), service("wk-1", 20)];
    state.update(eight, all);
    store.write_all(&mut state, 4_000);
    assert_eq!(order(&state), ["wk-1", "wk-3", "wk-2"]);
    let mut state = store.successor(&timetable);
    state.update(eight, all);
    assert_eq!(order(&state), ["wk-1", "wk-3", "wk-2"]);
    // The best of several ranks applies, and the order within a rank is unchanged afterwards.
    state.update(at("2026-12-01T12:00:00Z"), all);
    store.write_all(&mut state, 6_000);
    assert_eq!(order(&state), ["wk-3", "wk-2", "wk-1"]);
    let after = at("2026-12-01T13:00:05Z");
    for turn in 0..4 {
        state.update(after, all);
        store.write_all(&mut state, 8_000 + turn * 2_000);
    }
    assert_eq!(order(&state), ["wk-1", "wk-3", "wk-2"]);
    let night = at("2026-12-01T22:00:05Z");
    for turn in 0..4 {
        state.update(night, all);
        store.write_all(&mut state, 20_000 + turn * 2_000);
    }
    assert!(state.protects_nothing());
    assert_eq!(
        store.0.keys().collect::<Vec<_>>(),
        [&0],
        "values without services are deleted"
    );
}

#[test]
fn unreadable_records_are_not_overwritten() {
    let ready = at("2026-12-01T05:59:00Z");
    for (text, error) in [
        (
            r#"{"v":9,"at":5,"windows":[]}"#,
            "a later build wrote it, in form 9",
        ),
        (
            r#"{"v":1,"at":5,"open":[{"s":"#,
            "unreadable: EOF while parsing a value at line 1 column 27",
        ),
    ] {
        let mut state = WindowState::new(trading(""), BOUND_MS, 16_000);
        assert_eq!(state.restore(0, text, 7).unwrap_err().to_string(), error);
        state.update(ready, [service("wk-1", 0)]);
        assert_eq!(state.due_writes(0), [], "the record is not overwritten");
        let standing = state.standing("wk-1").unwrap();
        assert_eq!(
            standing.position,
            u64::MAX,
            "protected by the clock, without an order"
        );
    }
}

#[test]
fn a_schedule_removed_from_the_settings_protects_recorded_services() {
    let mut store = Store::default();
    let mut first = store.successor(&trading(""));
    let eight = at("2026-12-01T08:00:00Z");
    for turn in 0..2 {
        first.update(eight, [service("wk-1", 0)]);
        store.write_all(&mut first, turn * 2_000);
    }
    let other = timetable(
        r#"{ "night": { "time_zone": "UTC", "from": "22:00", "to": "05:00", "classes": ["live"], "rank": 4 } }"#,
    );
    let mut second = store.successor(&other);
    let both = [service("wk-1", 0), service("wk-2", 0)];
    let events = second.update(eight, both);
    let closes_ms = at("2026-12-01T22:00:00Z");
    let schedule: Name = "trading".into();
    assert_eq!(
        events,
        [Event::NotInSettings {
            schedule: schedule.clone(),
            closes_ms
        }]
    );
    assert_eq!(second.standing("wk-1").map(|standing| standing.rank), Some(1));
    assert_eq!(second.standing("wk-2"), None);
    assert_eq!(second.spare_shares(), []);
    // A leader whose settings contain the schedule continues it unchanged.
    let mut third = store.successor(&trading(""));
    assert_eq!(third.update(eight, both), []);
    assert_eq!(third.standing("wk-1"), first.standing("wk-1"));
    // The window ends at the recorded time.
    let events = second.update(closes_ms + BOUND_MS, both);
    assert!(events.iter().any(
        |event| matches!(event, Event::Closed { schedule: closed, reason: CloseReason::Ended, .. } if *closed == schedule)
    ));
}

#[test]
fn a_window_is_closed_once_if_settings_differ() {
    let mut store = Store::default();
    let long = trading("");
    let short = timetable(
        r#"{ "trading": { "time_zone": "UTC", "from": "07:00", "to": "20:00", "classes": ["live"], "rank": 1 } }"#,
    );
    let mut state = store.successor(&long);
    let half_past_six = at("2026-12-01T06:30:00Z");
    for turn in 0..2 {
        state.update(half_past_six, [service("wk-1", 0)]);
        store.write_all(&mut state, turn * 2_000);
    }
    let mut state = store.successor(&short);
    assert_eq!(
        state.update(half_past_six, [service("wk-1", 0)]),
        [],
        "the window is already open"
    );
    assert!(state.standing("wk-1").is_some());
    let nine = at("2026-12-01T21:00:00Z");
    for turn in 0..2 {
        state.update(nine, [service("wk-1", 0)]);
        store.write_all(&mut state, 10_000 + turn * 2_000);
    }
    assert_eq!(state.standing("wk-1"), None);
    let mut state = store.successor(&long);
    state.update(nine, [service("wk-1", 0)]);
    assert_eq!(state.standing("wk-1"), None, "a closed window is not reopened");
    // The window of a day that the settings declare closed is closed.
    let mut store = Store::default();
    let mut state = store.successor(&long);
    for turn in 0..2 {
        state.update(nine, [service("wk-1", 0)]);
        store.write_all(&mut state, turn * 2_000);
    }
    let mut state = store.successor(&trading(r#", "closed": ["2026-12-01"]"#));
    let events = state.update(nine, [service("wk-1", 0)]);
    assert!(matches!(
        events[..],
        [Event::Closed {
            reason: CloseReason::NoWindow,
            ..
        }]
    ));
}

#[test]
fn a_clock_out_of_bounds_is_reported_once_and_reopens_nothing() {
    let mut store = Store::default();
    let mut state = store.successor(&trading(""));
    let night = at("2026-12-01T22:10:00Z");
    state.update(at("2026-12-01T21:00:00Z"), []);
    store.write_all(&mut state, 0);
    state.update(night, []);
    store.write_all(&mut state, 2_000);
    let mut state = store.successor(&trading(""));
    let an_hour_back = night - HOUR_MS;
    let events = state.update(an_hour_back, [service("wk-1", 0)]);
    assert_eq!(events, [Event::ClockBehind { behind_ms: HOUR_MS }]);
    assert_eq!(state.update(an_hour_back + 500, [service("wk-1", 0)]), []);
    assert_eq!(state.standing("wk-1"), None);
}

#[test]
fn values_have_a_bounded_size_and_write_rate() {
    let mut store = Store::default();
    let mut state = store.successor(&trading(""));
    let ids: Vec<String> = (0..3_000).map(|number| format!("wk-{number:06}")).collect();
    let all = || ids.iter().map(|id| service(id, 0));
    let eight = at("2026-12-01T08:00:00Z");
    let mut writes = 0;
    for turn in 0..100 {
        state.update(eight + turn * 500, all());
        for write in state.due_writes(turn * 500) {
            assert!(write.value.as_ref().unwrap().len() <= 16_000);
            let version = store.write(&write);
            state.on_written(write.number, version);
            writes += 1;
        }
    }
    assert_eq!(
        store.0.len(),
        12,
        "one value of windows, and some 270 services per value"
    );
    assert_eq!(writes, 12, "each value once, at most two per second");
    let successor = store.successor(&trading(""));
    for id in &ids {
        assert_eq!(successor.standing(id), state.standing(id));
    }
    // The end of a single service is not written at once.
    state.update(eight + 50_000, all().skip(1));
    assert_eq!(state.due_writes(50_000), []);
    assert_eq!(state.due_writes(200_000).len(), 1);
}

#[test]
fn a_value_that_is_too_large_is_not_written() {
    let mut state = WindowState::new(trading(""), BOUND_MS, 100);
    let eight = at("2026-12-01T08:00:00Z");
    state.update(eight, [service("wk-1", 0)]);
    assert_eq!(state.due_writes(0), []);
    let events = state.update(eight, [service("wk-1", 0)]);
    assert_eq!(events, [Event::TooLarge { max_bytes: 100 }]);
    assert!(state.standing("wk-1").is_some());
}

/// The outcome of a write.
#[derive(Debug, Clone, Copy)]
enum WriteOutcome {
    Written,
    Rejected,
    /// Executed, but the response is lost.
    ResponseLost,
}

fn write_outcome() -> impl Strategy<Value = WriteOutcome> {
    prop_oneof![
        Just(WriteOutcome::Written),
        Just(WriteOutcome::Rejected),
        Just(WriteOutcome::ResponseLost)
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(27),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Leaders with different clocks succeed each other around the start or the end of a window, while
    /// writes are rejected or their responses lost. Once a leader has started to protect, no leader
    /// stops before the closing is recorded; once it is recorded, no leader starts again; services are
    /// protected from the opening to the end by any clock; and no two services change their order.
    ///
    /// Guards against a successor without a record that waits to protect, windows that open or close
    /// without regard to the bound, closings that take effect before they are recorded, and positions
    /// that are visible before they are recorded.
    #[test]
    fn protection_starts_once_and_ends_once(
        // Offsets of at most half the bound differ by at most the bound.
        leaders in proptest::collection::vec((0..=BOUND_MS, 1_u64..12), 2..40),
        outcomes in proptest::collection::vec(write_outcome(), 64),
        at_closing in any::<bool>(),
    ) {
        let timetable = trading("");
        let ready = at("2026-12-01T05:59:00Z");
        let closes = at("2026-12-01T22:00:00Z");
        let mut store = Store::default();
        let start = if at_closing {
            let mut state = store.successor(&timetable);
            for turn in 0..2 {
                state.update(closes - HOUR_MS, [service("wk-1", 0)]);
                store.write_all(&mut state, turn * 2_000);
            }
            closes - 3_000
        } else {
            ready - 5_000
        };
        let mut outcomes = outcomes.iter().cycle();
        let mut time = start;
        // Whether any leader has started to protect or has ended it, and the observed order.
        let (mut has_started, mut has_ended) = (at_closing, false);
        let mut order: Option<bool> = None;
        for (offset, turns) in leaders {
            let mut state = store.successor(&timetable);
            for _ in 0..turns {
                time += 170;
                let wall_ms = time + offset - BOUND_MS / 2;
                // The service that was submitted earlier appears later.
                let late_service = service("wk-0", 0);
                let services = std::iter::once(service("wk-1", 10)).chain((time > start + 6_000).then_some(late_service));
                let events = state.update(wall_ms, services);
                let is_clock_behind = events.iter().any(|event| matches!(event, Event::ClockBehind { .. }));
                prop_assert!(!is_clock_behind);
                let first = state.standing("wk-1");
                let record_contains = |what: &str| store.0.get(&0).is_some_and(|(text, _)| text.contains(what));
                has_ended |= first.is_none() && record_contains("\"closed\":[{");
                has_started |= wall_ms >= ready || first.is_some() && record_contains("\"open\":[{");
                prop_assert!(first.is_none() || !has_ended, "reopened at {}", time);
                prop_assert!(first.is_some() || !has_started || has_ended, "not protected at {}", time);
                prop_assert!(first.is_some() || time < ready + BOUND_MS / 2 || time > closes, "not protected while open");
                let is_early = time + BOUND_MS / 2 + BOUND_MS < ready;
                prop_assert!(first.is_none() || !is_early, "too early at {}", time);
                if let (Some(one), Some(other)) = (first, state.standing("wk-0"))
                    && one.position.min(other.position) < u64::MAX
                {
                    let is_before = one.position < other.position;
                    prop_assert!(order.is_none_or(|order| order == is_before), "the order has changed");
                    order = Some(is_before);
                }
                for write in state.due_writes(time) {
                    match outcomes.next().unwrap() {
                        WriteOutcome::Written => {
                            let version = store.write(&write);
                            state.on_written(write.number, version);
                        }
                        WriteOutcome::Rejected => state.on_write_failed(write.number),
                        WriteOutcome::ResponseLost => {
                            let version = store.write(&write);
                            state.on_version_read(write.number, version);
                        }
                    }
                }
            }
        }
    }
}
