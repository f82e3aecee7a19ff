use super::*;

#[test]
fn a_response_naming_another_teams_job_is_flagged() {
    let mut check = AccountingCheck::default();
    let body = r#"{"If":[],"Then":[{"Put":"j/wk-1","V":{"team":"red"}}]}"#;
    check.record_owners(body.as_bytes()).unwrap();
    assert!(check.check_team_isolation("/x?team=red", br#"["wk-1"]"#).is_ok());
    assert!(
        check
            .check_team_isolation("/x?team=blue", br#"["wk-11"]"#)
            .is_ok()
    );
    assert!(
        check
            .check_team_isolation("/x?team=blue", br#"["wk-1"]"#)
            .is_err()
    );
    assert!(check_job_response("wk-1", br#"{"Id":"wk-1","team":"red"}"#).is_err());
    assert!(check_job_response("wk-1", br#"{"Id":"wk-2"}"#).is_err());
    let moved = body.replace("red", "blue");
    assert!(check.record_owners(moved.as_bytes()).is_err());
}
