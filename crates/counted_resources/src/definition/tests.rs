use super::*;

fn problem(text: &str) -> String {
    let definitions: Definitions = serde_json::from_str(text).unwrap();
    check_definitions(&definitions, |team| team == "red")
        .unwrap_err()
        .to_string()
}

#[test]
fn problems_name_their_field() {
    for (text, start) in [
        (r#"{ "seat": { "units": 2000000 } }"#, "count.seat.units: "),
        (
            r#"{ "seat": { "units": 2, "linger_s": -1 } }"#,
            "count.seat.linger_s: ",
        ),
        (
            r#"{ "seat": { "units": 2, "shares": { "red": 3 } } }"#,
            "count.seat.shares: ",
        ),
        (
            r#"{ "seat": { "units": 2, "shares": { "blue": 1 } } }"#,
            "count.seat.shares.blue: ",
        ),
        (r#"{ "a seat": { "units": 2 } }"#, "count.a seat: "),
    ] {
        let problem = problem(text);
        assert!(problem.starts_with(start), "{problem}");
    }
    let unknown = serde_json::from_str::<Definitions>(r#"{ "seat": { "units": 2, "unit": 3 } }"#);
    assert!(unknown.unwrap_err().to_string().contains("unit"));
}
