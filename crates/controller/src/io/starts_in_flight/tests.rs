use super::*;
use std::sync::Arc;

fn job(id: &str) -> JobId {
    JobId(Arc::from(id))
}

#[test]
fn a_start_may_be_sent_until_its_call_has_an_outcome_or_is_outdated() {
    let mut starts = StartsInFlight::default();
    starts.insert(CallId(1), BTreeSet::from([job("wk-1"), job("wk-2")]), 500);
    starts.insert(CallId(2), BTreeSet::from([job("wk-2")]), 900);
    assert!(starts.may_be_sent(&job("wk-1"), 499));
    assert!(!starts.may_be_sent(&job("wk-1"), 500));
    assert!(!starts.may_be_sent(&job("wk-3"), 0));
    assert!(starts.may_be_sent(&job("wk-2"), 500));
    starts.complete(CallId(2));
    starts.complete(CallId(7));
    assert!(!starts.may_be_sent(&job("wk-2"), 500));
    assert!(starts.may_be_sent(&job("wk-2"), 499));
}
