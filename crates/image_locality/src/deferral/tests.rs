use super::*;
use crate::{CacheState, OngoingFetch};

fn defers(uncontended_fetch_s: f64, sharing: f64, remaining_s: f64, waiting_replicas: f64) -> bool {
    let fetches = [OngoingFetch {
        remaining_s,
        waiting_replicas,
    }];
    let candidate = Candidate {
        uncontended_fetch_s,
        sharing,
        concurrent_fetches: &fetches,
        ..Candidate::default()
    };
    should_defer_fetch(&candidate, 1.0)
}

#[test]
fn equal_fetches_run_one_after_the_other() {
    assert!(defers(24.0, 1.0, 20.0, 1.0));
    assert!(!defers(24.0, 0.0, 20.0, 8.0), "the bandwidth is not shared");
    assert!(
        !defers(24.0, 1.0, 20.0, 0.0),
        "no replica waits for the other fetch"
    );
    assert!(!defers(24.0, 1.0, 1.0, 2.0), "the other fetch is almost complete");
}

#[test]
fn a_short_fetch_runs_beside_a_long_one_unless_many_replicas_wait_for_it() {
    assert!(!defers(4.0, 1.0, 24.0, 1.0));
    assert!(defers(4.0, 1.0, 24.0, 8.0));
}

#[test]
fn a_cached_image_or_an_ongoing_fetch_is_not_deferred() {
    let fetches = [OngoingFetch {
        remaining_s: 20.0,
        waiting_replicas: 8.0,
    }];
    let needs_fetch = Candidate {
        uncontended_fetch_s: 24.0,
        sharing: 1.0,
        concurrent_fetches: &fetches,
        ..Candidate::default()
    };
    assert!(should_defer_fetch(&needs_fetch, 1.0));
    let cached = Candidate {
        cache_state: CacheState::Certain,
        ..needs_fetch
    };
    let in_progress = Candidate {
        own_fetch_remaining_s: Some(10.0),
        ..needs_fetch
    };
    assert!(!should_defer_fetch(&cached, 1.0) && !should_defer_fetch(&in_progress, 1.0));
}
