//! Tokenizer, and escape sequences of strings and quoted names.

use logos::Logos;

/// A token; whitespace and comments are skipped.
#[derive(Logos, Debug, Clone, Copy, PartialEq, Eq)]
#[logos(skip r"[ \t\r\n\f]+")]
#[logos(skip(r"//[^\n]*", allow_greedy = true))]
#[logos(skip r"/\*([^*]|\*+[^*/])*\*+/")]
pub enum Token {
    #[regex(r"[0-9]+[BbKkMmGgTt]?")]
    #[regex(r"0[xX][0-9a-fA-F]+")]
    Int,
    #[regex(r"([0-9]+\.[0-9]*|\.[0-9]+)([eE][+-]?[0-9]+)?[BbKkMmGgTt]?")]
    #[regex(r"[0-9]+[eE][+-]?[0-9]+")]
    Real,
    #[regex(r#""([^"\\]|\\[\s\S])*""#)]
    Str,
    #[regex(r"'([^'\\]|\\[\s\S])+'")]
    QuotedName,
    #[regex(r"[A-Za-z_][A-Za-z0-9_]*")]
    Identifier,
    #[token("||")]
    Or,
    #[token("&&")]
    And,
    #[token("|")]
    BitOr,
    #[token("^")]
    BitXor,
    #[token("&")]
    BitAnd,
    #[token("=?=")]
    Is,
    #[token("=!=")]
    Isnt,
    #[token("==")]
    Equal,
    #[token("!=")]
    NotEqual,
    #[token("<=")]
    LessOrEqual,
    #[token("<")]
    Less,
    #[token(">=")]
    GreaterOrEqual,
    #[token(">")]
    Greater,
    #[token("<<")]
    ShiftLeft,
    #[token(">>")]
    ShiftRight,
    #[token(">>>")]
    ShiftRightZero,
    #[token("+")]
    Plus,
    #[token("-")]
    Minus,
    #[token("*")]
    Times,
    #[token("/")]
    Divide,
    #[token("%")]
    Modulo,
    #[token("!")]
    Not,
    #[token("~")]
    BitNot,
    #[token("?")]
    Question,
    #[token(":")]
    Colon,
    #[token(".")]
    Dot,
    #[token(",")]
    Comma,
    #[token(";")]
    Semicolon,
    #[token("=")]
    Assign,
    #[token("(")]
    OpenParen,
    #[token(")")]
    CloseParen,
    #[token("[")]
    OpenBracket,
    #[token("]")]
    CloseBracket,
    #[token("{")]
    OpenBrace,
    #[token("}")]
    CloseBrace,
}

/// Replaces the escape sequences of a string. A backslash before a character that forms no
/// escape sequence stays, so that regular expressions such as `\.` and `\d` keep their meaning.
pub fn unescape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    let mut rest = text.chars();
    while let Some(next) = rest.next() {
        if next != '\\' {
            out.push(next);
            continue;
        }
        let ahead = rest.as_str();
        let octal: String = ahead
            .chars()
            .take(3)
            .take_while(|digit| ('0'..='7').contains(digit))
            .collect();
        // Octal escapes have exactly three digits: `\1` refers to a group of a regular expression.
        if octal.len() == 3
            && let Ok(code @ 1..=127) = u8::from_str_radix(&octal, 8)
        {
            out.push(char::from(code));
            rest = ahead[octal.len()..].chars();
            continue;
        }
        match rest.next() {
            Some(same @ ('"' | '\'' | '\\')) => out.push(same),
            Some('n') => out.push('\n'),
            Some('t') => out.push('\t'),
            Some('r') => out.push('\r'),
            Some(other) => out.extend(['\\', other]),
            None => out.push('\\'),
        }
    }
    out
}

/// Writes a string or a quoted name in its quotes, with escape sequences.
pub fn escape(text: &str, quote: char, out: &mut impl std::fmt::Write) -> std::fmt::Result {
    out.write_char(quote)?;
    for next in text.chars() {
        match next {
            '\\' => out.write_str("\\\\")?,
            '\n' => out.write_str("\\n")?,
            '\t' => out.write_str("\\t")?,
            '\r' => out.write_str("\\r")?,
            next if next == quote => {
                out.write_char('\\')?;
                out.write_char(quote)?;
            }
            next => out.write_char(next)?,
        }
    }
    out.write_char(quote)
}
