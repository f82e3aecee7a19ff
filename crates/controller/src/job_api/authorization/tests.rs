use super::*;
use crate::settings::OperatorSettings;

#[test]
fn team_names_are_resolved_without_case_and_with_the_default() {
    let settings = Settings::parse(include_str!("../../../tests/support/settings.json")).unwrap();
    assert_eq!(requesting_team(Some("RED"), &settings).name(), "red");
    assert_eq!(requesting_team(None, &settings).name(), "");
    let condor = serde_json::json!({ "condor": { "default_team": "blue" } });
    let operator = OperatorSettings::from_value(condor).unwrap();
    let settings = settings.with_operator(operator).unwrap();
    assert_eq!(requesting_team(None, &settings).name(), "blue");
    assert!(is_same_team("", &requesting_team(None, &settings), &settings));
    assert!(!is_same_team("red", &requesting_team(None, &settings), &settings));
}

#[test]
fn the_team_parameter_of_a_query_is_decoded() {
    assert_eq!(team_in_query("team=red").as_deref(), Some("red"));
    assert_eq!(team_in_query("a=b&team=a%20b+c%2f").as_deref(), Some("a b c/"));
    for query in ["", "teams=red", "team=%", "team=%4", "team=%zz", "team=%ff"] {
        assert_eq!(team_in_query(query), None, "{query}");
    }
}
