//! Parses values that contain macros: `$(name:default)`, `$INT(name)` and similar.

use crate::constants::MAX_NESTING_DEPTH;
use std::sync::Arc;
use winnow::Parser;
use winnow::combinator::{alt, opt};
use winnow::error::{ContextError, ErrMode};
use winnow::stream::{LocatingSlice, Location};
use winnow::token::{any, take_while};

/// One piece of a value.
#[derive(Debug, Clone, PartialEq)]
pub enum Piece {
    Text(Arc<str>),
    /// `$(name)` or `$(name:default)`, with the name in lower case.
    Macro {
        name: Arc<str>,
        default: Option<Template>,
        offset: usize,
    },
    /// `$(a$(b))`: the name contains macros itself and is expanded first.
    ComputedName {
        name: Template,
        offset: usize,
    },
    /// `$INT(…)`: the function's name in upper case, and the text between the parentheses.
    Function {
        name: Arc<str>,
        argument: Template,
        offset: usize,
    },
    /// `$$(…)`: a macro that HTCondor expands from the matched machine.
    MachineMacro {
        offset: usize,
    },
}

/// A parsed value.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Template {
    pub pieces: Arc<[Piece]>,
}

impl Template {
    /// Returns the text if the value contains no macros.
    pub fn as_literal(&self) -> Option<&str> {
        match &*self.pieces {
            [] => Some(""),
            [Piece::Text(text)] => Some(text),
            _ => None,
        }
    }
}

type Input<'t> = LocatingSlice<&'t str>;
type ParseError = ErrMode<ContextError>;

/// Parses a value.
///
/// # Errors
/// Returns the byte offset of a macro that is unterminated or nested too deeply.
pub fn parse(text: &str) -> Result<Template, usize> {
    let mut input = LocatingSlice::new(text);
    let mut error_offset = None;
    parse_pieces(&mut input, "", 0, &mut error_offset)
        .map_err(|_| error_offset.unwrap_or_else(|| text.len().saturating_sub(input.len())))
}

/// Parses pieces up to the end, or up to one of the characters in `until`, which is not consumed.
fn parse_pieces(
    input: &mut Input<'_>,
    until: &str,
    depth: usize,
    error_offset: &mut Option<usize>,
) -> Result<Template, ParseError> {
    if depth > MAX_NESTING_DEPTH {
        error_offset.get_or_insert(input.current_token_start());
        return Err(ErrMode::Cut(ContextError::new()));
    }
    let mut pieces: Vec<Piece> = Vec::new();
    let mut text = String::new();
    // Parentheses that are open in the text itself.
    let mut open_parentheses = 0usize;
    loop {
        let literal: &str = take_while(0.., |next: char| {
            next != '$' && next != '(' && !until.contains(next)
        })
        .parse_next(input)?;
        text.push_str(literal);
        if input.is_empty() {
            break;
        }
        let offset = input.current_token_start();
        if input.starts_with('$') {
            match parse_macro(input, offset, depth, error_offset)? {
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
            open_parentheses += usize::from(until.contains(')'));
        } else if open_parentheses == 0 {
            break;
        } else if next == ')' {
            open_parentheses -= 1;
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

/// Parses what begins with a dollar sign; returns `None` if it is a plain one.
fn parse_macro(
    input: &mut Input<'_>,
    offset: usize,
    depth: usize,
    error_offset: &mut Option<usize>,
) -> Result<Option<Piece>, ParseError> {
    let begin: Option<&str> = opt(alt(("$$(", "$("))).parse_next(input)?;
    match begin {
        Some("$$(") => {
            parse_pieces(input, ")", depth + 1, error_offset)?;
            expect_close(input, offset, error_offset)?;
            Ok(Some(Piece::MachineMacro { offset }))
        }
        Some(_) => {
            let name = parse_pieces(input, ":)", depth + 1, error_offset)?;
            let colon: Option<&str> = opt(":").parse_next(input)?;
            let default = match colon {
                Some(_) => Some(parse_pieces(input, ")", depth + 1, error_offset)?),
                None => None,
            };
            expect_close(input, offset, error_offset)?;
            Ok(Some(match name.as_literal() {
                Some(name) => Piece::Macro {
                    name: Arc::from(name.trim().to_ascii_lowercase()),
                    default,
                    offset,
                },
                None => Piece::ComputedName { name, offset },
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
            let argument = parse_pieces(input, ")", depth + 1, error_offset)?;
            expect_close(input, offset, error_offset)?;
            // The letters after F select parts of a path, and are case-sensitive.
            let name = if is_path_function(name) {
                name.to_owned()
            } else {
                name.to_ascii_uppercase()
            };
            Ok(Some(Piece::Function {
                name: Arc::from(name),
                argument,
                offset,
            }))
        }
    }
}

/// Whether a name is a path function: `F` and letters that select parts of a path.
pub fn is_path_function(name: &str) -> bool {
    name.strip_prefix(['F', 'f'])
        .is_some_and(|parts| parts.chars().all(|part| "fpdnxquwba".contains(part)))
}

fn expect_close(
    input: &mut Input<'_>,
    offset: usize,
    error_offset: &mut Option<usize>,
) -> Result<(), ParseError> {
    let closed: Option<char> = opt(')').parse_next(input)?;
    if closed.is_none() {
        error_offset.get_or_insert(offset);
        return Err(ErrMode::Cut(ContextError::new()));
    }
    Ok(())
}

#[cfg(test)]
mod tests;
