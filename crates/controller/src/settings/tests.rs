use super::*;

const VALID: &str = include_str!("../../tests/support/settings.json");

fn error_after(change: impl FnOnce(&mut serde_json::Value)) -> String {
    let mut value: serde_json::Value = serde_json::from_str(VALID).unwrap();
    change(&mut value);
    Settings::parse(&value.to_string()).unwrap_err().to_string()
}

#[test]
fn errors_name_their_field() {
    assert!(Settings::parse(VALID).is_ok());
    assert!(error_after(|value| value["deployment"]["zones"] = 5.into()).starts_with("deployment.zones: "));
    assert!(error_after(|value| value["bind"] = "here".into()).starts_with("bind: "));
    assert!(error_after(|value| value["deployment"]["workers"]["lease_s"] = 0.into()).contains("lease_s"));
    assert!(
        error_after(|value| {
            value.as_object_mut().unwrap().remove("services");
        })
        .contains("services")
    );
}

#[test]
fn submit_file_settings_are_validated() {
    for (text, field) in [
        (r#"{ "default_team": "nobody" }"#, "condor.default_team: "),
        (r#"{ "default_image": "" }"#, "condor.default_image: "),
        (r#"{ "default_image_gb": -1 }"#, "condor.default_image_gb: "),
        (
            r#"{ "machine": { "g8": { "Op Sys": 1 } } }"#,
            "condor.machine.g8.Op Sys: ",
        ),
        (
            r#"{ "machine": { "g8": { "cpus": 1 } } }"#,
            "condor.machine.g8.cpus: ",
        ),
        (
            r#"{ "machine": { "g8": { "a": 1, "A": 2 } } }"#,
            "condor.machine.g8.a: ",
        ),
    ] {
        let value = serde_json::json!({ "condor": serde_json::from_str::<serde_json::Value>(text).unwrap() });
        let operator = OperatorSettings::from_value(value).unwrap();
        let problem = Settings::parse(VALID)
            .unwrap()
            .with_operator(operator)
            .unwrap_err();
        assert!(problem.to_string().starts_with(field), "{problem}");
    }
}

#[test]
fn protection_windows_are_validated() {
    let read = |change: &str| {
        let mut shift = serde_json::json!({
            "time_zone": "Australia/Perth", "from": "06:00", "to": "22:00", "classes": ["live"], "rank": 1
        });
        let change: serde_json::Value = serde_json::from_str(change).unwrap();
        for (key, value) in change.as_object().unwrap() {
            shift[key] = value.clone();
        }
        let operator = OperatorSettings::from_value(serde_json::json!({ "shift": { "trading": shift } }))?;
        Settings::parse(VALID).unwrap().with_operator(operator)
    };
    for (change, line) in [
        (
            r#"{ "teams": ["nobody"] }"#,
            "shift.trading.teams: there is no team nobody",
        ),
        (r#"{ "rank": "x" }"#, "shift.trading.rank: "),
        (r#"{ "rnk": 1 }"#, "shift.trading.rnk: unknown field"),
        (r#"{ "spare": 2 }"#, "shift.trading.spare: "),
    ] {
        let problem = read(change).unwrap_err().to_string();
        assert!(problem.starts_with(line), "{problem}");
    }
    let settings = read("{}").unwrap();
    assert!(settings.warnings().is_empty() && !settings.protection_windows.is_empty());
    assert_eq!(
        read(r#"{ "classes": ["live", "lvie"] }"#).unwrap().warnings(),
        ["shift.trading.classes: no objective names class lvie: is it misspelt?"]
    );
}

#[test]
fn unknown_or_invalid_operator_settings_are_rejected() {
    let read = |text: &str| OperatorSettings::from_value(serde_json::from_str(text).unwrap());
    assert_eq!(read(r#"{ "fleet_max": 7 }"#).unwrap().fleet_max, 7);
    for (text, field) in [
        (r#"{ "fleet": 7 }"#, "fleet"),
        (r#"{ "fleet_max": "x" }"#, "fleet_max"),
        (
            r#"{ "count": { "seat": [{ "units": 1 }, { "units": 2 }] } }"#,
            "count.seat",
        ),
        (r#"{ "count": { "seat": { "units": 1.5 } } }"#, "count.seat.units"),
        (
            r#"{ "count": { "seat": { "units": 1, "server": "x:1" } } }"#,
            "count.seat.server",
        ),
        (
            r#"{ "condor": { "default_teem": "red" } }"#,
            "condor.default_teem",
        ),
        (
            r#"{ "condor": { "machine": { "g8": { "OpSys": { "a": 1 } } } } }"#,
            "condor.machine.g8.OpSys",
        ),
        (
            r#"{ "condor": { "machine": { "g8": [{}, {}] } } }"#,
            "condor.machine.g8",
        ),
    ] {
        let problem = read(text).unwrap_err().to_string();
        assert!(problem.contains(field), "{problem}");
    }
}

// Operators are warned if a cancellation may take hardly longer than a lease; the settings are still valid.
#[test]
fn a_short_margin_between_lease_and_cancellation_is_warned_about() {
    let warnings = |cancel_s: f64| {
        let mut value: serde_json::Value = serde_json::from_str(VALID).unwrap();
        let workers = &mut value["deployment"]["workers"];
        workers["cancel_s"] = (workers["lease_s"].as_f64().unwrap() + cancel_s).into();
        Settings::parse(&value.to_string()).unwrap().warnings()
    };
    assert!(warnings(3.0).is_empty());
    for short in [2.9, 0.0, -5.0] {
        let warnings = warnings(short);
        assert_eq!(warnings.len(), 1);
        assert!(warnings[0].starts_with("deployment.workers.cancel_s: less than 3 s above lease_s"));
    }
}
