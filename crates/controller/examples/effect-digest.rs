//! Prints a digest of everything that the controllers send, for each handwritten scenario and for some
//! hundred generated ones.
//!
//! Two versions with the same behaviour print the same lines. To compare a change with its base:
//!
//! ```text
//! cargo run --release -p indigopath-controller --example effect-digest > after.txt
//! diff before.txt after.txt
//! ```
//!
//! A number after `--` sets the number of seeds of each generator (default 60).

#[path = "../tests/generators/answers.rs"]
mod answers;
#[path = "../tests/generators/duties.rs"]
mod duties;
#[path = "../tests/generators/packages.rs"]
mod packages;
#[path = "../tests/generators/pairs.rs"]
mod pairs;
#[path = "../tests/generators/waiting.rs"]
mod waiting;

use std::path::Path;
use std::sync::Mutex;

/// Default number of seeds of each generator.
const SEEDS: u64 = 60;

/// A scenario generator and its name.
type Generator = (&'static str, fn(u64) -> String);

const GENERATORS: [Generator; 5] = [
    ("answers", answers::scenario),
    ("duties", duties::scenario),
    ("packages", packages::scenario),
    ("pairs", pairs::scenario),
    ("waiting", waiting::scenario),
];

fn main() {
    let seeds = std::env::args()
        .nth(1)
        .map_or(SEEDS, |text| text.parse().expect("a number of seeds"));
    let mut cases = handwritten_scenarios();
    for (name, generate) in GENERATORS {
        cases.extend((0..seeds).map(|seed| (format!("{name}/{seed}"), generate(seed))));
    }
    let lines = Mutex::new(Vec::with_capacity(cases.len()));
    indigopath_simulator::run_cases(cases.len(), |case| {
        let (name, text) = &cases[case];
        let (outcome, digest) = indigopath_simulator::run_with_digest(text);
        let verdict = if outcome.is_ok() { "passed" } else { "failed" };
        let line = format!("{name} {verdict} {digest}");
        lines.lock().expect("no worker thread panics").push(line);
        Ok(())
    });
    let mut lines = lines.into_inner().expect("no worker thread panics");
    lines.sort();
    for line in lines {
        println!("{line}");
    }
}

/// The handwritten scenarios, by name.
fn handwritten_scenarios() -> Vec<(String, String)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let mut scenarios = Vec::new();
    for entry in std::fs::read_dir(folder).expect("the scenarios' folder") {
        let path = entry.expect("a scenario").path();
        let text = std::fs::read_to_string(&path).expect("a readable scenario");
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        scenarios.push((format!("scenarios/{name}"), text));
    }
    scenarios
}
