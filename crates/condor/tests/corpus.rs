//! Tests submit files against their expected results on a test site (`corpus/site.json`). A file
//! contains its expectations as comments:
//!
//! ```text
//! #: 0-2 match g8/a/os c16/ab/o     procs, verdict, suitable kinds: type/zones/ordinary, spot
//! #: 3 refused ~ some words         … and a part of the reason
//! #! 4:2 ~ some words               the parse error, at this location
//! #? some words                     a note
//! ```
//!
//! If a file has several lines for a proc, all of them must hold.

use indigopath_condor::{
    MatchResults, PathKind, Site, SiteFile, Submission, SubmitEnvironment, SubmitError, Verdict,
};
use libtest_mimic::{Arguments, Failed, Trial};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// Minimum number of files in the corpus.
const MIN_FILES: usize = 80;

fn corpus_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/corpus")
}

fn site() -> Site {
    let text = std::fs::read_to_string(corpus_dir().join("site.json")).expect("site.json");
    let file: SiteFile = serde_json::from_str(&text).expect("a site");
    Site::from(file)
}

/// The submit environment of the corpus directory.
struct CorpusEnvironment;

impl SubmitEnvironment for CorpusEnvironment {
    fn read_file(&self, path: &str) -> Result<String, String> {
        std::fs::read_to_string(corpus_dir().join(path)).map_err(|error| error.to_string())
    }

    fn matching_paths(&self, pattern: &str, path_kind: PathKind) -> Result<Vec<String>, String> {
        let (dir, name) = pattern.rsplit_once('/').unwrap_or(("", pattern));
        let (before, after) = name.split_once('*').ok_or("no pattern")?;
        let mut found = Vec::new();
        for entry in std::fs::read_dir(corpus_dir().join(dir)).map_err(|error| error.to_string())? {
            let entry = entry.map_err(|error| error.to_string())?;
            let name = entry.file_name().to_string_lossy().into_owned();
            let wanted = match path_kind {
                PathKind::Files => entry.path().is_file(),
                PathKind::Folders => entry.path().is_dir(),
                PathKind::Any => true,
            };
            if wanted && name.starts_with(before) && name.ends_with(after) {
                found.push(format!("{dir}/{name}"));
            }
        }
        found.sort();
        Ok(found)
    }

    fn env_var(&self, name: &str) -> Option<String> {
        (name == "SCAN_GPUS").then(|| "2".to_owned())
    }
}

/// Parses names of kinds such as `c16/ab/os`.
fn parse_kinds(words: &str, site: &Site) -> Result<BTreeSet<String>, String> {
    let mut found = BTreeSet::new();
    for word in words.split_whitespace() {
        let parts: Vec<&str> = word.split('/').collect();
        let (types, zones, spot) = match parts[..] {
            ["all", spot] => ("all", "ab", spot),
            [one, zones, spot] => (one, zones, spot),
            _ => return Err(format!("{word} names no kinds")),
        };
        let before = found.len();
        for kind in site.kinds.all() {
            let named = types == "all" || kind.machine_type == types;
            if named && zones.contains(&kind.zone) && spot.contains(if kind.spot { 's' } else { 'o' }) {
                found.insert(kind.to_string());
            }
        }
        if found.len() == before {
            return Err(format!("{word} names no kinds"));
        }
    }
    Ok(found)
}

fn parse_verdict(word: &str) -> Result<Verdict, String> {
    Ok(match word {
        "match" => Verdict::Match,
        "never" => Verdict::Never,
        "refused" => Verdict::Refused,
        "held" => Verdict::Held,
        other => return Err(format!("{other} is no verdict")),
    })
}

fn check(
    text: &str,
    read: Result<(Submission, MatchResults), SubmitError>,
    site: &Site,
) -> Result<(), String> {
    let unreadable = text.lines().find_map(|line| line.strip_prefix("#! "));
    let (submission, results) = match (read, unreadable) {
        (Ok(read), None) => read,
        (Ok(_), Some(expected)) => return Err(format!("it can be read, which {expected:?} denies")),
        (Err(error), None) => return Err(error.to_string()),
        (Err(error), Some(expected)) => {
            let (location, words) = expected.split_once(" ~ ").ok_or("no words after ~")?;
            let at = format!("{}:{}", error.location.line, error.location.column);
            return if at == location && error.problem.contains(words) {
                Ok(())
            } else {
                Err(format!("{error}, not {expected}"))
            };
        }
    };
    let notes = indigopath_condor::notes(&submission);
    for expected in text.lines().filter_map(|line| line.strip_prefix("#? ")) {
        if !notes.iter().any(|(_, note)| note.contains(expected)) {
            return Err(format!("no note says {expected:?}, but {notes:?}"));
        }
    }
    let mut expected: BTreeMap<usize, Vec<&str>> = BTreeMap::new();
    for line in text.lines().filter_map(|line| line.strip_prefix("#: ")) {
        let (procs, rest) = line.split_once(' ').ok_or("no verdict")?;
        let (first, last) = procs.split_once('-').unwrap_or((procs, procs));
        let number = |text: &str| text.parse::<usize>().map_err(|error| error.to_string());
        for proc in number(first)?..=number(last)? {
            expected.entry(proc).or_default().push(rest);
        }
    }
    if expected.is_empty() {
        return Err("nothing is expected".to_owned());
    }
    let outcomes: Vec<_> = results.procs().collect();
    if expected.keys().copied().ne(0..outcomes.len()) {
        return Err(format!("there are {} procs", outcomes.len()));
    }
    for (proc, lines) in expected {
        let outcome = outcomes[proc];
        let reason = outcome.reason.clone().unwrap_or_default();
        let found: BTreeSet<String> = site
            .kinds
            .in_set(&outcome.kinds)
            .map(ToString::to_string)
            .collect();
        for line in lines {
            let (expectation, words) = line.split_once(" ~ ").unwrap_or((line, ""));
            let (word, named) = expectation
                .trim()
                .split_once(' ')
                .unwrap_or((expectation.trim(), ""));
            if parse_verdict(word)? != outcome.verdict {
                return Err(format!(
                    "proc {proc} is {:?}: {reason}, not {word}",
                    outcome.verdict
                ));
            }
            if parse_kinds(named, site)? != found {
                return Err(format!("proc {proc} may use {found:?}, not {named}"));
            }
            if !reason.contains(words) {
                return Err(format!("proc {proc}: {reason:?} does not say {words:?}"));
            }
        }
    }
    Ok(())
}

fn main() {
    let arguments = Arguments::from_args();
    let mut trials = Vec::new();
    for entry in std::fs::read_dir(corpus_dir()).expect("the corpus") {
        let path = entry.expect("a file").path();
        if path.extension().is_none_or(|extension| extension != "sub") {
            continue;
        }
        let name = path
            .file_stem()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        trials.push(Trial::test(name, move || {
            let text = std::fs::read_to_string(&path).map_err(|error| Failed::from(error.to_string()))?;
            let file = path
                .file_name()
                .unwrap_or_default()
                .to_string_lossy()
                .into_owned();
            let site = site();
            let read = indigopath_condor::read(&text, &file, 1, 1_700_000_000, &CorpusEnvironment).map(
                |submission| {
                    let results = indigopath_condor::match_submission(&submission, 1, 1_700_000_000, &site);
                    (submission, results)
                },
            );
            check(&text, read, &site).map_err(Failed::from)
        }));
    }
    assert!(trials.len() >= MIN_FILES, "only {} files", trials.len());
    libtest_mimic::run(&arguments, trials).exit();
}
