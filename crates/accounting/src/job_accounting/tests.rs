use super::*;
use crate::access::{Access, Owner};
use crate::constants::{DAY_MS, MAX_PAGES, MAX_TEAM_KEY_BYTES, MAX_TOTALS_ROWS};
use crate::entry::{EndedJob, ExecutionStats};
use crate::history::{TeamHistory, read_history};
use crate::records::team_key;
use proptest::prelude::*;

const BYTES: usize = 14_000;

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

/// The state service, as far as it matters.
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
        let mut accounting = JobAccounting::new(BYTES);
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
    /// Leaders end before or after any write; the accounts of the last contain each end once.
    #[test]
    fn each_end_stands_in_one_account_once(
        teams in proptest::collection::vec(0usize..4, 1..900),
        ends in proptest::collection::vec((1usize..120, any::<bool>()), 0..12),
    ) {
        let mut store = Store::default();
        let mut accounting = store.load();
        let mut next = 0;
        let mut ends = ends.into_iter();
        while next < teams.len() {
            let (count, carried_out) = ends.next().unwrap_or((teams.len(), true));
            for (at, team) in teams.iter().enumerate().skip(next).take(count) {
                // Told twice, as a watch may.
                for _ in 0..2 {
                    end(&mut accounting, at as u64 + 1, &format!("t{team}"));
                }
            }
            next = (next + count).min(teams.len());
            if let Some(changes) = accounting.begin_write(12, 56_000)
                && carried_out
            {
                store.apply(changes);
            }
            // The leader ends. Its successor reads what was written, and the rest again.
            accounting = store.load();
            let written = accounting.last_position().revision as usize;
            for (at, team) in teams.iter().enumerate().take(next).skip(written) {
                end(&mut accounting, at as u64 + 1, &format!("t{team}"));
            }
            flush(&mut accounting, &mut store);
        }
        let read = store.load();
        for which in 0..4 {
            let team = Team::named(&format!("t{which}"));
            let ended = teams.iter().filter(|team| **team == which).count() as u64;
            let (pages, total) = match read.accounts.get(&team) {
                Some(account) => (account.pages.len(), read.totals().find(|(of, _)| **of == team)),
                None => (0, None),
            };
            prop_assert_eq!(total.map_or(0, |(_, tally)| tally.done), ended);
            prop_assert!(pages <= MAX_PAGES);
        }
        let mut rebuild = Rebuild::new(u64::MAX);
        for (at, team) in teams.iter().enumerate().rev() {
            let at = position(at as u64 + 1);
            let entry = entry(&at.job, &format!("t{team}"), "batch", 1 + at.revision / 400);
            rebuild.add_scanned(at, Some(entry));
        }
        let mut read = store.load();
        prop_assert_eq!(read.repair(rebuild), Vec::new());
    }

    #[test]
    fn no_record_panics(key in "b/[a-z~%]{0,4}/?[0-9~]{0,3}", text in ".{0,60}", form in 0u16..3) {
        let mut accounting = JobAccounting::new(BYTES);
        let _ = accounting.load_record(&key, &Value::String(text));
        let cut = serde_json::json!({ "v": form, "team": "a", "classes": [], "lines": [["wk-1", 3, "x", 1, 2, 3, {}]] });
        prop_assert!(accounting.load_record("b/a/0000000000", &cut).is_err());
    }
}

#[test]
fn an_account_that_differs_is_repaired_from_the_records() {
    let mut store = Store::default();
    let mut accounting = JobAccounting::new(BYTES);
    for revision in 1..=200 {
        assert!(end(
            &mut accounting,
            revision,
            if revision % 2 == 0 { "red" } else { "blue" }
        ));
    }
    flush(&mut accounting, &mut store);
    // A page is gone, and a job stands twice.
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
    // One ends while the records are read, and is noted.
    end(&mut accounting, 201, "red");
    let late = position(201);
    rebuild.add_appended(late.clone(), Some(entry(&late.job, "red", "batch", 1)));
    let told = accounting.repair(rebuild);
    let keys: Vec<&str> = told.iter().map(|one| one.key.as_str()).collect();
    assert_eq!(keys, ["b/blue/", "b/red/"]);
    assert_eq!((told[0].account.done, told[0].records.done), (136, 100));
    flush(&mut accounting, &mut store);
    let read = store.load();
    let totals: Vec<u64> = read.totals().map(|(_, tally)| tally.done).collect();
    assert_eq!(totals, [100, 101]);
    assert_eq!(read.last_position().revision, 201);
    assert!(!store.0.contains_key("b/blue/0000000002"));
}

#[test]
fn old_pages_become_totals_that_stay_bounded() {
    let mut store = Store::default();
    let mut accounting = JobAccounting::new(BYTES);
    for revision in 1..=4_000 {
        let at = position(revision);
        // A class of its own for each job, and seven jobs a day.
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
            .all(|value| value.to_string().len() <= BYTES + 2_000)
    );
    let totals = &store.load().accounts[&Team::named("red")].totals;
    assert!(totals.0.len() <= MAX_TOTALS_ROWS);
    let total = store
        .load()
        .totals()
        .next()
        .map(|(_, tally)| (tally.done, tally.tasks));
    assert_eq!(total, Some((4_000, 12_000)));
}

#[test]
fn records_of_others_and_of_later_builds_are_told_apart() {
    let mut accounting = JobAccounting::new(BYTES);
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
    // In another team's place.
    assert!(matches!(
        accounting.load_record("b/blue/0000000000", &value),
        Err(RecordError::Unreadable(_))
    ));
    let mut later = value;
    later["v"] = 2.into();
    assert_eq!(
        accounting.load_record(&key, &later),
        Err(RecordError::NewerFormat(2))
    );
    assert!(team_key(&Team::named(&"é".repeat(64))).len() <= MAX_TEAM_KEY_BYTES);
}

#[test]
fn accounts_that_fell_behind_are_rebuilt() {
    let mut store = Store::default();
    let mut accounting = JobAccounting::new(BYTES);
    for revision in 1..=100 {
        end(&mut accounting, revision, "red");
    }
    flush(&mut accounting, &mut store);
    // The changes from 101 to 300 are told no longer; a reading begins at 300.
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
    let read = store.load();
    let totals: Vec<u64> = read.totals().map(|(_, tally)| tally.done).collect();
    assert_eq!((totals, read.last_position().revision), (vec![249, 52], 301));
}

#[test]
fn an_end_without_an_owner_is_counted_in_no_account() {
    let mut accounting = JobAccounting::new(BYTES);
    let mut store = Store::default();
    assert!(accounting.append(position(1), None));
    flush(&mut accounting, &mut store);
    let read = store.load();
    assert_eq!((read.unowned(), read.totals().count()), (1, 0));
}
