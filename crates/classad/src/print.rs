//! From a tree to text that reads back as the same tree.

use crate::expr::{Expr, Kind, Scope, Unary};
use crate::lexer::escape;
use crate::{Name, Value};
use std::fmt;

/// Names that `.` may follow are quoted where they would read as something else.
fn name(name: &Name, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    if name.is_plain() {
        f.write_str(name.text())
    } else {
        escape(name.text(), '\'', f)
    }
}

/// How tightly an expression binds; operands bind more tightly than any operator.
fn binding(expr: &Expr) -> u8 {
    match &expr.kind {
        Kind::Choose(_) | Kind::Otherwise(_) => 1,
        Kind::Binary(operator, _) => operator.binding(),
        Kind::Unary(..) => 12,
        Kind::Literal(Value::Int(value)) if *value < 0 => 12,
        Kind::Literal(Value::Real(value)) if value.is_sign_negative() => 12,
        _ => 13,
    }
}

fn within(expr: &Expr, least: u8, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    if binding(expr) < least {
        write!(f, "({expr})")
    } else {
        write!(f, "{expr}")
    }
}

fn list(entries: &[Expr], f: &mut fmt::Formatter<'_>) -> fmt::Result {
    for (at, entry) in entries.iter().enumerate() {
        let comma = if at == 0 { "" } else { ", " };
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
                name(attribute, f)
            }
            Kind::Select(base, attribute) => {
                within(base, 13, f)?;
                // "1.a" would be a number.
                let number = matches!(base.kind, Kind::Literal(Value::Int(_) | Value::Real(_)));
                f.write_str(if number { " ." } else { "." })?;
                name(attribute, f)
            }
            Kind::Index(two) => {
                within(&two.0, 13, f)?;
                write!(f, "[{}]", two.1)
            }
            Kind::Unary(operator, operand) => {
                f.write_str(match operator {
                    Unary::Minus => "-",
                    Unary::Plus => "+",
                    Unary::Not => "!",
                    Unary::BitNot => "~",
                })?;
                within(operand, 12, f)
            }
            Kind::Binary(operator, two) => {
                within(&two.0, operator.binding(), f)?;
                write!(f, " {} ", operator.text())?;
                within(&two.1, operator.binding() + 1, f)
            }
            Kind::Choose(three) => {
                within(&three.0, 2, f)?;
                write!(f, " ? {} : {}", three.1, three.2)
            }
            Kind::Otherwise(two) => {
                within(&two.0, 2, f)?;
                write!(f, " ?: {}", two.1)
            }
            Kind::Call(function, arguments) => {
                write!(f, "{}(", function.name)?;
                list(arguments, f)?;
                f.write_str(")")
            }
            Kind::List(entries) => {
                f.write_str("{")?;
                list(entries, f)?;
                f.write_str("}")
            }
            Kind::Record(record) => {
                f.write_str("[")?;
                for (at, (attribute, expr)) in record.0.iter().enumerate() {
                    f.write_str(if at == 0 { "" } else { "; " })?;
                    name(attribute, f)?;
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
                for (at, entry) in entries.iter().enumerate() {
                    let comma = if at == 0 { "" } else { ", " };
                    write!(f, "{comma}{entry}")?;
                }
                f.write_str("}")
            }
            Value::Record(attributes) => {
                f.write_str("[")?;
                for (at, (attribute, value)) in attributes.iter().enumerate() {
                    f.write_str(if at == 0 { "" } else { "; " })?;
                    name(attribute, f)?;
                    write!(f, " = {value}")?;
                }
                f.write_str("]")
            }
        }
    }
}
