//! Property tests: arbitrary submit files cause no panic and no endless run, and exceed no limit.

use indigopath_condor::constants::MAX_FILE_PROCS;
use indigopath_condor::{
    CondorSettings, MachineKinds, MachineType, PathKind, Site, SubmitEnvironment, match_submission, notes,
    read,
};
use proptest::prelude::*;

/// An environment in which every file has the same content, which may include itself.
struct SameFileEverywhere(String);

impl SubmitEnvironment for SameFileEverywhere {
    fn read_file(&self, _: &str) -> Result<String, String> {
        Ok(self.0.clone())
    }

    fn matching_paths(&self, pattern: &str, _: PathKind) -> Result<Vec<String>, String> {
        Ok(vec![pattern.to_owned(); 3])
    }

    fn env_var(&self, name: &str) -> Option<String> {
        (name.len() < 4).then(|| "2".to_owned())
    }
}

fn site() -> Site {
    let machine_type = MachineType {
        name: "g8".to_owned(),
        cpus: 96.0,
        gpus: 8.0,
        memory_gb: 768.0,
        price: 12.0,
        spot_price: 4.5,
        zones: vec!["a".to_owned()],
    };
    let settings = CondorSettings {
        default_team: Some("vision".to_owned()),
        default_image: Some("scan:1".to_owned()),
        ..CondorSettings::default()
    };
    Site {
        kinds: MachineKinds::new(&[machine_type], &["a".to_owned()], &settings),
        settings,
        ..Site::default()
    }
}

fn line() -> impl Strategy<Value = String> {
    let name = prop::sample::select(vec![
        "a",
        "b",
        "request_cpus",
        "request_memory",
        "requirements",
        "rank",
        "hold",
        "priority",
        "+x",
        "MY.y",
        "arguments",
        "universe",
        "machine_count",
        "concurrency_limits",
        "accounting_group",
        "periodic_hold",
        "container_image",
        "+RuntimeS",
        "+AllowSpot",
    ]);
    let value = prop::collection::vec(
        prop::sample::select(vec![
            "1",
            "2 ",
            "$(a)",
            "$(b:3)",
            "$(Process)",
            "$INT(a)",
            "$REAL(b, %f)",
            "$CHOICE(a, b)",
            "$Fnx(a)",
            "$SUBSTR(b, -1)",
            "$EVAL(a)",
            "$ENV(x)",
            "$(",
            "Cpus",
            " > ",
            " && ",
            "Gpus",
            "x",
            "\"t\"",
            "GB",
            "(",
            ")",
            "true",
            "y",
            "/",
            "-",
            "$$(c)",
            "\\",
        ]),
        0..5,
    )
    .prop_map(|parts| parts.concat());
    prop_oneof![
        6 => (name, value.clone()).prop_map(|(name, value)| format!("{name} = {value}")),
        2 => value.clone().prop_map(|value| format!("queue {value}")),
        1 => Just("queue 2 a, b from f".to_owned()),
        1 => Just("queue a in (1, 2\n3)".to_owned()),
        1 => Just("queue matching [::2] *".to_owned()),
        1 => value.clone().prop_map(|value| format!("if {value}")),
        1 => Just("if defined a".to_owned()),
        1 => Just("else".to_owned()),
        1 => Just("endif".to_owned()),
        1 => Just("include : f".to_owned()),
        1 => Just("a @=e\n1\n@e".to_owned()),
        1 => value,
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_500))]

    #[test]
    fn no_file_panics_or_exceeds_limits(lines in prop::collection::vec(line(), 0..14), other in line()) {
        let text = lines.join("\n");
        if let Ok(submission) = read(&text, "any.sub", 1, 0, &SameFileEverywhere(other)) {
            prop_assert!(submission.procs() <= MAX_FILE_PROCS);
            let _ = notes(&submission);
            let results = match_submission(&submission, 1, 0, &site());
            prop_assert_eq!(results.outcome_of_proc.len(), submission.procs());
            // Every verdict but a match has a reason, and only procs that may run have kinds.
            for outcome in &results.outcomes {
                let matches = outcome.verdict == indigopath_condor::Verdict::Match;
                prop_assert_eq!(outcome.reason.is_none(), matches);
                let may_run = matches || outcome.verdict == indigopath_condor::Verdict::Held;
                prop_assert_eq!(may_run, !outcome.kinds.is_clear());
            }
        }
    }

    #[test]
    fn no_bytes_panic(text in "[ -~\n$(){}=#\\\\é]{0,200}") {
        let _ = read(&text, "any.sub", 1, 0, &SameFileEverywhere(String::new()));
    }
}

// A requirement of 200 terms that differs between procs would take seconds of a controller's
// processor if only single evaluations were limited: the steps of a whole file are limited.
#[test]
fn a_file_has_an_evaluation_budget() {
    // Terms that refer to the job are evaluated for every proc.
    let terms: Vec<String> = (0..200)
        .map(|number| format!("Cpus + ProcId > {number} - 1000"))
        .collect();
    let mut text = format!("requirements = {}\n", terms.join(" && "));
    text.push_str("queue 20000\n");
    let submission = read(&text, "any.sub", 1, 0, &SameFileEverywhere(String::new())).unwrap();
    let results = match_submission(&submission, 1, 0, &site());
    let last = results.outcomes.last().unwrap();
    assert_eq!(last.verdict, indigopath_condor::Verdict::Refused);
    assert!(
        last.reason.as_ref().unwrap().contains("too many steps"),
        "{:?}",
        last.reason
    );
}
