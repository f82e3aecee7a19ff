//! `queue` statements: how many procs, and for which items.

use crate::source::PathKind;
use winnow::Parser;
use winnow::ascii::{Caseless, multispace0, multispace1};
use winnow::combinator::{alt, delimited, eof, opt, peek, preceded, separated, terminated};
use winnow::error::ContextError;
use winnow::token::{one_of, rest, take_until, take_while};

type Failed = ContextError;

/// A statement in parts; lists are still text.
#[derive(Debug, Clone, PartialEq)]
pub struct Queue<'t> {
    /// An expression; one proc an item if there is none.
    pub count: Option<&'t str>,
    /// Variables, `Item` if none is named.
    pub variables: Vec<&'t str>,
    pub source: Source<'t>,
}

/// Where items come from.
#[derive(Debug, Clone, PartialEq)]
pub enum Source<'t> {
    /// There are none: one row.
    None,
    In(Slice, &'t str),
    From(Slice, &'t str),
    Matching(Slice, PathKind, &'t str),
}

/// `[start:end:step]` of a list, as in Python.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Slice {
    start: Option<i64>,
    end: Option<i64>,
    step: Option<i64>,
}

impl Slice {
    /// What of a list is meant; `None` if the step is 0.
    pub fn of<T: Clone>(self, items: Vec<T>) -> Option<Vec<T>> {
        if self == Slice::default() {
            return Some(items);
        }
        let count = items.len() as i64;
        let step = self.step.unwrap_or(1);
        let within = |at: i64, least: i64, most: i64| {
            let at = if at < 0 { at.saturating_add(count) } else { at };
            at.clamp(least, most)
        };
        let mut taken = Vec::new();
        if step > 0 {
            let mut at = within(self.start.unwrap_or(0), 0, count);
            let end = within(self.end.unwrap_or(count), 0, count);
            while at < end {
                taken.extend(items.get(at as usize).cloned());
                at = at.saturating_add(step);
            }
        } else if step < 0 {
            let mut at = self.start.map_or(count - 1, |start| within(start, -1, count - 1));
            let end = self.end.map_or(-1, |end| within(end, -1, count - 1));
            while at > end {
                taken.extend(items.get(at as usize).cloned());
                at = at.saturating_add(step);
            }
        } else {
            return None;
        }
        Some(taken)
    }
}

/// Whether a line is a `queue` statement; what follows the word.
pub fn statement(line: &str) -> Option<&str> {
    let mut input = line;
    let word: Result<_, Failed> = Caseless("queue").parse_next(&mut input);
    let after = input.trim_start();
    // "queue = 3" and "queue_at" are something else.
    let ends = input.is_empty() || input.starts_with([' ', '\t', '(']);
    (word.is_ok() && ends && !after.starts_with('=')).then_some(input)
}

/// Reads what follows `queue`.
///
/// # Errors
/// The byte at which it is none, and why.
pub fn parse(text: &str) -> Result<Queue<'_>, (usize, String)> {
    let (before, source) = match keyword(text) {
        None => (text, Source::None),
        Some((before, word, after)) => {
            let mut input = after;
            let source = source(word, &mut input).map_err(|problem| (text.len() - input.len(), problem))?;
            (before, source)
        }
    };
    let mut input = before;
    let (count, variables) = match source {
        // An expression, to the end.
        Source::None => (Some(input.trim()).filter(|count| !count.is_empty()), Vec::new()),
        _ => {
            let parsed: Result<_, Failed> = (opt(count), names).parse_next(&mut input);
            parsed.map_err(|_| {
                (
                    before.len() - input.len(),
                    "this is no list of variables".to_owned(),
                )
            })?
        }
    };
    let source_named = source != Source::None;
    Ok(Queue {
        count,
        variables: if variables.is_empty() && source_named {
            vec!["Item"]
        } else {
            variables
        },
        source,
    })
}

/// The first `in`, `from` or `matching` that stands by itself, and what is around it.
fn keyword(text: &str) -> Option<(&str, &'static str, &str)> {
    let mut from = 0;
    for word in text.split([' ', '\t', ',', '(', ')']) {
        let at = from;
        from += word.len() + 1;
        for known in ["in", "from", "matching"] {
            if word.eq_ignore_ascii_case(known) {
                return Some((&text[..at], known, &text[at + word.len()..]));
            }
        }
    }
    None
}

/// A number, or an expression in brackets.
fn count<'t>(input: &mut &'t str) -> Result<&'t str, Failed> {
    let number = take_while(1.., |next: char| next.is_ascii_digit() || "+-*/".contains(next));
    let bracketed = ('(', take_until(0.., ")"), ')').take();
    terminated(
        preceded(multispace0, alt((number, bracketed))),
        alt((multispace1.void(), eof.void())),
    )
    .parse_next(input)
}

fn names<'t>(input: &mut &'t str) -> Result<Vec<&'t str>, Failed> {
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

fn source<'t>(word: &str, input: &mut &'t str) -> Result<Source<'t>, String> {
    let mut what = PathKind::Any;
    if word == "matching" {
        let named: Result<Option<PathKind>, Failed> = opt(preceded(
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
        // Without a word, files.
        what = named.ok().flatten().unwrap_or(PathKind::Files);
    }
    let slice = slice(input)?;
    let list: Result<&str, Failed> = preceded(multispace0, rest).parse_next(input);
    let list = list.unwrap_or_default().trim_end();
    if list.is_empty() {
        return Err(format!("nothing follows {word:?}"));
    }
    Ok(match word {
        "in" => Source::In(slice, list),
        "from" => Source::From(slice, list),
        _ => Source::Matching(slice, what, list),
    })
}

fn slice(input: &mut &str) -> Result<Slice, String> {
    let inside: Result<Option<&str>, Failed> =
        opt(delimited((multispace0, '['), take_until(0.., "]"), ']')).parse_next(input);
    let Ok(Some(inside)) = inside else {
        return Ok(Slice::default());
    };
    let bad = || format!("[{inside}] is no slice: one is [start:end:step]");
    let mut parts = Vec::new();
    for part in inside.split(':') {
        let part = part.trim();
        parts.push(match part {
            "" => None,
            number => Some(number.parse::<i64>().map_err(|_| bad())?),
        });
    }
    let slice = match parts[..] {
        // A single number is that item alone.
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
        _ => return Err(bad()),
    };
    Ok(slice)
}

/// The values of a statement's variables for an item: commas and blanks separate, and the last
/// variable takes all that is left.
pub fn split(item: &str, variables: usize) -> Vec<&str> {
    let item = item.trim();
    if item.contains('\u{1f}') {
        let mut parts: Vec<&str> = item.splitn(variables, '\u{1f}').map(str::trim).collect();
        parts.resize(variables, "");
        return parts;
    }
    let mut parts = Vec::with_capacity(variables);
    let mut left = item;
    while parts.len() + 1 < variables {
        let end = left.find([',', ' ', '\t']).unwrap_or(left.len());
        parts.push(&left[..end]);
        left = left[end..].trim_start();
        left = left.strip_prefix(',').unwrap_or(left).trim_start();
    }
    parts.push(left);
    parts
}

#[cfg(test)]
mod tests;
