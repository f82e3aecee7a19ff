//! Parses `queue` statements: how many procs to create, and for which items.

use crate::source::PathKind;
use winnow::Parser;
use winnow::ascii::{Caseless, multispace0, multispace1};
use winnow::combinator::{alt, delimited, eof, opt, peek, preceded, separated, terminated};
use winnow::error::ContextError;
use winnow::token::{one_of, rest, take_until, take_while};

type ParseError = ContextError;

/// A parsed statement, with its lists still as text.
#[derive(Debug, Clone, PartialEq)]
pub struct Queue<'t> {
    /// Expression for the number of procs per item; 1 if absent.
    pub count: Option<&'t str>,
    /// Names of the variables; `Item` if none is given.
    pub variables: Vec<&'t str>,
    pub source: Source<'t>,
}

/// Where the items come from.
#[derive(Debug, Clone, PartialEq)]
pub enum Source<'t> {
    /// No items: a single row.
    None,
    In(Slice, &'t str),
    From(Slice, &'t str),
    Matching(Slice, PathKind, &'t str),
}

/// A slice `[start:end:step]` of a list, as in Python.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Slice {
    start: Option<i64>,
    end: Option<i64>,
    step: Option<i64>,
}

impl Slice {
    /// Returns the selected part of a list; `None` if the step is 0.
    pub fn select<T: Clone>(self, items: Vec<T>) -> Option<Vec<T>> {
        if self == Slice::default() {
            return Some(items);
        }
        let count = items.len() as i64;
        let step = self.step.unwrap_or(1);
        let clamp_index = |index: i64, min: i64, max: i64| {
            let index = if index < 0 {
                index.saturating_add(count)
            } else {
                index
            };
            index.clamp(min, max)
        };
        let mut selected = Vec::new();
        if step > 0 {
            let mut index = clamp_index(self.start.unwrap_or(0), 0, count);
            let end = clamp_index(self.end.unwrap_or(count), 0, count);
            while index < end {
                selected.extend(items.get(index as usize).cloned());
                index = index.saturating_add(step);
            }
        } else if step < 0 {
            let mut index = self
                .start
                .map_or(count - 1, |start| clamp_index(start, -1, count - 1));
            let end = self.end.map_or(-1, |end| clamp_index(end, -1, count - 1));
            while index > end {
                selected.extend(items.get(index as usize).cloned());
                index = index.saturating_add(step);
            }
        } else {
            return None;
        }
        Some(selected)
    }
}

/// Returns what follows the keyword if a line is a `queue` statement.
pub fn statement(line: &str) -> Option<&str> {
    let mut input = line;
    let keyword: Result<_, ParseError> = Caseless("queue").parse_next(&mut input);
    let after = input.trim_start();
    // "queue = 3" is an assignment, and "queue_at" another name.
    let ends = input.is_empty() || input.starts_with([' ', '\t', '(']);
    (keyword.is_ok() && ends && !after.starts_with('=')).then_some(input)
}

/// Parses what follows `queue`.
///
/// # Errors
/// Returns the byte offset of the error, and a description.
pub fn parse(text: &str) -> Result<Queue<'_>, (usize, String)> {
    let (before, source) = match find_keyword(text) {
        None => (text, Source::None),
        Some((before, keyword, after)) => {
            let mut input = after;
            let source =
                parse_source(keyword, &mut input).map_err(|problem| (text.len() - input.len(), problem))?;
            (before, source)
        }
    };
    let mut input = before;
    let (count, variables) = match source {
        // Everything up to the end is the count.
        Source::None => (Some(input.trim()).filter(|count| !count.is_empty()), Vec::new()),
        _ => {
            let parsed: Result<_, ParseError> = (opt(parse_count), parse_names).parse_next(&mut input);
            parsed.map_err(|_| {
                (
                    before.len() - input.len(),
                    "this is no list of variables".to_owned(),
                )
            })?
        }
    };
    let has_source = source != Source::None;
    Ok(Queue {
        count,
        variables: if variables.is_empty() && has_source {
            vec!["Item"]
        } else {
            variables
        },
        source,
    })
}

/// Finds the first `in`, `from` or `matching` that is a word of its own, and the text before and
/// after it.
fn find_keyword(text: &str) -> Option<(&str, &'static str, &str)> {
    let mut offset = 0;
    for word in text.split([' ', '\t', ',', '(', ')']) {
        let start = offset;
        offset += word.len() + 1;
        for known in ["in", "from", "matching"] {
            if word.eq_ignore_ascii_case(known) {
                return Some((&text[..start], known, &text[start + word.len()..]));
            }
        }
    }
    None
}

/// Parses a number, or an expression in parentheses.
fn parse_count<'t>(input: &mut &'t str) -> Result<&'t str, ParseError> {
    let number = take_while(1.., |next: char| next.is_ascii_digit() || "+-*/".contains(next));
    let bracketed = ('(', take_until(0.., ")"), ')').take();
    terminated(
        preceded(multispace0, alt((number, bracketed))),
        alt((multispace1.void(), eof.void())),
    )
    .parse_next(input)
}

fn parse_names<'t>(input: &mut &'t str) -> Result<Vec<&'t str>, ParseError> {
    let name = (
        one_of(|next: char| next.is_ascii_alphabetic() || next == '_'),
        take_while(0.., |next: char| {
            next.is_ascii_alphanumeric() || "_.".contains(next)
        }),
    )
        .take();
    let separator = alt((
        delimited(multispace0, ',', multispace0).void(),
        multispace1.void(),
    ));
    delimited(
        multispace0,
        separated(
            0..,
            name,
            (
                separator,
                peek(one_of(|next: char| next.is_ascii_alphabetic() || next == '_')),
            ),
        ),
        (multispace0, eof),
    )
    .parse_next(input)
}

fn parse_source<'t>(keyword: &str, input: &mut &'t str) -> Result<Source<'t>, String> {
    let mut path_kind = PathKind::Any;
    if keyword == "matching" {
        let parsed: Result<Option<PathKind>, ParseError> = opt(preceded(
            multispace1,
            terminated(
                alt((
                    Caseless("files").value(PathKind::Files),
                    Caseless("dirs").value(PathKind::Folders),
                    Caseless("any").value(PathKind::Any),
                )),
                peek(one_of([' ', '\t', '(', '['])),
            ),
        ))
        .parse_next(input);
        // Without a word, only files match.
        path_kind = parsed.ok().flatten().unwrap_or(PathKind::Files);
    }
    let slice = parse_slice(input)?;
    let list: Result<&str, ParseError> = preceded(multispace0, rest).parse_next(input);
    let list = list.unwrap_or_default().trim_end();
    if list.is_empty() {
        return Err(format!("nothing follows {keyword:?}"));
    }
    Ok(match keyword {
        "in" => Source::In(slice, list),
        "from" => Source::From(slice, list),
        _ => Source::Matching(slice, path_kind, list),
    })
}

fn parse_slice(input: &mut &str) -> Result<Slice, String> {
    let inside: Result<Option<&str>, ParseError> =
        opt(delimited((multispace0, '['), take_until(0.., "]"), ']')).parse_next(input);
    let Ok(Some(inside)) = inside else {
        return Ok(Slice::default());
    };
    let invalid = || format!("[{inside}] is no slice: one is [start:end:step]");
    let mut parts = Vec::new();
    for part in inside.split(':') {
        let part = part.trim();
        parts.push(match part {
            "" => None,
            number => Some(number.parse::<i64>().map_err(|_| invalid())?),
        });
    }
    let slice = match parts[..] {
        // A single number selects one item.
        [Some(only)] => Slice {
            start: Some(only),
            end: if only == -1 { None } else { Some(only + 1) },
            step: None,
        },
        [start, end] => Slice {
            start,
            end,
            step: None,
        },
        [start, end, step] if step != Some(0) => Slice { start, end, step },
        _ => return Err(invalid()),
    };
    Ok(slice)
}

/// Splits an item into the values of a statement's variables. Commas and blanks separate values,
/// and the last variable takes the rest.
pub fn split_item(item: &str, variables: usize) -> Vec<&str> {
    let item = item.trim();
    if item.contains('\u{1f}') {
        let mut parts: Vec<&str> = item.splitn(variables, '\u{1f}').map(str::trim).collect();
        parts.resize(variables, "");
        return parts;
    }
    let mut parts = Vec::with_capacity(variables);
    let mut rest_of_item = item;
    while parts.len() + 1 < variables {
        let end = rest_of_item.find([',', ' ', '\t']).unwrap_or(rest_of_item.len());
        parts.push(&rest_of_item[..end]);
        rest_of_item = rest_of_item[end..].trim_start();
        rest_of_item = rest_of_item
            .strip_prefix(',')
            .unwrap_or(rest_of_item)
            .trim_start();
    }
    parts.push(rest_of_item);
    parts
}

#[cfg(test)]
mod tests;
