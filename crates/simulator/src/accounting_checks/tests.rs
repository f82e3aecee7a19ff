use super::*;

#[test]
fn an_answer_that_names_anothers_job_is_found() {
    let mut oracle = AccountingCheck::default();
    let body = r#"{"If":[],"Then":[{"Put":"j/wk-1","V":{"team":"red"}}]}"#;
    oracle.record_owners(body.as_bytes()).unwrap();
    assert!(oracle.check_team_isolation("/x?team=red", br#"["wk-1"]"#).is_ok());
    assert!(
        oracle
            .check_team_isolation("/x?team=blue", br#"["wk-11"]"#)
            .is_ok()
    );
    assert!(
        oracle
            .check_team_isolation("/x?team=blue", br#"["wk-1"]"#)
            .is_err()
    );
    assert!(check_job_response("wk-1", br#"{"Id":"wk-1","team":"red"}"#).is_err());
    assert!(check_job_response("wk-1", br#"{"Id":"wk-2"}"#).is_err());
    let moved = body.replace("red", "blue");
    assert!(oracle.record_owners(moved.as_bytes()).is_err());
}
