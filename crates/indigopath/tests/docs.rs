//! Checks that the files, packages, functions, programs and tests named in the documentation exist.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

const PAGES: [&str; 3] = ["README.md", "docs/ARCHITECTURE.md", "docs/GLOSSARY.md"];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &str) -> String {
    std::fs::read_to_string(root().join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// Appends all files below a folder to `found`.
fn files(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files(&path, found);
        } else {
            found.push(path);
        }
    }
}

fn sources() -> Vec<PathBuf> {
    let mut found = Vec::new();
    files(&root().join("crates"), &mut found);
    found.retain(|path| path.extension().is_some_and(|extension| extension == "rs"));
    assert!(!found.is_empty());
    found
}

/// Returns the code spans of a text.
fn code_spans(text: &str) -> impl Iterator<Item = &str> {
    text.split('`').skip(1).step_by(2)
}

/// Returns all words in the sources, including the names of functions, types, constants and variants.
fn source_words() -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for path in sources() {
        let text = std::fs::read_to_string(path).unwrap();
        for word in text.split(|letter: char| !letter.is_alphanumeric() && letter != '_') {
            if !word.is_empty() && !names.contains(word) {
                names.insert(word.to_owned());
            }
        }
    }
    names
}

/// Returns the names of all functions defined in the sources.
fn function_names() -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for path in sources() {
        let text = std::fs::read_to_string(path).unwrap();
        for rest in text.split("fn ").skip(1) {
            let end = rest.find(|letter: char| !letter.is_alphanumeric() && letter != '_');
            names.insert(rest[..end.unwrap_or(rest.len())].to_owned());
        }
    }
    names
}

#[test]
fn links_resolve() {
    let mut pages: Vec<String> = PAGES.map(str::to_owned).to_vec();
    let mut docs = Vec::new();
    files(&root().join("docs"), &mut docs);
    let docs = docs
        .iter()
        .filter(|path| path.extension().is_some_and(|extension| extension == "md"));
    pages.extend(docs.map(|path| path.strip_prefix(root()).unwrap().display().to_string()));
    let mut broken = Vec::new();
    for page in &pages {
        let folder = root().join(page).parent().unwrap().to_owned();
        for rest in read(page).split("](").skip(1) {
            let link = rest.split(')').next().unwrap_or("");
            let file = link.split('#').next().unwrap_or("");
            if !file.is_empty() && !file.contains("://") && !folder.join(file).exists() {
                broken.push(format!("{page}: {link}"));
            }
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn paths_exist() {
    let mut missing = Vec::new();
    for page in PAGES {
        let text = read(page);
        for path in code_spans(&text).filter(|path| path.starts_with("crates/") && !path.contains(' ')) {
            // A pattern such as `*.txt` stands for the files of a folder.
            let file = path.split_once('*').map_or(path, |(folder, _)| folder);
            if !root().join(file.trim_end_matches('/')).exists() {
                missing.push(format!("{page}: {path}"));
            }
        }
    }
    assert!(missing.is_empty(), "{missing:#?}");
}

#[test]
fn functions_and_types_in_the_architecture_exist() {
    let function_names = function_names();
    let source_words = source_words();
    let text = read("docs/ARCHITECTURE.md");
    let mut missing = Vec::new();
    for name in code_spans(&text).filter(|name| name.ends_with("()")) {
        let function = name.trim_end_matches("()").rsplit("::").next().unwrap();
        if !function_names.contains(function) {
            missing.push(name.to_owned());
        }
    }
    for name in code_spans(&text).filter(|name| name.starts_with(char::is_uppercase) && !name.contains(' ')) {
        for part in name.trim_end_matches("()").split("::") {
            if !source_words.contains(part) {
                missing.push(name.to_owned());
            }
        }
    }
    assert!(missing.is_empty(), "{missing:#?}");
}

#[test]
fn targets_in_commands_exist() {
    let text = read("README.md");
    let manifests: Vec<String> = std::fs::read_dir(root().join("crates"))
        .unwrap()
        .map(|entry| std::fs::read_to_string(entry.unwrap().path().join("Cargo.toml")).unwrap())
        .collect();
    let mut paths = Vec::new();
    files(&root().join("crates"), &mut paths);
    let stems: BTreeSet<String> = paths
        .iter()
        .filter_map(|path| Some(path.file_stem()?.to_str()?.to_owned()))
        .collect();
    let words: Vec<&str> = text.split_whitespace().collect();
    let mut missing = Vec::new();
    for pair in words.windows(2) {
        let target = pair[1].trim_matches(|letter: char| !letter.is_alphanumeric());
        let is_declared = |line: &str| manifests.iter().any(|manifest| manifest.contains(line));
        let exists = match pair[0].trim_matches('`') {
            "-p" => is_declared(&format!("name = \"{target}\"")),
            "--bin" => is_declared(&format!("name = \"{target}\"")) || stems.contains(target),
            "--test" | "--example" => stems.contains(target),
            _ => true,
        };
        if !exists {
            missing.push(format!("{} {}", pair[0], pair[1]));
        }
    }
    assert!(missing.is_empty(), "{missing:#?}");
}
