//! Submit files with what becomes of their procs, against stand-in machine types
//! (`corpus/site.json`). In a file,
//!
//! ```text
//! #: 0-2 match g8/a/os c16/ab/o     procs, their verdict, the kinds that do: type/zones/ordinary, spot
//! #: 3 refused ~ some words         … and what the reason says
//! #! 4:2 ~ some words               the file cannot be read, from there on
//! #? some words                     a note
//! ```
//!
//! A file that expects several lines of a proc expects all of them.

use indigopath_condor::{
    MatchResults, PathKind, Site, SiteFile, Submission, SubmitEnvironment, SubmitError, Verdict,
};
use libtest_mimic::{Arguments, Failed, Trial};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// Fewest files that this is about.
const LEAST: usize = 80;

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/corpus")
}

fn site() -> Site {
    let text = std::fs::read_to_string(folder().join("site.json")).expect("site.json");
    let file: SiteFile = serde_json::from_str(&text).expect("a site");
    Site::from(file)
}

/// The files beside the corpus.
struct Corpus;

impl SubmitEnvironment for Corpus {
    fn read_file(&self, path: &str) -> Result<String, String> {
        std::fs::read_to_string(folder().join(path)).map_err(|error| error.to_string())
    }

    fn matching_paths(&self, pattern: &str, what: PathKind) -> Result<Vec<String>, String> {
        let (inside, name) = pattern.rsplit_once('/').unwrap_or(("", pattern));
        let (before, after) = name.split_once('*').ok_or("no pattern")?;
        let mut found = Vec::new();
        for entry in std::fs::read_dir(folder().join(inside)).map_err(|error| error.to_string())? {
            let entry = entry.map_err(|error| error.to_string())?;
            let name = entry.file_name().to_string_lossy().into_owned();
            let wanted = match what {
                PathKind::Files => entry.path().is_file(),
                PathKind::Folders => entry.path().is_dir(),
                PathKind::Any => true,
            };
            if wanted && name.starts_with(before) && name.ends_with(after) {
                found.push(format!("{inside}/{name}"));
            }
        }
        found.sort();
        Ok(found)
    }

    fn env_var(&self, name: &str) -> Option<String> {
        (name == "SCAN_GPUS").then(|| "2".to_owned())
    }
}

/// `c16/ab/os` and the like, as kinds.
fn kinds(words: &str, site: &Site) -> Result<BTreeSet<String>, String> {
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

fn verdict(word: &str) -> Result<Verdict, String> {
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
    let (submission, judged) = match (read, unreadable) {
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
    let outcomes: Vec<_> = judged.procs().collect();
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
            let (what, words) = line.split_once(" ~ ").unwrap_or((line, ""));
            let (word, named) = what.trim().split_once(' ').unwrap_or((what.trim(), ""));
            if verdict(word)? != outcome.verdict {
                return Err(format!(
                    "proc {proc} is {:?}: {reason}, not {word}",
                    outcome.verdict
                ));
            }
            if kinds(named, site)? != found {
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
    for entry in std::fs::read_dir(folder()).expect("the corpus") {
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
            let read = indigopath_condor::read(&text, &file, 1, 1_700_000_000, &Corpus).map(|submission| {
                let judged = indigopath_condor::match_submission(&submission, 1, 1_700_000_000, &site);
                (submission, judged)
            });
            check(&text, read, &site).map_err(Failed::from)
        }));
    }
    assert!(trials.len() >= LEAST, "only {} files", trials.len());
    libtest_mimic::run(&arguments, trials).exit();
}
