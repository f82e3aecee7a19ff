//! Checks the language against the tables of the HTCondor manual and against generated text.

use indigopath_classad::constants::{MAX_DEPTH, MAX_STEPS};
use indigopath_classad::{Ad, Evaluator, Expr, Fault, Name, Scope, Value};
use proptest::prelude::*;

const NOW_S: i64 = 1_700_000_000;

fn ads() -> (Ad, Ad) {
    let mut job = Ad::default();
    let mut machine = Ad::default();
    for (ad, name, text) in [
        (0, "RequestCpus", "4"),
        (0, "Both", "\"job\""),
        (0, "Twice", "RequestCpus * 2"),
        (0, "Loop", "Loop + 1"),
        (0, "Ping", "TARGET.Pong"),
        (0, "odd name", "5"),
        (1, "Cpus", "16"),
        (1, "Both", "\"machine\""),
        // In expressions of the machine ad, TARGET is the job ad.
        (1, "Sees", "TARGET.RequestCpus"),
        (1, "Wants", "MY.Cpus >= TARGET.RequestCpus && Both == \"machine\""),
        (1, "Pong", "TARGET.Ping"),
    ] {
        let expr = Expr::parse(text).unwrap();
        [&mut job, &mut machine][ad].insert(Name::new(name), expr);
    }
    (job, machine)
}

#[test]
fn expressions_evaluate_to_published_values() {
    let (job, machine) = ads();
    let mut evaluator = Evaluator::new(NOW_S);
    let mut checked = 0;
    let mut wrong = Vec::new();
    let lines = include_str!("published.txt").lines();
    for line in lines.filter(|line| !line.starts_with(['#', '/'])) {
        let Some((text, expected)) = line.split_once(" => ") else {
            assert!(line.is_empty(), "{line}");
            continue;
        };
        let expr = Expr::parse(text).unwrap_or_else(|error| panic!("{text}: {error}"));
        let value = evaluator.evaluate(&expr, &job, Some(&machine));
        if value.to_string() != expected {
            wrong.push(format!("{text} => {value}, not {expected}"));
        }
        // Every ERROR has a fault that explains it.
        assert!(value != Value::Error || evaluator.fault().is_some(), "{text}");
        assert_eq!(
            Expr::parse(&expr.to_string()).as_ref(),
            Ok(&expr),
            "{text} as {expr}"
        );
        checked += 1;
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    assert!(checked > 250, "{checked}");
}

#[test]
fn parse_errors_have_positions() {
    for (text, position, words) in [
        ("Cpus >=", "1:8", "missing at the end"),
        ("Cpus > 4 &&\n  (Gpus", "2:8", "\")\" is missing"),
        ("a = 1", "1:3", "\"==\" compares"),
        ("Cpus 4", "1:6", "operator is missing"),
        ("\"open", "1:1", "does not end"),
        ("regexpp(\"a\", b)", "1:1", "regexp"),
        ("size()", "1:1", "takes 1 arguments, not 0"),
        ("MY Cpus", "1:4", "after MY"),
        ("x == #", "1:6", "means nothing"),
        ("99999999999999999999", "1:1", "no number"),
        ("a ? b", "1:6", "\":\""),
        ("", "1:1", "missing at the end"),
        ("é + ", "1:1", "means nothing"),
    ] {
        let error = Expr::parse(text).unwrap_err();
        assert_eq!(error.position.to_string(), position, "{text}: {error}");
        assert!(error.to_string().contains(words), "{text}: {error}");
    }
}

#[test]
fn limits_bound_parsing_and_evaluation() {
    let (job, machine) = ads();
    let mut evaluator = Evaluator::new(NOW_S);
    for (open, close) in [
        ("(", ")"),
        ("{", "}"),
        ("!", ""),
        ("a[", "]"),
        ("[a=", "]"),
        ("1?", ":2"),
    ] {
        let deep = format!("{}1{}", open.repeat(20_000 / open.len()), close.repeat(5_000));
        let error = Expr::parse(&deep).unwrap_err();
        assert!(error.to_string().contains("deep"), "{open}: {error}");
    }
    let chain = vec!["1"; usize::from(MAX_DEPTH) + 1].join("||");
    assert!(Expr::parse(&chain).unwrap_err().to_string().contains("deep"));
    // The maximum depth, left- and right-nested, must fit on the small stack of a test thread.
    let most = usize::from(MAX_DEPTH) - 1;
    let down = format!("{}1{}", "-(".repeat(most / 2), ")".repeat(most / 2));
    for text in [vec!["1"; most].join("+"), down] {
        let expr = Expr::parse(&text).unwrap();
        assert_ne!(
            evaluator.evaluate(&expr, &job, None),
            Value::Error,
            "{:?}",
            evaluator.fault()
        );
    }
    let mut costly = Ad::default();
    costly.set("a0", Value::Int(1));
    for index in 1..20 {
        let sum = vec![format!("a{}", index - 1); 10].join("+");
        costly.insert(Name::new(&format!("a{index}")), Expr::parse(&sum).unwrap());
    }
    let expr = Expr::parse("a19").unwrap();
    assert_eq!(evaluator.evaluate(&expr, &costly, Some(&machine)), Value::Error);
    assert_eq!(
        evaluator.fault(),
        Some(&Fault::StepLimit),
        "after {MAX_STEPS} steps"
    );
    let long = Expr::parse(&format!("strcat({})", vec!["x"; 200].join(","))).unwrap();
    let mut large = Ad::default();
    large.set("x", Value::from("y".repeat(10_000)));
    assert_eq!(evaluator.evaluate(&long, &large, None), Value::Error);
    assert_eq!(evaluator.fault(), Some(&Fault::SizeLimit));
    let pattern = Expr::parse(r#"regexp("(a{1000}){1000}", "a")"#).unwrap();
    assert_eq!(evaluator.evaluate(&pattern, &large, None), Value::Error);
    let again = Expr::parse("eval(again)").unwrap();
    large.set("again", Value::from("eval(again)"));
    assert_eq!(evaluator.evaluate(&again, &large, None), Value::Error);
}

#[test]
fn references_include_branches_that_are_not_evaluated() {
    let expr = Expr::parse("true || MY.a =?= undefined ? TARGET.b : [c = 1; d = c + e].d > f({g})");
    assert!(expr.is_err(), "f is no function");
    let expr =
        Expr::parse("true || MY.a =?= undefined ? TARGET.b : [c = 1; d = c + e].d > size({g})").unwrap();
    let found: Vec<(Scope, &str)> = expr
        .references()
        .iter()
        .map(|reference| (reference.scope, reference.name.text()))
        .collect();
    let expected = [
        (Scope::My, "a"),
        (Scope::Target, "b"),
        (Scope::Any, "e"),
        (Scope::Any, "g"),
    ];
    assert_eq!(found, expected);
    assert_eq!(Expr::parse("a && (b && c) || d").unwrap().terms().len(), 1);
    let terms = Expr::parse("a && (b && c) && (d || e)").unwrap();
    let terms: Vec<String> = terms.terms().iter().map(ToString::to_string).collect();
    assert_eq!(terms, ["a", "b", "c", "d || e"]);
}

/// Random concatenations of fragments of expressions.
fn text() -> impl Strategy<Value = String> {
    let piece = prop_oneof![
        Just("Cpus"),
        Just("MY."),
        Just("TARGET."),
        Just("1"),
        Just("2.5"),
        Just("\"a\""),
        Just("'q'"),
        Just("("),
        Just(")"),
        Just("{"),
        Just("}"),
        Just("["),
        Just("]"),
        Just(","),
        Just(";"),
        Just("="),
        Just("&&"),
        Just("||"),
        Just("!"),
        Just("=?="),
        Just("=="),
        Just("<"),
        Just(">>>"),
        Just("+"),
        Just("-"),
        Just("*"),
        Just("/"),
        Just("%"),
        Just("?"),
        Just(":"),
        Just("."),
        Just(" is "),
        Just("undefined"),
        Just("error"),
        Just("size("),
        Just("regexp("),
        Just("eval("),
        Just("9223372036854775807"),
        Just("Loop"),
        Just("split("),
        Just("substr("),
        Just("\\"),
        Just("\""),
    ];
    prop::collection::vec(piece, 0..40).prop_map(|pieces| pieces.concat())
}

/// Expressions of every kind, as fully parenthesized text.
fn tree() -> impl Strategy<Value = String> {
    let leaf = prop_oneof![
        Just("Cpus".to_owned()),
        Just("MY.a".to_owned()),
        Just("TARGET.'b c'".to_owned()),
        Just("undefined".to_owned()),
        any::<u32>().prop_map(|n| n.to_string()),
        (0.0..1e6).prop_map(|n: f64| format!("{n:?}")),
        "[a-z \\\\\"\n]{0,6}".prop_map(|s| Value::from(s).to_string()),
    ];
    leaf.prop_recursive(5, 40, 3, |inner| {
        let operator = prop::sample::select(vec![
            "||", "&&", "|", "^", "&", "==", "!=", "=?=", "=!=", "<", "<=", ">", ">=", "<<", ">>", ">>>",
            "+", "-", "*", "/", "%",
        ]);
        let two = (inner.clone(), operator, inner.clone());
        let prefix = prop::sample::select(vec!["-", "+", "!", "~"]);
        prop_oneof![
            two.prop_map(|(a, o, b)| format!("({a}) {o} ({b})")),
            (prefix, inner.clone()).prop_map(|(o, a)| format!("{o}({a})")),
            (inner.clone(), inner.clone(), inner.clone())
                .prop_map(|(a, b, c)| format!("({a}) ? ({b}) : ({c})")),
            (inner.clone(), inner.clone()).prop_map(|(a, b)| format!("({a}) ?: ({b})")),
            (inner.clone(), inner.clone()).prop_map(|(a, b)| format!("({a})[{b}]")),
            inner.clone().prop_map(|a| format!("({a}).'x y'")),
            inner.clone().prop_map(|a| format!("({a}).b")),
            prop::collection::vec(inner.clone(), 0..3).prop_map(|all| format!("{{{}}}", all.join(","))),
            (inner.clone(), inner.clone()).prop_map(|(a, b)| format!("[x = {a}; 'y z' = {b}]")),
            (inner.clone(), inner).prop_map(|(a, b)| format!("strcat({a}, {b})")),
        ]
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn fragments_do_not_panic_or_exceed_limits(text in text()) {
        let (job, machine) = ads();
        if let Ok(expr) = Expr::parse(&text) {
            let _ = Evaluator::new(NOW_S).evaluate(&expr, &job, Some(&machine));
            prop_assert_eq!(Expr::parse(&expr.to_string()), Ok(expr));
        }
    }

    #[test]
    fn arbitrary_text_does_not_panic(text in ".{0,60}") {
        if let Ok(expr) = Expr::parse(&text) {
            let _ = Evaluator::new(NOW_S).evaluate(&expr, &Ad::default(), None);
        }
    }

    #[test]
    fn printed_expressions_parse_back_to_the_same_tree(text in tree()) {
        let expr = Expr::parse(&text).unwrap();
        let printed = expr.to_string();
        let again = Expr::parse(&printed);
        prop_assert_eq!(again.as_ref(), Ok(&expr), "{} as {}", text, printed);
        // The parsed expression must also evaluate to the same value.
        let (job, machine) = ads();
        let mut evaluator = Evaluator::new(NOW_S);
        let value = evaluator.evaluate(&expr, &job, Some(&machine));
        // Values that contain NaN are not equal to themselves.
        let same = evaluator.evaluate(&again.unwrap(), &job, Some(&machine));
        prop_assert!(value.is(&same) || !value.is(&value.clone()));
    }
}
