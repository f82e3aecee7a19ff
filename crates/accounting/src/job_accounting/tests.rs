use super::*;
use crate::access::{Access, Owner};
use crate::constants::{DAY_MS, MAX_PAGES, MAX_TEAM_KEY_BYTES, MAX_TOTALS_ROWS};
use crate::entry::{EndedJob, ExecutionStats};
use crate::history::{TeamHistory, read_history};
use crate::records::team_key;
use proptest::prelude::*;

const PAGE_BYTES: usize = 14_000;

fn entry(job: &str, team: &str, class: &str, day: u64) -> Entry {
    let owner = Owner::from_record(&Arc::from(job), team);
    let ended = EndedJob {
        class,
        accepted_ms: day * DAY_MS,
        ended_ms: day * DAY_MS + 1,
        tasks: 3,
    };
    Entry::finished(&Access::for_service(&owner), &ended, ExecutionStats::default())
}

fn position(revision: u64) -> Position {
    Position {
        revision,
        job: Arc::from(format!("wk-{revision}")),
    }
}

fn end(accounting: &mut JobAccounting, revision: u64, team: &str) -> bool {
    let at = position(revision);
    let entry = entry(&at.job, team, "batch", 1 + revision / 400);
    accounting.append(at, Some(entry))
}

/// The part of the state service that accounting uses.
#[derive(Default)]
struct Store(BTreeMap<String, Value>);

impl Store {
    fn apply(&mut self, changes: Vec<RecordChange>) {
        for (key, value) in changes {
            match value {
                Some(value) => self.0.insert(key, value),
                None => self.0.remove(&key),
            };
        }
    }

    fn load(&self) -> JobAccounting {
        let mut accounting = JobAccounting::new(PAGE_BYTES);
        for (key, value) in &self.0 {
            accounting.load_record(key, value).unwrap();
        }
        accounting
    }
}

fn flush(accounting: &mut JobAccounting, store: &mut Store) {
    while let Some(changes) = accounting.begin_write(12, 56_000) {
        assert!(changes.len() <= 12);
        store.apply(changes);
        accounting.on_written();
    }
}

proptest! {
    /// Leaders fail before or after any write. The accounts of the last leader contain each ended job
    /// exactly once.
    #[test]
    fn each_end_is_counted_exactly_once(
        teams in proptest::collection::vec(0usize..4, 1..900),
        leader_terms in proptest::collection::vec((1usize..120, any::<bool>()), 0..12),
    ) {
        let mut store = Store::default();
        let mut accounting = store.load();
        let mut next = 0;
        let mut leader_terms = leader_terms.into_iter();
        while next < teams.len() {
            let (count, is_executed) = leader_terms.next().unwrap_or((teams.len(), true));
            for (at, team) in teams.iter().enumerate().skip(next).take(count) {
                // A watch may deliver an event twice.
                for _ in 0..2 {
                    end(&mut accounting, at as u64 + 1, &format!("t{team}"));
                }
            }
            next = (next + count).min(teams.len());
            if let Some(changes) = accounting.begin_write(12, 56_000)
                && is_executed
            {
                store.apply(changes);
            }
            // The leader fails. Its successor loads what was written and receives the rest again.
            accounting = store.load();
            let written = accounting.last_position().revision as usize;
            for (at, team) in teams.iter().enumerate().take(next).skip(written) {
                end(&mut accounting, at as u64 + 1, &format!("t{team}"));
            }
            flush(&mut accounting, &mut store);
        }
        let loaded = store.load();
        for number in 0..4 {
            let team = Team::named(&format!("t{number}"));
            let ended = teams.iter().filter(|team| **team == number).count() as u64;
            let (pages, total) = match loaded.accounts.get(&team) {
                Some(account) => (account.pages.len(), loaded.totals().find(|(owner, _)| **owner == team)),
                None => (0, None),
            };
            prop_assert_eq!(total.map_or(0, |(_, totals)| totals.done), ended);
            prop_assert!(pages <= MAX_PAGES);
        }
        let mut rebuild = Rebuild::new(u64::MAX);
        for (at, team) in teams.iter().enumerate().rev() {
            let at = position(at as u64 + 1);
            let entry = entry(&at.job, &format!("t{team}"), "batch", 1 + at.revision / 400);
            rebuild.add_scanned(at, Some(entry));
        }
        let mut loaded = store.load();
        prop_assert_eq!(loaded.repair(rebuild), Vec::new());
    }

    #[test]
    fn malformed_records_do_not_panic(key in "b/[a-z~%]{0,4}/?[0-9~]{0,3}", text in ".{0,60}", format in 0u16..3) {
        let mut accounting = JobAccounting::new(PAGE_BYTES);
        let _ = accounting.load_record(&key, &Value::String(text));
        let truncated = serde_json::json!({ "v": format, "team": "a", "classes": [], "lines": [["wk-1", 3, "x", 1, 2, 3, {}]] });
        prop_assert!(accounting.load_record("b/a/0000000000", &truncated).is_err());
    }
}

#[test]
fn an_account_that_differs_is_repaired_from_the_records() {
    let mut store = Store::default();
    let mut accounting = JobAccounting::new(PAGE_BYTES);
    for revision in 1..=200 {
        assert!(end(
            &mut accounting,
            revision,
            if revision % 2 == 0 { "red" } else { "blue" }
        ));
    }
    flush(&mut accounting, &mut store);
    // One page is missing, and another is duplicated.
    store.0.remove("b/red/0000000000");
    let page = store.0["b/blue/0000000001"].clone();
    store.0.insert("b/blue/0000000002".to_owned(), page);
    let mut accounting = store.load();
    let mut rebuild = Rebuild::new(200);
    for revision in (1..=200).rev() {
        let at = position(revision);
        let team = if revision % 2 == 0 { "red" } else { "blue" };
        let entry = entry(&at.job, team, "batch", 1);
        rebuild.add_scanned(at, Some(entry));
    }
    // One job ends during the scan and is added to the rebuild.
    end(&mut accounting, 201, "red");
    let late = position(201);
    rebuild.add_appended(late.clone(), Some(entry(&late.job, "red", "batch", 1)));
    let differences = accounting.repair(rebuild);
    let keys: Vec<&str> = differences
        .iter()
        .map(|difference| difference.key.as_str())
        .collect();
    assert_eq!(keys, ["b/blue/", "b/red/"]);
    assert_eq!(
        (differences[0].account.done, differences[0].records.done),
        (136, 100)
    );
    flush(&mut accounting, &mut store);
    let loaded = store.load();
    let totals: Vec<u64> = loaded.totals().map(|(_, totals)| totals.done).collect();
    assert_eq!(totals, [100, 101]);
    assert_eq!(loaded.last_position().revision, 201);
    assert!(!store.0.contains_key("b/blue/0000000002"));
}

#[test]
fn old_pages_are_folded_into_bounded_totals() {
    let mut store = Store::default();
    let mut accounting = JobAccounting::new(PAGE_BYTES);
    for revision in 1..=4_000 {
        let at = position(revision);
        // Each job has a different class, and seven jobs end per day.
        let entry = entry(&at.job, "red", &format!("class-{revision}"), 1 + revision / 7);
        assert!(accounting.append(at, Some(entry)));
        if !accounting.has_capacity() {
            flush(&mut accounting, &mut store);
        }
    }
    flush(&mut accounting, &mut store);
    assert_eq!(store.0.len(), MAX_PAGES + 2);
    assert!(
        store
            .0
            .values()
            .all(|value| value.to_string().len() <= PAGE_BYTES + 2_000)
    );
    let totals = &store.load().accounts[&Team::named("red")].totals;
    assert!(totals.0.len() <= MAX_TOTALS_ROWS);
    let total = store
        .load()
        .totals()
        .next()
        .map(|(_, totals)| (totals.done, totals.tasks));
    assert_eq!(total, Some((4_000, 12_000)));
}

#[test]
fn records_of_other_teams_and_newer_builds_are_detected() {
    let mut accounting = JobAccounting::new(PAGE_BYTES);
    end(&mut accounting, 1, "red team/é");
    let changes = accounting.begin_write(12, 56_000).unwrap();
    let (key, value) = changes[0].clone();
    assert_eq!(key, "b/red%20team%2f%c3%a9/0000000000");
    let value = value.unwrap();
    let red = Team::named("red team/é");
    let items = [(key.clone(), value.clone())];
    assert_eq!(read_history(&red, &items).unwrap().ended.len(), 1);
    assert_eq!(
        read_history(&Team::named("blue"), &items).unwrap(),
        TeamHistory::default()
    );
    // The record is stored under the key of another team.
    assert!(matches!(
        accounting.load_record("b/blue/0000000000", &value),
        Err(RecordError::Unreadable(_))
    ));
    let mut newer = value;
    newer["v"] = 2.into();
    assert_eq!(
        accounting.load_record(&key, &newer),
        Err(RecordError::NewerFormat(2))
    );
    assert!(team_key(&Team::named(&"é".repeat(64))).len() <= MAX_TEAM_KEY_BYTES);
}

#[test]
fn accounts_that_fell_behind_are_rebuilt() {
    let mut store = Store::default();
    let mut accounting = JobAccounting::new(PAGE_BYTES);
    for revision in 1..=100 {
        end(&mut accounting, revision, "red");
    }
    flush(&mut accounting, &mut store);
    // The changes from 101 to 300 are no longer available; a scan starts at 300.
    let mut accounting = store.load();
    accounting.skip_to(position(300));
    let mut rebuild = Rebuild::new(300);
    for revision in 1..=301 {
        let at = position(revision);
        let entry = entry(&at.job, if revision < 250 { "blue" } else { "green" }, "batch", 1);
        if revision <= 300 {
            rebuild.add_scanned(at, Some(entry));
        } else {
            rebuild.add_appended(at.clone(), Some(entry));
            accounting.skip_to(at);
        }
    }
    accounting.replace_with(rebuild);
    flush(&mut accounting, &mut store);
    let loaded = store.load();
    let totals: Vec<u64> = loaded.totals().map(|(_, totals)| totals.done).collect();
    assert_eq!((totals, loaded.last_position().revision), (vec![249, 52], 301));
}

#[test]
fn an_end_without_an_owner_is_counted_in_no_account() {
    let mut accounting = JobAccounting::new(PAGE_BYTES);
    let mut store = Store::default();
    assert!(accounting.append(position(1), None));
    flush(&mut accounting, &mut store);
    let loaded = store.load();
    assert_eq!((loaded.unowned(), loaded.totals().count()), (1, 0));
}
