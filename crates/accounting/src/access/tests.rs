use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn only_the_owner_gets_access(owner in "[a-c]{1,2}", requester in "[a-c]{1,2}") {
        let job: Arc<str> = Arc::from("wk-1");
        let recorded_owner = Owner::from_record(&job, &owner);
        let team = Team::named(&requester);
        let access = Access::for_team(&recorded_owner, &team);
        prop_assert_eq!(access.is_ok(), owner == requester);
        let visible = VisibleJob::for_resubmission(&job, Some(&recorded_owner), Some(&team));
        prop_assert_eq!(visible.shows_progress(), owner == requester);
    }
}

#[test]
fn progress_is_hidden_if_the_owner_is_unknown() {
    let job: Arc<str> = Arc::from("wk-1");
    let other = Owner::from_record(&Arc::from("wk-2"), "red");
    let red = Team::named("red");
    assert!(!VisibleJob::for_resubmission(&job, None, Some(&red)).shows_progress());
    assert!(!VisibleJob::for_resubmission(&job, Some(&other), Some(&red)).shows_progress());
    assert!(VisibleJob::for_protocol(&job).shows_progress());
    assert_eq!(Access::for_any_team(&other, false), Err(Hidden));
}
