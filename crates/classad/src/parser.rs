//! Precedence-climbing parser from tokens to expression trees. Each nesting level costs one
//! level of recursion, and every error has a position.

use crate::constants::{MAX_DEPTH, MAX_EXPRESSION_BYTES};
use crate::expr::{BinaryOp, Expr, Kind, Record, Scope, UnaryOp};
use crate::functions;
use crate::lexer::{Token, unescape};
use crate::{Name, Value, nearest};
use logos::Logos;
use std::fmt;
use std::sync::Arc;
use thiserror::Error;

/// A position in a text. Lines and columns count from 1; columns count characters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    pub line: usize,
    pub column: usize,
}

impl Position {
    /// The position of a byte offset in a text.
    pub fn of(text: &str, byte: usize) -> Position {
        let mut byte = byte.min(text.len());
        while !text.is_char_boundary(byte) {
            byte -= 1;
        }
        let before = &text[..byte];
        let line_start = before.rfind('\n').map_or(0, |at| at + 1);
        Position {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// Why a text is not a valid expression, and where.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{position}: {problem}")]
pub struct ParseError {
    pub position: Position,
    /// Byte offset of the error.
    pub at: usize,
    pub problem: String,
}

impl Expr {
    /// Parses an expression.
    ///
    /// # Errors
    /// The first syntax error, or the place where the text exceeds the limits on length or nesting.
    pub fn parse(text: &str) -> Result<Expr, ParseError> {
        Parser::new(text)
            .and_then(Parser::parse_all)
            .map_err(|(at, problem)| ParseError {
                position: Position::of(text, at),
                at,
                problem,
            })
    }
}

/// The byte offset and the message of a parse error.
type Problem = (usize, String);

/// A token with its text and byte offset.
struct Lexeme<'t> {
    token: Token,
    text: &'t str,
    at: usize,
}

struct Parser<'t> {
    lexemes: Vec<Lexeme<'t>>,
    /// Index of the next lexeme.
    next: usize,
    /// Length of the text in bytes.
    end: usize,
    /// Current nesting of `parse_expression`.
    depth: u16,
}

/// Precedence of `? :` and `?:`, lower than that of any binary operator; right-associative.
const CONDITIONAL_PRECEDENCE: u8 = 1;
/// Precedence of prefix operators, higher than that of any binary operator.
const PREFIX_PRECEDENCE: u8 = 12;

fn binary_operator(token: Token, text: &str) -> Option<BinaryOp> {
    Some(match token {
        Token::Or => BinaryOp::Or,
        Token::And => BinaryOp::And,
        Token::BitOr => BinaryOp::BitOr,
        Token::BitXor => BinaryOp::BitXor,
        Token::BitAnd => BinaryOp::BitAnd,
        Token::Equal => BinaryOp::Equal,
        Token::NotEqual => BinaryOp::NotEqual,
        Token::Is => BinaryOp::Is,
        Token::Isnt => BinaryOp::Isnt,
        Token::Identifier if text.eq_ignore_ascii_case("is") => BinaryOp::Is,
        Token::Identifier if text.eq_ignore_ascii_case("isnt") => BinaryOp::Isnt,
        Token::Less => BinaryOp::Less,
        Token::LessOrEqual => BinaryOp::LessOrEqual,
        Token::Greater => BinaryOp::Greater,
        Token::GreaterOrEqual => BinaryOp::GreaterOrEqual,
        Token::ShiftLeft => BinaryOp::ShiftLeft,
        Token::ShiftRight => BinaryOp::ShiftRight,
        Token::ShiftRightZero => BinaryOp::ShiftRightZero,
        Token::Plus => BinaryOp::Plus,
        Token::Minus => BinaryOp::Minus,
        Token::Times => BinaryOp::Times,
        Token::Divide => BinaryOp::Divide,
        Token::Modulo => BinaryOp::Modulo,
        _ => return None,
    })
}

impl<'t> Parser<'t> {
    fn new(text: &'t str) -> Result<Parser<'t>, Problem> {
        if text.len() > MAX_EXPRESSION_BYTES {
            return Err((
                MAX_EXPRESSION_BYTES,
                format!("the expression is longer than {MAX_EXPRESSION_BYTES} bytes"),
            ));
        }
        let mut lexemes = Vec::with_capacity(text.len() / 4);
        for (token, span) in Token::lexer(text).spanned() {
            let Ok(token) = token else {
                let remaining = &text[span.start..];
                let problem = match remaining.chars().next() {
                    Some('"') => "this string does not end".to_owned(),
                    Some('\'') => "this quoted name does not end, or is empty".to_owned(),
                    Some(other) => format!("{other:?} means nothing here"),
                    None => "nothing follows".to_owned(),
                };
                return Err((span.start, problem));
            };
            lexemes.push(Lexeme {
                token,
                text: &text[span.clone()],
                at: span.start,
            });
        }
        Ok(Parser {
            lexemes,
            next: 0,
            end: text.len(),
            depth: 0,
        })
    }

    fn parse_all(mut self) -> Result<Expr, Problem> {
        let expr = self.parse_expression(CONDITIONAL_PRECEDENCE)?;
        match self.peek() {
            None => Ok(expr),
            Some(lexeme) if lexeme.token == Token::Assign => {
                Err((lexeme.at, "\"=\" sets an attribute; \"==\" compares".to_owned()))
            }
            Some(lexeme) => Err((
                lexeme.at,
                format!("an operator is missing before {:?}", lexeme.text),
            )),
        }
    }

    fn peek(&self) -> Option<&Lexeme<'t>> {
        self.lexemes.get(self.next)
    }

    fn offset(&self) -> usize {
        self.peek().map_or(self.end, |lexeme| lexeme.at)
    }

    /// Consumes the next token if it is the given one.
    fn accept(&mut self, token: Token) -> bool {
        let found = self.peek().is_some_and(|lexeme| lexeme.token == token);
        self.next += usize::from(found);
        found
    }

    fn expect(&mut self, token: Token, what: &str) -> Result<(), Problem> {
        if self.accept(token) {
            return Ok(());
        }
        Err((self.offset(), format!("{what} is missing{}", self.found())))
    }

    /// Describes the next token, or the end of the text, for an error message.
    fn found(&self) -> String {
        self.peek().map_or_else(
            || " at the end".to_owned(),
            |lexeme| format!(" before {:?}", lexeme.text),
        )
    }

    fn node(&self, kind: Kind, at: usize) -> Result<Expr, Problem> {
        Expr::new(kind, at).ok_or_else(|| too_deep(at))
    }

    /// Parses an expression whose operators have at least the given precedence.
    fn parse_expression(&mut self, min_precedence: u8) -> Result<Expr, Problem> {
        self.depth += 1;
        if self.depth > MAX_DEPTH {
            return Err(too_deep(self.offset()));
        }
        let mut left = self.parse_prefix()?;
        while let Some(lexeme) = self.peek() {
            let at = left.at;
            if let Some(operator) = binary_operator(lexeme.token, lexeme.text) {
                if operator.precedence() < min_precedence {
                    break;
                }
                self.next += 1;
                let right = self.parse_expression(operator.precedence() + 1)?;
                left = self.node(Kind::Binary(operator, Box::new((left, right))), at)?;
            } else if lexeme.token == Token::Question && min_precedence <= CONDITIONAL_PRECEDENCE {
                self.next += 1;
                if self.accept(Token::Colon) {
                    let otherwise = self.parse_expression(CONDITIONAL_PRECEDENCE)?;
                    left = self.node(Kind::IfUndefined(Box::new((left, otherwise))), at)?;
                } else {
                    let then = self.parse_expression(CONDITIONAL_PRECEDENCE)?;
                    self.expect(Token::Colon, "the \":\" of \"?\"")?;
                    let otherwise = self.parse_expression(CONDITIONAL_PRECEDENCE)?;
                    left = self.node(Kind::Conditional(Box::new((left, then, otherwise))), at)?;
                }
            } else {
                break;
            }
        }
        self.depth -= 1;
        Ok(left)
    }

    fn parse_prefix(&mut self) -> Result<Expr, Problem> {
        let at = self.offset();
        let operator = match self.peek().map(|lexeme| lexeme.token) {
            Some(Token::Minus) => UnaryOp::Minus,
            Some(Token::Plus) => UnaryOp::Plus,
            Some(Token::Not) => UnaryOp::Not,
            Some(Token::BitNot) => UnaryOp::BitNot,
            _ => return self.parse_postfix(),
        };
        self.next += 1;
        let operand = self.parse_expression(PREFIX_PRECEDENCE)?;
        self.node(Kind::Unary(operator, Box::new(operand)), at)
    }

    fn parse_postfix(&mut self) -> Result<Expr, Problem> {
        let mut expr = self.parse_operand()?;
        loop {
            let at = expr.at;
            if self.accept(Token::Dot) {
                let name = self.parse_name()?;
                expr = self.node(Kind::Select(Box::new(expr), name), at)?;
            } else if self.accept(Token::OpenBracket) {
                let index = self.parse_expression(CONDITIONAL_PRECEDENCE)?;
                self.expect(Token::CloseBracket, "\"]\"")?;
                expr = self.node(Kind::Index(Box::new((expr, index))), at)?;
            } else {
                return Ok(expr);
            }
        }
    }

    fn parse_name(&mut self) -> Result<Name, Problem> {
        let name = match self.peek() {
            Some(lexeme) if lexeme.token == Token::Identifier => Name::new(lexeme.text),
            Some(lexeme) if lexeme.token == Token::QuotedName => unquote_name(lexeme.text),
            _ => return Err((self.offset(), format!("a name is missing{}", self.found()))),
        };
        self.next += 1;
        Ok(name)
    }

    fn parse_operand(&mut self) -> Result<Expr, Problem> {
        let Some(lexeme) = self.peek() else {
            return Err((self.end, "something is missing at the end".to_owned()));
        };
        let (token, text, at) = (lexeme.token, lexeme.text, lexeme.at);
        self.next += 1;
        let kind = match token {
            Token::Int | Token::Real => Kind::Literal(
                parse_number(text).ok_or_else(|| (at, format!("{text} is no number that can be kept")))?,
            ),
            Token::Str => Kind::Literal(Value::from(unescape(strip_quotes(text)))),
            Token::QuotedName => Kind::Attribute(Scope::Any, unquote_name(text)),
            Token::Identifier => return self.parse_identifier(text, at),
            Token::OpenParen => {
                let inside = self.parse_expression(CONDITIONAL_PRECEDENCE)?;
                self.expect(Token::CloseParen, "\")\"")?;
                return Ok(inside);
            }
            Token::OpenBrace => Kind::List(self.parse_sequence(Token::CloseBrace, "\"}\"")?),
            Token::OpenBracket => Kind::Record(Arc::new(self.parse_record()?)),
            _ => {
                return Err((at, format!("something is missing before {text:?}")));
            }
        };
        self.node(kind, at)
    }

    fn parse_identifier(&mut self, text: &str, at: usize) -> Result<Expr, Problem> {
        if self.accept(Token::OpenParen) {
            return self.parse_call(text, at);
        }
        let kind = match text.to_ascii_lowercase().as_str() {
            "true" => Kind::Literal(Value::Bool(true)),
            "false" => Kind::Literal(Value::Bool(false)),
            "undefined" => Kind::Literal(Value::Undefined),
            "error" => Kind::Literal(Value::Error),
            "is" | "isnt" => return Err((at, format!("something is missing before {text:?}"))),
            scope @ ("my" | "target") => {
                self.expect(Token::Dot, &format!("the \".\" and a name after {text}"))?;
                let scope = if scope == "my" { Scope::My } else { Scope::Target };
                Kind::Attribute(scope, self.parse_name()?)
            }
            _ => Kind::Attribute(Scope::Any, Name::new(text)),
        };
        self.node(kind, at)
    }

    fn parse_call(&mut self, text: &str, at: usize) -> Result<Expr, Problem> {
        let Some(function) = functions::find(text) else {
            let mut problem = format!("there is no function {text:?}");
            let near = nearest(text, functions::names());
            if !near.is_empty() {
                problem = format!("{problem}; the nearest are {}", near.join(", "));
            }
            return Err((at, problem));
        };
        let arguments = self.parse_sequence(Token::CloseParen, "\")\"")?;
        let (least, most) = (
            function.min_arguments,
            function.max_arguments.unwrap_or(usize::MAX),
        );
        if !(least..=most).contains(&arguments.len()) {
            let wanted = match function.max_arguments {
                Some(most) if most == least => format!("{least}"),
                Some(most) => format!("{least} to {most}"),
                None => format!("at least {least}"),
            };
            return Err((
                at,
                format!(
                    "{} takes {wanted} arguments, not {}",
                    function.name,
                    arguments.len()
                ),
            ));
        }
        self.node(Kind::Call(function, arguments), at)
    }

    /// Parses comma-separated expressions up to the closing token.
    fn parse_sequence(&mut self, close: Token, end: &str) -> Result<Vec<Expr>, Problem> {
        let mut entries = Vec::new();
        if self.accept(close) {
            return Ok(entries);
        }
        loop {
            entries.push(self.parse_expression(CONDITIONAL_PRECEDENCE)?);
            if !self.accept(Token::Comma) {
                self.expect(close, end)?;
                return Ok(entries);
            }
        }
    }

    /// Parses semicolon-separated `name = expression` entries up to the closing bracket.
    fn parse_record(&mut self) -> Result<Record, Problem> {
        let mut record = Record::default();
        while !self.accept(Token::CloseBracket) {
            let name = self.parse_name()?;
            self.expect(Token::Assign, "\"=\"")?;
            record
                .0
                .push((name, self.parse_expression(CONDITIONAL_PRECEDENCE)?));
            if !self.accept(Token::Semicolon) {
                self.expect(Token::CloseBracket, "\";\" or \"]\"")?;
                break;
            }
        }
        Ok(record)
    }
}

fn too_deep(at: usize) -> Problem {
    (at, format!("the expression is nested more than {MAX_DEPTH} deep"))
}

/// Removes the surrounding quotes.
fn strip_quotes(text: &str) -> &str {
    text.get(1..text.len().saturating_sub(1)).unwrap_or_default()
}

fn unquote_name(text: &str) -> Name {
    Name::new(&unescape(strip_quotes(text)))
}

/// Parses a number with an optional unit; K, M, G and T are powers of 1024.
fn parse_number(text: &str) -> Option<Value> {
    if let Some(digits) = text.strip_prefix("0x").or_else(|| text.strip_prefix("0X")) {
        return i64::from_str_radix(digits, 16).ok().map(Value::Int);
    }
    let (digits, unit) = match text.bytes().last()?.to_ascii_uppercase() {
        b'B' => (&text[..text.len() - 1], Some(0)),
        b'K' => (&text[..text.len() - 1], Some(1)),
        b'M' => (&text[..text.len() - 1], Some(2)),
        b'G' => (&text[..text.len() - 1], Some(3)),
        b'T' => (&text[..text.len() - 1], Some(4)),
        _ => (text, None),
    };
    if let Some(power) = unit {
        let value = digits.parse::<f64>().ok()? * 1024f64.powi(power);
        return Some(Value::Real(value)).filter(|_| value.is_finite());
    }
    if digits.bytes().all(|byte| byte.is_ascii_digit()) {
        let octal = digits.len() > 1 && digits.starts_with('0');
        return i64::from_str_radix(digits, if octal { 8 } else { 10 })
            .ok()
            .map(Value::Int);
    }
    let value = digits.parse::<f64>().ok()?;
    value.is_finite().then_some(Value::Real(value))
}
