use super::*;
use proptest::prelude::*;
use std::sync::Arc;

fn linger(count: u8, team: u8, units: u32, until: u64) -> Linger {
    Linger {
        count: Arc::from(format!("c{count}")),
        team: Arc::from(format!("t{team}")),
        units,
        until,
    }
}

proptest! {
    /// However entries are merged, no unit becomes free before its time, and a record read by
    /// another process, with both clocks off by the maximum skew, never frees a unit sooner than
    /// its writer would have.
    #[test]
    fn no_unit_becomes_free_too_soon(
        parts in proptest::collection::vec((0u8..3, 0u8..3, 1u32..5, 1_000u64..40_000), 1..120),
        at in 0u64..40_000,
        writer_off in -1_000i64..=1_000,
        reader_off in -1_000i64..=1_000,
    ) {
        const WALL: i64 = 1_700_000_000_000;
        let mut lingers = LingerSet::default();
        for (count, team, units, until) in &parts {
            lingers.add(linger(*count, *team, *units, *until));
        }
        let held = |lingers: &LingerSet, count: u8, now: u64| -> u32 {
            let name = format!("c{count}");
            lingers.iter().filter(|one| *one.count == *name && now < one.until).map(|one| one.units).sum()
        };
        let true_units = |count: u8, now: u64| -> u32 {
            parts.iter().filter(|part| part.0 == count && now < part.3).map(|part| part.2).sum()
        };
        // Written at 0 by one process, read at `at` by another whose monotonic clock has a
        // different origin.
        let record = lingers.to_record(0, (WALL + writer_off) as u64);
        let wall = (WALL + at as i64 + reader_off) as u64;
        let read = LingerSet::from_record(record, 500, wall, 1_000, |_| 60_000);
        for count in 0..3 {
            for now in [at, at + 777, 39_000.max(at)] {
                prop_assert!(held(&lingers, count, now) >= true_units(count, now));
                prop_assert!(held(&read, count, 500 + now - at) >= true_units(count, now));
            }
        }
        prop_assert!(lingers.iter().count() <= MAX_LINGERS_PER_RECORD);
        lingers.prune(40_000);
        prop_assert!(lingers.is_empty());
    }
}

#[test]
fn a_clock_set_back_does_not_keep_units_forever() {
    let entries = vec![LingerEntry(Arc::from("c"), Arc::from("t"), 1, 9_000_000)];
    let read = LingerSet::from_record(entries, 0, 1_000, 50, |_| 20_000);
    assert_eq!(read.iter().map(|one| one.until).collect::<Vec<_>>(), [20_000]);
}
