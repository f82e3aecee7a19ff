//! Source text with locations, and the access of submit files to the submitting host.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;
use thiserror::Error;

/// A location in a source file. Lines and columns count from 1.
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

/// An error in the text of a submit file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{location}: {problem}")]
pub struct SubmitError {
    pub location: SourceLocation,
    pub problem: String,
}

/// What a submit file may read from the host on which it is submitted.
pub trait SubmitEnvironment {
    /// Returns the contents of a file.
    ///
    /// # Errors
    /// Why the file cannot be read.
    fn read_file(&self, path: &str) -> Result<String, String>;

    /// Returns the paths that match a pattern, in order.
    ///
    /// # Errors
    /// The pattern is invalid, or a directory cannot be read.
    fn matching_paths(&self, pattern: &str, what: PathKind) -> Result<Vec<String>, String>;

    /// Returns a variable of the submitter's environment.
    fn env_var(&self, name: &str) -> Option<String>;
}

/// The kinds of paths that `queue … matching` finds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PathKind {
    Files,
    Folders,
    Any,
}

/// A line joined with its continuation lines, and the locations of its parts.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    pub text: String,
    parts: Arc<[(usize, u32, u32)]>,
    file: Arc<str>,
}

impl Line {
    /// Returns the line of definitions that no file contains.
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

    /// Returns the location of a byte of the text.
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
        let chars = self.text.get(from..end).map_or(0, |text| text.chars().count());
        SourceLocation {
            file: self.file.clone(),
            line,
            column: column + chars as u32,
        }
    }

    pub fn error(&self, byte: usize, problem: impl Into<String>) -> SubmitError {
        SubmitError {
            location: self.location(byte),
            problem: problem.into(),
        }
    }
}

/// The lines of a file. Continuation lines are joined, unless a statement reads the lines that
/// follow it one by one.
pub struct Lines<'t> {
    remaining: std::iter::Enumerate<std::str::Lines<'t>>,
    file: Arc<str>,
}

impl<'t> Lines<'t> {
    pub fn new(text: &'t str, file: Arc<str>) -> Lines<'t> {
        Lines {
            remaining: text.lines().enumerate(),
            file,
        }
    }

    /// Returns the next line unchanged.
    pub fn raw(&mut self) -> Option<&'t str> {
        self.remaining.next().map(|(_, text)| text)
    }
}

impl Iterator for Lines<'_> {
    type Item = Line;

    fn next(&mut self) -> Option<Line> {
        let mut text = String::new();
        let mut parts = Vec::new();
        loop {
            let Some((number, line)) = self.remaining.next() else {
                if parts.is_empty() {
                    return None;
                }
                break;
            };
            let trimmed = line.trim_start();
            // Comments between continuation lines are skipped.
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
