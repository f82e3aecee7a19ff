use super::*;
use crate::settings::Settings;
use proptest::prelude::*;

fn deployment() -> Deployment {
    Settings::parse(include_str!("../../../tests/support/settings.json"))
        .unwrap()
        .deployment
}

fn types() -> Vec<MachineType> {
    let flavors: crate::protocol::Flavors =
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

/// Of a body as text, where all is known.
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

/// Refused as malformed, with the field's name.
fn names(field: &str, result: &Result<JobSpec, Refusal>) -> bool {
    matches!(result, Err(Refusal::Invalid(problem)) if problem.contains(field))
}

// "If a field may be null, it may also be missing"; "400: a field is missing or invalid".
#[test]
fn each_field_may_be_missing_or_null_only_if_it_may_be_null() {
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
            assert!(names(&field, &missing), "{field} missing: {missing:?}");
            assert!(names(&field, &null), "{field} null: {null:?}");
        }
    }
}

#[test]
fn a_value_of_another_type_is_malformed_whichever_field_has_it() {
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
            assert!(names(field, &result), "{field} = {value}: {result:?}");
        }
    }
}

#[test]
fn numbers_out_of_range_are_malformed() {
    let text = body().to_string();
    for (field, value) in [
        ("Cpus", "4.0"),
        ("PullGb", "2.0"),
        ("RuntimeS", "20.0"),
        ("Picks", "4"),
    ] {
        let good = format!("\"{field}\":{value}");
        assert!(text.contains(&good));
        for odd in [
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
            let result = outcome_of(text.replace(&good, &format!("\"{field}\":{odd}")).as_bytes());
            assert!(
                matches!(result, Err((_, Refusal::Invalid(_)))),
                "{field} {odd}: {result:?}"
            );
        }
    }
}

#[test]
fn what_is_not_one_object_is_malformed() {
    let whole = body();
    let text = whole.to_string();
    // In the order of the fields, as a list of values would be read.
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
    for odd in [
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
        let result = outcome_of(odd.as_bytes());
        assert!(
            matches!(result, Err((None, Refusal::Invalid(_)))),
            "{odd:.40}: {result:?}"
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
        assert!(names(field, &result), "{field} twice: {result:?}");
    }
}

#[test]
fn fields_that_nobody_knows_are_ignored() {
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

// Whatever else is wrong, an id that was accepted before gets its job's state.
#[test]
fn the_id_is_known_wherever_it_can_be_read() {
    for odd in [
        r#"{"Id":"wk-1"}"#,
        r#"{"Id":"wk-1","Cpus":1e999}"#,
        r#"{"Cpus":[[[[]]]],"Id":"wk-1","Cpus":7}"#,
        r#" {"Rigs":{"Id":"wk-2"},"Id":"wk-1","Id2":"wk-3"} "#,
    ] {
        let id = outcome_of(odd.as_bytes()).unwrap_err().0;
        assert_eq!(id, parse_id("wk-1"), "{odd}");
    }
}

#[test]
fn fields_are_checked_one_by_one() {
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
fn impossible_jobs_are_told_apart_from_malformed_ones() {
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
fn what_can_never_have_its_units_is_refused_with_the_reason() {
    let asks = |shape: &str, tasks: u32, name: &str, units: u32| {
        outcome(|body| {
            body["Shape"] = shape.into();
            body["Picks"] = tasks.into();
            body["Counts"] = serde_json::json!({ name: units });
        })
    };
    assert_eq!(asks("sweep", 9, "seat", 4).unwrap().counts.units("seat"), 4);
    assert!(asks("gang", 2, "seat", 2).is_ok());
    for (refused, reason) in [
        (
            asks("sweep", 1, "seat", 5),
            "needs 5 of count \"seat\" at once, of which there are 4",
        ),
        (asks("gang", 3, "seat", 2), "needs 6 of count"),
        (asks("daemon", 3, "seat", 2), "needs 6 of count"),
        (asks("sweep", 1, "chair", 1), "there is no count \"chair\""),
    ] {
        match refused {
            Err(Refusal::Impossible(text)) => assert!(text.contains(reason), "{text}"),
            other => panic!("{other:?}"),
        }
    }
}

fn never(change: impl FnOnce(&mut serde_json::Value), types: Option<(&[MachineType], bool)>) -> Option<u16> {
    let mut body = body();
    change(&mut body);
    match outcome_at(body.to_string().as_bytes(), types) {
        Ok(_) => None,
        Err((Some(_), Refusal::Undecided(_))) => Some(503),
        Err((Some(_), Refusal::Impossible(_))) => Some(422),
        other => panic!("{other:?}"),
    }
}

// A submission is refused for what no list of types can change, whatever is known of them; else once
// the cloud itself has told them.
#[test]
fn what_hangs_on_machine_types_waits_for_them() {
    let types = types();
    let known = |certain| Some((types.as_slice(), certain));
    let says = |body: &mut serde_json::Value, text: &str| {
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
        assert_eq!(never(|body| says(body, fields), None), unknown, "{fields}");
        assert_eq!(never(|body| says(body, fields), known(false)), stored, "{fields}");
        assert_eq!(never(|body| says(body, fields), known(true)), certain, "{fields}");
    }
}

// Half of the tasks in each of two zones at most: what has to be there at once needs two.
#[test]
fn tasks_apart_need_two_zones_at_once() {
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
        never(fill, Some((types, true)))
    };
    for shape in ["gang", "daemon"] {
        assert_eq!(apart(shape, 2, false, None, &both), None);
        assert_eq!(
            apart(shape, 1, true, Some("east"), &east),
            None,
            "1 of 1 may be in one zone"
        );
        assert_eq!(apart(shape, 2, true, None, &both), Some(422));
        assert_eq!(apart(shape, 2, false, Some("east"), &both), Some(422));
        assert_eq!(
            apart(shape, 2, false, None, &east),
            Some(422),
            "the cloud sells in one zone"
        );
    }
    // An array's tasks need not be there at once: two at a time.
    assert_eq!(apart("sweep", 4, true, Some("east"), &east), None);
}

#[test]
fn a_type_that_is_not_sold_in_the_zone_does_not_do() {
    let mut types = types();
    types[0].zones = vec!["west".to_owned()];
    let asks = |rigs: serde_json::Value, zone: &str, spot: bool| {
        let fill = |body: &mut serde_json::Value| {
            body["Rigs"] = rigs;
            body["Yard"] = zone.into();
            body["Loaners"] = spot.into();
        };
        never(fill, Some((&types, true)))
    };
    for spot in [false, true] {
        assert_eq!(asks(serde_json::json!(["small"]), "west", spot), None);
        assert_eq!(asks(serde_json::json!(["small"]), "east", spot), Some(422));
        assert_eq!(asks(serde_json::json!(["small", "large"]), "east", spot), None);
        assert_eq!(asks(serde_json::Value::Null, "east", spot), None);
    }
    // Nowhere that the settings name.
    types
        .iter_mut()
        .for_each(|known| known.zones = vec!["north".to_owned()]);
    assert_eq!(never(|_| (), Some((&types, true))), Some(422));
}

proptest! {
    #[test]
    fn no_body_panics(body in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = outcome_of(&body);
    }

    // Bodies that are nearly right: a byte of a good one is another.
    #[test]
    fn no_changed_byte_panics(at in 0usize..400, value in any::<u8>()) {
        let mut text = body().to_string().into_bytes();
        let at = at % text.len();
        text[at] = value;
        let _ = outcome_of(&text);
    }
}
