use super::*;
use crate::{CacheState, Fetching};

fn waits(alone_s: f64, sharing: f64, left_s: f64, waiting: f64) -> bool {
    let others = [Fetching { left_s, waiting }];
    let choice = Choice {
        alone_s,
        sharing,
        others: &others,
        ..Choice::default()
    };
    waits_for_others(&choice, 1.0)
}

#[test]
fn equal_fetches_go_one_after_the_other() {
    assert!(waits(24.0, 1.0, 20.0, 1.0));
    assert!(!waits(24.0, 0.0, 20.0, 8.0), "they are not shared");
    assert!(!waits(24.0, 1.0, 20.0, 0.0), "nobody is held up");
    assert!(!waits(24.0, 1.0, 1.0, 2.0), "it is all but there");
}

#[test]
fn a_short_fetch_goes_beside_a_long_one_unless_many_wait_for_that() {
    assert!(!waits(4.0, 1.0, 24.0, 1.0));
    assert!(waits(4.0, 1.0, 24.0, 8.0));
}

#[test]
fn what_is_there_or_on_its_way_does_not_wait() {
    let others = [Fetching {
        left_s: 20.0,
        waiting: 8.0,
    }];
    let fetched = Choice {
        alone_s: 24.0,
        sharing: 1.0,
        others: &others,
        ..Choice::default()
    };
    assert!(waits_for_others(&fetched, 1.0));
    let there = Choice {
        cache_state: CacheState::Certain,
        ..fetched
    };
    let on_its_way = Choice {
        under_way_s: Some(10.0),
        ..fetched
    };
    assert!(!waits_for_others(&there, 1.0) && !waits_for_others(&on_its_way, 1.0));
}
