use super::*;
use crate::settings::Settings;
use proptest::prelude::*;

fn deployment() -> Deployment {
    Settings::parse(include_str!("../../../tests/support/settings.json"))
        .unwrap()
        .deployment
}

fn types() -> Vec<MachineType> {
    let flavors: crate::protocol::MachineTypeList =
        serde_json::from_str(include_str!("../../../tests/support/flavors.json")).unwrap();
    flavors.types
}

fn body() -> serde_json::Value {
    serde_json::json!({
        "Id": "wk-000001", "Lane": "batch", "Crew": "red", "Shape": "sweep",
        "Urgency": "standard", "Picks": 4, "Cpus": 4.0, "Gpus": 1.0, "MemGb": 8.0,
        "Kit": "img-1", "PullGb": 2.0, "Rigs": null, "Yard": null, "OneZone": false,
        "Apart": false, "Loaners": true, "RuntimeS": 20.0, "StashEveryS": 0.0,
        "StashS": 0.0, "DueS": null
    })
}

fn definitions() -> Definitions {
    serde_json::from_value(serde_json::json!({ "seat": { "units": 4 } })).unwrap()
}

type Outcome = Result<JobSpec, (Option<JobId>, Refusal)>;

fn outcome_at(body: &[u8], types: Option<(&[MachineType], bool)>) -> Outcome {
    let known = types.map(|(list, confirmed)| KnownMachineTypes { list, confirmed });
    accept(body, &deployment(), &definitions(), known, 0)
}

/// Validates a serialized body with all machine types known.
fn outcome_of(body: &[u8]) -> Outcome {
    outcome_at(body, Some((&types(), true)))
}

fn outcome(change: impl FnOnce(&mut serde_json::Value)) -> Result<JobSpec, Refusal> {
    let mut body = body();
    change(&mut body);
    outcome_of(body.to_string().as_bytes()).map_err(|(_, refusal)| refusal)
}

/// Fields that may be null.
const NULLABLE: [&str; 3] = ["Rigs", "Yard", "DueS"];

/// Whether the result is an error that names the field.
fn is_invalid_field(field: &str, result: &Result<JobSpec, Refusal>) -> bool {
    matches!(result, Err(Refusal::Invalid(problem)) if problem.contains(field))
}

// Required by the platform: "If a field may be null, it may also be missing"; "400: a field is missing or
// invalid".
#[test]
fn only_nullable_fields_may_be_missing_or_null() {
    let whole = outcome(|_| ()).unwrap();
    let fields: Vec<String> = body().as_object().unwrap().keys().cloned().collect();
    assert_eq!(fields.len(), 20);
    for field in fields {
        let missing = outcome(|body| _ = body.as_object_mut().unwrap().remove(&field));
        let null = outcome(|body| body[&field] = serde_json::Value::Null);
        if NULLABLE.contains(&&*field) {
            assert_eq!(missing.as_ref(), Ok(&whole), "{field}");
            assert_eq!(null.as_ref(), Ok(&whole), "{field}");
        } else {
            assert!(is_invalid_field(&field, &missing), "{field} missing: {missing:?}");
            assert!(is_invalid_field(&field, &null), "{field} null: {null:?}");
        }
    }
}

#[test]
fn a_value_of_the_wrong_type_is_invalid_in_every_field() {
    let samples = r#"[true, 7, "x", ["x"], {"x": 1}, {"sweep": null}, {"low": null}, [[[7]]]]"#;
    let samples: Vec<serde_json::Value> = serde_json::from_str(samples).unwrap();
    let mut good = body();
    good["Rigs"] = serde_json::json!(["small"]);
    good["Yard"] = "east".into();
    good["DueS"] = 60.0.into();
    for (field, right) in good.as_object().unwrap() {
        let other = |value: &&serde_json::Value| {
            std::mem::discriminant(*value) != std::mem::discriminant(right) || value[0].is_array()
        };
        for value in samples.iter().filter(other) {
            let result = outcome(|body| body[field] = value.clone());
            assert!(is_invalid_field(field, &result), "{field} = {value}: {result:?}");
        }
    }
}

#[test]
fn numbers_out_of_range_are_invalid() {
    let text = body().to_string();
    for (field, value) in [
        ("Cpus", "4.0"),
        ("PullGb", "2.0"),
        ("RuntimeS", "20.0"),
        ("Picks", "4"),
    ] {
        let good = format!("\"{field}\":{value}");
        assert!(text.contains(&good));
        for malformed in [
            "-1",
            "-0.5",
            "1e300",
            "1e999",
            "-1e999",
            "1e8000000000",
            "18446744073709551616",
            "99999999999",
            "NaN",
            "Infinity",
            "0x10",
            "1.",
            "1_000",
            "\"NaN\"",
        ] {
            let result = outcome_of(
                text.replace(&good, &format!("\"{field}\":{malformed}"))
                    .as_bytes(),
            );
            assert!(
                matches!(result, Err((_, Refusal::Invalid(_)))),
                "{field} {malformed}: {result:?}"
            );
        }
    }
}

#[test]
fn a_body_that_is_not_a_single_object_is_invalid() {
    let whole = body();
    let text = whole.to_string();
    // Field order, in which deserialization would accept an array of the values.
    let order = [
        "Id",
        "Lane",
        "Crew",
        "Shape",
        "Urgency",
        "Picks",
        "Cpus",
        "Gpus",
        "MemGb",
        "Kit",
        "PullGb",
        "Rigs",
        "Yard",
        "OneZone",
        "Apart",
        "Loaners",
        "RuntimeS",
        "StashEveryS",
        "StashS",
        "DueS",
    ];
    let mut values: Vec<_> = order.iter().map(|field| whole[field].clone()).collect();
    values.push(serde_json::Value::Null);
    let list = serde_json::to_string(&values).unwrap();
    let twice = format!("{text}{text}");
    let deep = "[".repeat(60_000);
    for malformed in [
        "",
        " ",
        "null",
        "5",
        "true",
        "\"wk-1\"",
        "[]",
        "{}",
        &list,
        &twice,
        &deep,
        "\u{feff}{}",
        "{\"Id\":",
    ] {
        let result = outcome_of(malformed.as_bytes());
        assert!(
            matches!(result, Err((None, Refusal::Invalid(_)))),
            "{malformed:.40}: {result:?}"
        );
    }
    for end in 0..text.len() {
        let result = outcome_of(&text.as_bytes()[..end]);
        assert!(
            matches!(result, Err((None, Refusal::Invalid(_)))),
            "{end}: {result:?}"
        );
    }
    let result = outcome_of(&[text.as_bytes(), b"\xff"].concat());
    assert!(matches!(result, Err((_, Refusal::Invalid(_)))), "{result:?}");
    for (field, value) in whole.as_object().unwrap() {
        let again = format!("{{\"{field}\":{value},{}", &text[1..]);
        let result = outcome_of(again.as_bytes()).map_err(|(_, refusal)| refusal);
        assert!(is_invalid_field(field, &result), "{field} twice: {result:?}");
    }
}

#[test]
fn unknown_fields_are_ignored() {
    let text = body().to_string();
    let deep = format!("{}{}", "[".repeat(30_000), "]".repeat(30_000));
    for more in [
        "\"X\":1,\"X\":null",
        &format!("\"X\":{deep}"),
        "\"X\":1e999",
        "\"id\":7",
        "\"\":\"\\ud800\"",
    ] {
        let result = outcome_of(format!("{{{more},{}", &text[1..]).as_bytes());
        assert!(result.is_ok(), "{more:.40}: {result:?}");
    }
}

// A submission with the id of an existing job is answered with its status whatever else is wrong.
#[test]
fn the_id_is_returned_with_an_error_if_it_can_be_read() {
    for malformed in [
        r#"{"Id":"wk-1"}"#,
        r#"{"Id":"wk-1","Cpus":1e999}"#,
        r#"{"Cpus":[[[[]]]],"Id":"wk-1","Cpus":7}"#,
        r#" {"Rigs":{"Id":"wk-2"},"Id":"wk-1","Id2":"wk-3"} "#,
    ] {
        let id = outcome_of(malformed.as_bytes()).unwrap_err().0;
        assert_eq!(id, parse_id("wk-1"), "{malformed}");
    }
}

#[test]
fn every_field_is_checked() {
    assert!(outcome(|_| ()).is_ok());
    for (field, value) in [
        ("Picks", serde_json::json!(0)),
        ("Picks", serde_json::json!(100_001)),
        ("Picks", serde_json::json!(1.5)),
        ("Cpus", serde_json::json!(-1.0)),
        ("Cpus", serde_json::json!("4")),
        ("MemGb", serde_json::json!(1e300)),
        ("RuntimeS", serde_json::Value::Null),
        ("Shape", serde_json::json!("ring")),
        ("Urgency", serde_json::json!("now")),
        ("Id", serde_json::json!("wk-")),
        ("Id", serde_json::json!("wk-../leader")),
        ("Kit", serde_json::json!("")),
        ("OneZone", serde_json::json!(1)),
        ("Rigs", serde_json::json!("small")),
        ("Counts", serde_json::json!("seat")),
        ("Counts", serde_json::json!({ "seat": 0 })),
        ("Counts", serde_json::json!({ "seat": -1 })),
        ("Counts", serde_json::json!({ "seat": 1.5 })),
        ("Counts", serde_json::json!({ "a seat": 1 })),
    ] {
        let result = outcome(|body| body[field] = value.clone());
        assert!(
            matches!(result, Err(Refusal::Invalid(_))),
            "{field} = {value}: {result:?}"
        );
    }
}

#[test]
fn impossible_jobs_are_distinguished_from_invalid_ones() {
    for (field, value) in [
        ("Crew", serde_json::json!("nobody")),
        ("Gpus", serde_json::json!(9.0)),
        ("Cpus", serde_json::json!(5000.0)),
        ("Rigs", serde_json::json!([])),
        ("Yard", serde_json::json!("elsewhere")),
    ] {
        let result = outcome(|body| body[field] = value.clone());
        assert!(
            matches!(result, Err(Refusal::Impossible(_))),
            "{field} = {value}: {result:?}"
        );
    }
    // An array may be larger than its team's limit, a gang may not.
    assert!(outcome(|body| body["Picks"] = 100.into()).is_ok());
    let gang = outcome(|body| {
        body["Picks"] = 100.into();
        body["Shape"] = "gang".into();
    });
    assert_eq!(gang, Err(impossible("over the team's limit")));
}

#[test]
fn a_job_that_needs_more_units_than_exist_is_rejected_with_the_reason() {
    let submit = |shape: &str, tasks: u32, name: &str, units: u32| {
        outcome(|body| {
            body["Shape"] = shape.into();
            body["Picks"] = tasks.into();
            body["Counts"] = serde_json::json!({ name: units });
        })
    };
    assert_eq!(submit("sweep", 9, "seat", 4).unwrap().counts.units("seat"), 4);
    assert!(submit("gang", 2, "seat", 2).is_ok());
    for (refused, reason) in [
        (
            submit("sweep", 1, "seat", 5),
            "needs 5 of count \"seat\" at once, of which there are 4",
        ),
        (submit("gang", 3, "seat", 2), "needs 6 of count"),
        (submit("daemon", 3, "seat", 2), "needs 6 of count"),
        (submit("sweep", 1, "chair", 1), "there is no count \"chair\""),
    ] {
        match refused {
            Err(Refusal::Impossible(text)) => assert!(text.contains(reason), "{text}"),
            other => panic!("{other:?}"),
        }
    }
}

fn error_status(
    change: impl FnOnce(&mut serde_json::Value),
    types: Option<(&[MachineType], bool)>,
) -> Option<u16> {
    let mut body = body();
    change(&mut body);
    match outcome_at(body.to_string().as_bytes(), types) {
        Ok(_) => None,
        Err((Some(_), Refusal::Undecided(_))) => Some(503),
        Err((Some(_), Refusal::Impossible(_))) => Some(422),
        other => panic!("{other:?}"),
    }
}

// A submission that no machine type list could make possible is rejected immediately; otherwise the
// decision waits until the cloud itself has listed its types.
#[test]
fn checks_that_depend_on_machine_types_wait_for_them() {
    let types = types();
    let known = |certain| Some((types.as_slice(), certain));
    let set_fields = |body: &mut serde_json::Value, text: &str| {
        let fields: serde_json::Value = serde_json::from_str(text).unwrap();
        for (field, value) in fields.as_object().unwrap() {
            body[field] = value.clone();
        }
    };
    for (fields, unknown, stored, certain) in [
        ("{}", Some(503), None, None),
        (r#"{"Crew":"nobody"}"#, Some(422), Some(422), Some(422)),
        (r#"{"Shape":"gang","Picks":17}"#, Some(422), Some(422), Some(422)),
        (r#"{"Yard":"elsewhere"}"#, Some(422), Some(422), Some(422)),
        (
            r#"{"Shape":"gang","OneZone":true,"Apart":true}"#,
            Some(422),
            Some(422),
            Some(422),
        ),
        (
            r#"{"Shape":"daemon","Yard":"east","Apart":true}"#,
            Some(422),
            Some(422),
            Some(422),
        ),
        (r#"{"Rigs":["huge"]}"#, Some(503), Some(503), Some(422)),
        (r#"{"Gpus":9.0}"#, Some(503), Some(503), Some(422)),
    ] {
        assert_eq!(
            error_status(|body| set_fields(body, fields), None),
            unknown,
            "{fields}"
        );
        assert_eq!(
            error_status(|body| set_fields(body, fields), known(false)),
            stored,
            "{fields}"
        );
        assert_eq!(
            error_status(|body| set_fields(body, fields), known(true)),
            certain,
            "{fields}"
        );
    }
}

// With `Apart`, each zone may hold at most half of the tasks, so tasks that run at once need two zones.
#[test]
fn concurrent_spread_tasks_need_two_zones() {
    let both = types();
    let mut east = types();
    east.iter_mut()
        .for_each(|known| known.zones = vec!["east".to_owned()]);
    let apart = |shape: &str, tasks: u32, one_zone: bool, zone: Option<&str>, types: &[MachineType]| {
        let fill = |body: &mut serde_json::Value| {
            body["Shape"] = shape.into();
            body["Picks"] = tasks.into();
            body["Apart"] = true.into();
            body["OneZone"] = one_zone.into();
            body["Yard"] = zone.into();
        };
        error_status(fill, Some((types, true)))
    };
    for shape in ["gang", "daemon"] {
        assert_eq!(apart(shape, 2, false, None, &both), None);
        assert_eq!(
            apart(shape, 1, true, Some("east"), &east),
            None,
            "a single task may be in one zone"
        );
        assert_eq!(apart(shape, 2, true, None, &both), Some(422));
        assert_eq!(apart(shape, 2, false, Some("east"), &both), Some(422));
        assert_eq!(
            apart(shape, 2, false, None, &east),
            Some(422),
            "the cloud offers the types in one zone only"
        );
    }
    // An array's tasks need not run at the same time.
    assert_eq!(apart("sweep", 4, true, Some("east"), &east), None);
}

#[test]
fn a_type_that_is_not_offered_in_the_zone_is_not_eligible() {
    let mut types = types();
    types[0].zones = vec!["west".to_owned()];
    let submit = |rigs: serde_json::Value, zone: &str, spot: bool| {
        let fill = |body: &mut serde_json::Value| {
            body["Rigs"] = rigs;
            body["Yard"] = zone.into();
            body["Loaners"] = spot.into();
        };
        error_status(fill, Some((&types, true)))
    };
    for spot in [false, true] {
        assert_eq!(submit(serde_json::json!(["small"]), "west", spot), None);
        assert_eq!(submit(serde_json::json!(["small"]), "east", spot), Some(422));
        assert_eq!(submit(serde_json::json!(["small", "large"]), "east", spot), None);
        assert_eq!(submit(serde_json::Value::Null, "east", spot), None);
    }
    // Offered only in a zone that the settings do not name.
    types
        .iter_mut()
        .for_each(|known| known.zones = vec!["north".to_owned()]);
    assert_eq!(error_status(|_| (), Some((&types, true))), Some(422));
}

proptest! {
    #[test]
    fn arbitrary_bodies_never_panic(body in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = outcome_of(&body);
    }

    // A valid body with one changed byte.
    #[test]
    fn a_changed_byte_never_panics(index in 0usize..400, value in any::<u8>()) {
        let mut text = body().to_string().into_bytes();
        let position = index % text.len();
        text[position] = value;
        let _ = outcome_of(&text);
    }
}
