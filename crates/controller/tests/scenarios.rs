//! Runs every scenario in `tests/scenarios` as a test of its own.

use libtest_mimic::{Arguments, Failed, Trial};
use std::path::Path;

fn main() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let mut trials = Vec::new();
    for entry in std::fs::read_dir(&folder).expect("the scenarios' folder") {
        let path = entry.expect("a scenario").path();
        let name = path
            .file_stem()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        trials.push(Trial::test(name, move || {
            let text = std::fs::read_to_string(&path)?;
            indigopath_simulator::run(&text).map_err(Failed::from)
        }));
    }
    trials.sort_by(|a, b| a.name().cmp(b.name()));
    assert!(!trials.is_empty(), "no scenario in {}", folder.display());
    libtest_mimic::run(&Arguments::from_args(), trials).exit();
}
