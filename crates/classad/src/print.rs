//! Formats expressions and values as text that parses back to the same tree.

use crate::expr::{Expr, Kind, Scope, UnaryOp};
use crate::lexer::escape;
use crate::{Name, Value};
use std::fmt;

/// Writes a name, quoted if it is a keyword or not an identifier.
fn write_name(name: &Name, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    if name.is_plain() {
        f.write_str(name.text())
    } else {
        escape(name.text(), '\'', f)
    }
}

/// The precedence of an expression; operands without an operator have the highest.
fn precedence(expr: &Expr) -> u8 {
    match &expr.kind {
        Kind::Conditional(_) | Kind::IfUndefined(_) => 1,
        Kind::Binary(operator, _) => operator.precedence(),
        Kind::Unary(..) => 12,
        Kind::Literal(Value::Int(value)) if *value < 0 => 12,
        Kind::Literal(Value::Real(value)) if value.is_sign_negative() => 12,
        _ => 13,
    }
}

/// Writes an operand, in parentheses if its precedence is below the minimum.
fn write_operand(expr: &Expr, min_precedence: u8, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    if precedence(expr) < min_precedence {
        write!(f, "({expr})")
    } else {
        write!(f, "{expr}")
    }
}

fn write_list(entries: &[Expr], f: &mut fmt::Formatter<'_>) -> fmt::Result {
    for (index, entry) in entries.iter().enumerate() {
        let comma = if index == 0 { "" } else { ", " };
        write!(f, "{comma}{entry}")?;
    }
    Ok(())
}

impl fmt::Display for Expr {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            Kind::Literal(value) => write!(f, "{value}"),
            Kind::Attribute(scope, attribute) => {
                f.write_str(match scope {
                    Scope::Any => "",
                    Scope::My => "MY.",
                    Scope::Target => "TARGET.",
                })?;
                write_name(attribute, f)
            }
            Kind::Select(base, attribute) => {
                write_operand(base, 13, f)?;
                // Without the space, "1.a" would be tokenized as the number "1.".
                let number = matches!(base.kind, Kind::Literal(Value::Int(_) | Value::Real(_)));
                f.write_str(if number { " ." } else { "." })?;
                write_name(attribute, f)
            }
            Kind::Index(operands) => {
                write_operand(&operands.0, 13, f)?;
                write!(f, "[{}]", operands.1)
            }
            Kind::Unary(operator, operand) => {
                f.write_str(match operator {
                    UnaryOp::Minus => "-",
                    UnaryOp::Plus => "+",
                    UnaryOp::Not => "!",
                    UnaryOp::BitNot => "~",
                })?;
                write_operand(operand, 12, f)
            }
            Kind::Binary(operator, operands) => {
                write_operand(&operands.0, operator.precedence(), f)?;
                write!(f, " {} ", operator.symbol())?;
                write_operand(&operands.1, operator.precedence() + 1, f)
            }
            Kind::Conditional(operands) => {
                write_operand(&operands.0, 2, f)?;
                write!(f, " ? {} : {}", operands.1, operands.2)
            }
            Kind::IfUndefined(operands) => {
                write_operand(&operands.0, 2, f)?;
                write!(f, " ?: {}", operands.1)
            }
            Kind::Call(function, arguments) => {
                write!(f, "{}(", function.name)?;
                write_list(arguments, f)?;
                f.write_str(")")
            }
            Kind::List(entries) => {
                f.write_str("{")?;
                write_list(entries, f)?;
                f.write_str("}")
            }
            Kind::Record(record) => {
                f.write_str("[")?;
                for (index, (attribute, expr)) in record.0.iter().enumerate() {
                    f.write_str(if index == 0 { "" } else { "; " })?;
                    write_name(attribute, f)?;
                    write!(f, " = {expr}")?;
                }
                f.write_str("]")
            }
        }
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Undefined => f.write_str("undefined"),
            Value::Error => f.write_str("error"),
            Value::Bool(value) => write!(f, "{value}"),
            Value::Int(value) => write!(f, "{value}"),
            Value::Real(value) if value.is_nan() => f.write_str("real(\"NaN\")"),
            Value::Real(value) if value.is_infinite() => {
                let sign = if *value < 0.0 { "-" } else { "" };
                write!(f, "real(\"{sign}INF\")")
            }
            Value::Real(value) => write!(f, "{value:?}"),
            Value::Str(text) => escape(text, '"', f),
            Value::List(entries) => {
                f.write_str("{")?;
                for (index, entry) in entries.iter().enumerate() {
                    let comma = if index == 0 { "" } else { ", " };
                    write!(f, "{comma}{entry}")?;
                }
                f.write_str("}")
            }
            Value::Record(attributes) => {
                f.write_str("[")?;
                for (index, (attribute, value)) in attributes.iter().enumerate() {
                    f.write_str(if index == 0 { "" } else { "; " })?;
                    write_name(attribute, f)?;
                    write!(f, " = {value}")?;
                }
                f.write_str("]")
            }
        }
    }
}
