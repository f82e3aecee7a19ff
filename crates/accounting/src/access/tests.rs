use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn only_the_owner_sees_a_job(owner in "[a-c]{1,2}", asks in "[a-c]{1,2}") {
        let job: Arc<str> = Arc::from("wk-1");
        let on_record = Owner::from_record(&job, &owner);
        let team = Team::named(&asks);
        let access = Access::for_team(&on_record, &team);
        prop_assert_eq!(access.is_ok(), owner == asks);
        let visible = VisibleJob::for_resubmission(&job, Some(&on_record), Some(&team));
        prop_assert_eq!(visible.shows_progress(), owner == asks);
    }
}

#[test]
fn who_is_not_known_is_told_the_state_alone() {
    let job: Arc<str> = Arc::from("wk-1");
    let other = Owner::from_record(&Arc::from("wk-2"), "red");
    let red = Team::named("red");
    assert!(!VisibleJob::for_resubmission(&job, None, Some(&red)).shows_progress());
    assert!(!VisibleJob::for_resubmission(&job, Some(&other), Some(&red)).shows_progress());
    assert!(VisibleJob::for_protocol(&job).shows_progress());
    assert_eq!(Access::for_any_team(&other, false), Err(Hidden));
}
