use super::*;

fn definitions(change: &str) -> Definitions {
    let mut value = serde_json::json!({
        "time_zone": "Australia/Perth", "days": ["mon"], "from": "06:00", "to": "22:00",
        "closed": ["2026-12-25"], "classes": ["live"], "teams": ["red"], "rank": 1
    });
    let change: serde_json::Value = serde_json::from_str(change).unwrap();
    for (key, new) in change.as_object().unwrap() {
        value[key] = new.clone();
    }
    serde_json::from_value(serde_json::json!({ "trading": value })).unwrap()
}

#[test]
fn errors_name_the_field_in_one_line() {
    for (change, line) in [
        (
            r#"{ "time_zone": "Perth" }"#,
            "time_zone: there is no time zone Perth",
        ),
        (r#"{ "teams": ["blue"] }"#, "teams: there is no team blue"),
        (r#"{ "teams": [] }"#, "teams: must not be empty"),
        (r#"{ "spare": 1.5 }"#, "spare: must be between 0 and 1, is 1.5"),
        (r#"{ "spare": -0.1 }"#, "spare: must be between 0 and 1, is -0.1"),
        (r#"{ "rank": -1 }"#, "rank: must be between 0 and 1000, is -1"),
        (r#"{ "rank": 70000 }"#, "rank: "),
        (r#"{ "classes": [] }"#, "classes: must not be empty"),
        (r#"{ "classes": [""] }"#, "classes: a class must not be empty"),
        (
            r#"{ "days": ["monday"] }"#,
            "days: monday is not one of mon to sun",
        ),
        (r#"{ "days": [] }"#, "days: must not be empty"),
        (
            r#"{ "from": "6:00" }"#,
            "from: 6:00 is not a time of day such as 06:00",
        ),
        (
            r#"{ "from": "24:00" }"#,
            "from: 24:00 is not a time of day such as 06:00",
        ),
        (
            r#"{ "to": "22:60" }"#,
            "to: 22:60 is not a time of day such as 06:00",
        ),
        (
            r#"{ "to": "+1:00" }"#,
            "to: +1:00 is not a time of day such as 06:00",
        ),
        (
            r#"{ "closed": ["25.12.2026"] }"#,
            "closed: 25.12.2026 is not a date such as 2026-12-25",
        ),
        (
            r#"{ "closed": ["2026-02-30"] }"#,
            "closed: 2026-02-30 is not a date such as 2026-12-25",
        ),
        (r#"{ "lead_s": 4000 }"#, "lead_s: must be between 0 and 3600 s"),
    ] {
        let error = check(&definitions(change), |team| team == "red").unwrap_err();
        let error = error.to_string();
        assert!(error.starts_with(&format!("shift.trading.{line}")), "{error}");
        assert!(!error.contains('\n'));
    }
    assert!(check(&definitions("{}"), |team| team == "red").is_ok());
    let invalid_name = BTreeMap::from([("a shift".into(), definitions("{}")["trading"].clone())]);
    let error = check(&invalid_name, |_| true).unwrap_err().to_string();
    assert!(error.starts_with("shift.a shift: a name has"), "{error}");
}

#[test]
fn unknown_classes_are_reported() {
    let definitions = definitions(r#"{ "classes": ["live", "lvie"] }"#);
    let unknown: Vec<_> = unknown_classes(&definitions, |class| class == "live").collect();
    assert_eq!(unknown, [("trading", "lvie")]);
}
