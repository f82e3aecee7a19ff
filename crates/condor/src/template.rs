//! Values with macros in them: `$(name:default)`, `$INT(name)` and their kin.

use crate::constants::MAX_NESTING_DEPTH;
use std::sync::Arc;
use winnow::Parser;
use winnow::combinator::{alt, opt};
use winnow::error::{ContextError, ErrMode};
use winnow::stream::{LocatingSlice, Location};
use winnow::token::{any, take_while};

/// A part of a value.
#[derive(Debug, Clone, PartialEq)]
pub enum Piece {
    Text(Arc<str>),
    /// `$(name)` or `$(name:default)`, with the lower-case name.
    Macro {
        name: Arc<str>,
        default: Option<Template>,
        at: usize,
    },
    /// `$(a$(b))`: the name has to be expanded first.
    Computed {
        name: Template,
        at: usize,
    },
    /// `$INT(…)`: the function's name in capitals, and what stands between the brackets.
    Function {
        name: Arc<str>,
        argument: Template,
        at: usize,
    },
    /// `$$(…)`: what a machine would fill in.
    OfMachine {
        at: usize,
    },
}

/// A value in parts.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Template {
    pub pieces: Arc<[Piece]>,
}

impl Template {
    /// The text, if it has no macros.
    pub fn plain(&self) -> Option<&str> {
        match &*self.pieces {
            [] => Some(""),
            [Piece::Text(text)] => Some(text),
            _ => None,
        }
    }
}

type Input<'t> = LocatingSlice<&'t str>;
type Failed = ErrMode<ContextError>;

/// Reads a value.
///
/// # Errors
/// The byte at which a macro begins that does not end, or is nested too deeply.
pub fn parse(text: &str) -> Result<Template, usize> {
    let mut input = LocatingSlice::new(text);
    let mut unfinished = None;
    pieces(&mut input, "", 0, &mut unfinished)
        .map_err(|_| unfinished.unwrap_or_else(|| text.len().saturating_sub(input.len())))
}

/// Pieces up to the end, or up to one of the letters in `until`, which is not taken.
fn pieces(
    input: &mut Input<'_>,
    until: &str,
    depth: usize,
    unfinished: &mut Option<usize>,
) -> Result<Template, Failed> {
    if depth > MAX_NESTING_DEPTH {
        unfinished.get_or_insert(input.current_token_start());
        return Err(ErrMode::Cut(ContextError::new()));
    }
    let mut pieces: Vec<Piece> = Vec::new();
    let mut text = String::new();
    // Brackets that open in the text close in it.
    let mut open = 0usize;
    loop {
        let plain: &str = take_while(0.., |next: char| {
            next != '$' && next != '(' && !until.contains(next)
        })
        .parse_next(input)?;
        text.push_str(plain);
        if input.is_empty() {
            break;
        }
        let at = input.current_token_start();
        if input.starts_with('$') {
            match special(input, at, depth, unfinished)? {
                Some(piece) => {
                    if !text.is_empty() {
                        pieces.push(Piece::Text(Arc::from(std::mem::take(&mut text))));
                    }
                    pieces.push(piece);
                }
                None => text.push(any.parse_next(input)?),
            }
            continue;
        }
        let next: char = input.chars().next().unwrap_or_default();
        if next == '(' {
            open += usize::from(until.contains(')'));
        } else if open == 0 {
            break;
        } else if next == ')' {
            open -= 1;
        }
        text.push(any.parse_next(input)?);
    }
    if !text.is_empty() {
        pieces.push(Piece::Text(Arc::from(text)));
    }
    Ok(Template {
        pieces: Arc::from(pieces),
    })
}

/// What begins with a dollar sign; `None` if it is just one.
fn special(
    input: &mut Input<'_>,
    at: usize,
    depth: usize,
    unfinished: &mut Option<usize>,
) -> Result<Option<Piece>, Failed> {
    let begin: Option<&str> = opt(alt(("$$(", "$("))).parse_next(input)?;
    match begin {
        Some("$$(") => {
            pieces(input, ")", depth + 1, unfinished)?;
            close(input, at, unfinished)?;
            Ok(Some(Piece::OfMachine { at }))
        }
        Some(_) => {
            let name = pieces(input, ":)", depth + 1, unfinished)?;
            let colon: Option<&str> = opt(":").parse_next(input)?;
            let default = match colon {
                Some(_) => Some(pieces(input, ")", depth + 1, unfinished)?),
                None => None,
            };
            close(input, at, unfinished)?;
            Ok(Some(match name.plain() {
                Some(name) => Piece::Macro {
                    name: Arc::from(name.trim().to_ascii_lowercase()),
                    default,
                    at,
                },
                None => Piece::Computed { name, at },
            }))
        }
        None => {
            let name: Option<(char, &str, char)> = opt((
                '$',
                take_while(1.., |next: char| next.is_ascii_alphabetic() || next == '_'),
                '(',
            ))
            .parse_next(input)?;
            let Some((_, name, _)) = name else {
                return Ok(None);
            };
            let argument = pieces(input, ")", depth + 1, unfinished)?;
            close(input, at, unfinished)?;
            // The letters after F say which parts of a path are meant, and keep their case.
            let name = if is_path_function(name) {
                name.to_owned()
            } else {
                name.to_ascii_uppercase()
            };
            Ok(Some(Piece::Function {
                name: Arc::from(name),
                argument,
                at,
            }))
        }
    }
}

/// `F` and letters of parts of a path.
pub fn is_path_function(name: &str) -> bool {
    name.strip_prefix(['F', 'f'])
        .is_some_and(|parts| parts.chars().all(|part| "fpdnxquwba".contains(part)))
}

fn close(input: &mut Input<'_>, at: usize, unfinished: &mut Option<usize>) -> Result<(), Failed> {
    let closed: Option<char> = opt(')').parse_next(input)?;
    if closed.is_none() {
        unfinished.get_or_insert(at);
        return Err(ErrMode::Cut(ContextError::new()));
    }
    Ok(())
}

#[cfg(test)]
mod tests;
