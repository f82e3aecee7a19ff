use super::*;
use crate::condor::job_id;

#[test]
fn paths_are_routed() {
    assert_eq!(route("POST", "/clusters"), Ok(Route::Submit));
    assert_eq!(route("GET", "/clusters"), Err(405));
    assert_eq!(route("GET", "/history/7"), Ok(Route::History(Some(7))));
    assert_eq!(route("GET", "/history/x"), Err(404));
    let target = Target {
        cluster: 7,
        proc: Some(3),
    };
    assert_eq!(
        route("POST", "/clusters/7.3/hold"),
        Ok(Route::Change(target, ClusterAction::Hold))
    );
    assert_eq!(route("POST", "/clusters/7.3/keep"), Err(404));
    assert_eq!(parse_target("99999999999"), None);
    // A job's id begins with its cluster's prefix.
    assert!(job_id(7, 0).0.starts_with(&jobs_prefix("", 7)));
}
