//! Text with its places, and where a file's other files come from.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;
use thiserror::Error;

/// Where something stands, counted from 1.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceLocation {
    pub file: Arc<str>,
    pub line: u32,
    pub column: u32,
}

impl fmt::Display for SourceLocation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// A text that cannot be read as submit language.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{location}: {problem}")]
pub struct SubmitError {
    pub location: SourceLocation,
    pub problem: String,
}

/// What a submit file may ask of the place from which it is submitted.
pub trait SubmitEnvironment {
    /// The text of a file.
    ///
    /// # Errors
    /// Why it cannot be had.
    fn read_file(&self, path: &str) -> Result<String, String>;

    /// Paths that match a pattern, in their order.
    ///
    /// # Errors
    /// The pattern is none, or a folder cannot be read.
    fn matching_paths(&self, pattern: &str, what: PathKind) -> Result<Vec<String>, String>;

    /// A variable of the submitter's environment.
    fn env_var(&self, name: &str) -> Option<String>;
}

/// What `queue … matching` looks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PathKind {
    Files,
    Folders,
    Any,
}

/// A line with its continuations joined, and where its parts stood.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    pub text: String,
    parts: Arc<[(usize, u32, u32)]>,
    file: Arc<str>,
}

impl Line {
    /// Of what no file defines.
    pub(crate) fn built_in() -> Line {
        Line {
            text: String::new(),
            parts: Arc::from([]),
            file: Arc::from(""),
        }
    }

    pub(crate) fn is_built_in(&self) -> bool {
        self.parts.is_empty()
    }

    /// Where a byte of the text stood.
    pub fn location(&self, byte: usize) -> SourceLocation {
        let (from, line, column) = self
            .parts
            .iter()
            .rev()
            .find(|(from, ..)| *from <= byte)
            .copied()
            .unwrap_or((0, 1, 1));
        let mut end = byte.min(self.text.len());
        while !self.text.is_char_boundary(end) {
            end -= 1;
        }
        let letters = self.text.get(from..end).map_or(0, |text| text.chars().count());
        SourceLocation {
            file: self.file.clone(),
            line,
            column: column + letters as u32,
        }
    }

    pub fn error(&self, byte: usize, problem: impl Into<String>) -> SubmitError {
        SubmitError {
            location: self.location(byte),
            problem: problem.into(),
        }
    }
}

/// Lines of a file. Continuations are joined, unless a statement reads the lines that follow
/// it one by one.
pub struct Lines<'t> {
    rest: std::iter::Enumerate<std::str::Lines<'t>>,
    file: Arc<str>,
}

impl<'t> Lines<'t> {
    pub fn new(text: &'t str, file: Arc<str>) -> Lines<'t> {
        Lines {
            rest: text.lines().enumerate(),
            file,
        }
    }

    /// The next line as it stands.
    pub fn raw(&mut self) -> Option<&'t str> {
        self.rest.next().map(|(_, text)| text)
    }
}

impl Iterator for Lines<'_> {
    type Item = Line;

    fn next(&mut self) -> Option<Line> {
        let mut text = String::new();
        let mut parts = Vec::new();
        loop {
            let Some((number, line)) = self.rest.next() else {
                if parts.is_empty() {
                    return None;
                }
                break;
            };
            let trimmed = line.trim_start();
            // A comment between continued lines is none of them.
            if !parts.is_empty() && trimmed.starts_with('#') {
                continue;
            }
            let indent = line[..line.len() - trimmed.len()].chars().count();
            parts.push((text.len(), number as u32 + 1, indent as u32 + 1));
            let comment = parts.len() == 1 && trimmed.starts_with('#');
            match trimmed.trim_end().strip_suffix('\\') {
                Some(joined) if !comment => text.push_str(joined),
                _ => {
                    text.push_str(trimmed.trim_end());
                    break;
                }
            }
        }
        Some(Line {
            text,
            parts: Arc::from(parts),
            file: self.file.clone(),
        })
    }
}

#[cfg(test)]
mod tests;
