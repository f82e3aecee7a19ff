//! Attribute names: compared without regard to case, displayed as written.

use crate::constants::MAX_SUGGESTIONS;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// A name as written, together with its lower-case form, which is used for lookups.
#[derive(Debug, Clone)]
pub struct Name {
    text: Arc<str>,
    key: Arc<str>,
}

impl Name {
    pub fn new(text: &str) -> Name {
        let text: Arc<str> = Arc::from(text);
        let key = if text.bytes().any(|byte| byte.is_ascii_uppercase()) {
            Arc::from(text.to_ascii_lowercase())
        } else {
            text.clone()
        };
        Name { text, key }
    }

    /// The name as written.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The name in lower case.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// The name in lower case, as a shared string.
    pub fn shared_key(&self) -> Arc<str> {
        self.key.clone()
    }

    /// Whether the name can be written in an expression without quotes.
    pub(crate) fn is_plain(&self) -> bool {
        let mut bytes = self.key.bytes();
        bytes
            .next()
            .is_some_and(|first| first.is_ascii_alphabetic() || first == b'_')
            && bytes.all(|byte| byte.is_ascii_alphanumeric() || byte == b'_')
            && !RESERVED_WORDS.contains(&&*self.key)
    }
}

/// Keywords, which are not valid as unquoted names.
pub(crate) const RESERVED_WORDS: [&str; 8] = [
    "true",
    "false",
    "undefined",
    "error",
    "is",
    "isnt",
    "my",
    "target",
];

impl PartialEq for Name {
    fn eq(&self, other: &Name) -> bool {
        self.key == other.key
    }
}

impl Eq for Name {}

impl Hash for Name {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key.hash(state);
    }
}

impl PartialOrd for Name {
    fn partial_cmp(&self, other: &Name) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Name {
    fn cmp(&self, other: &Name) -> std::cmp::Ordering {
        self.key.cmp(&other.key)
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

/// The known names most similar to `name`, closest first; dissimilar names are left out.
///
/// If one contains the other (both of 3 characters or more), the distance is 1; the distance must
/// not exceed half the length of the longer name.
pub fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let name = name.to_ascii_lowercase();
    let mut matches: Vec<(usize, &str)> = known
        .into_iter()
        .filter_map(|known| {
            let key = known.to_ascii_lowercase();
            let contained = name.len() >= 3 && key.len() >= 3 && (key.contains(&name) || name.contains(&key));
            let distance = if contained {
                1
            } else {
                strsim::osa_distance(&name, &key)
            };
            (distance <= name.len().max(key.len()) / 2).then_some((distance, known))
        })
        .collect();
    matches.sort();
    matches.dedup();
    matches
        .into_iter()
        .map(|(_, known)| known)
        .take(MAX_SUGGESTIONS)
        .collect()
}
