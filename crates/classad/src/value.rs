//! Values of expressions.

use crate::Name;
use std::sync::Arc;

/// What an expression comes to.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    /// Something that the expression needs is not there.
    Undefined,
    /// The expression makes no sense for what is there.
    Error,
    Bool(bool),
    Int(i64),
    Real(f64),
    Str(Arc<str>),
    List(Arc<[Value]>),
    Record(Arc<[(Name, Value)]>),
}

impl From<&str> for Value {
    fn from(text: &str) -> Value {
        Value::Str(Arc::from(text))
    }
}

impl From<String> for Value {
    fn from(text: String) -> Value {
        Value::Str(Arc::from(text))
    }
}

impl From<bool> for Value {
    fn from(value: bool) -> Value {
        Value::Bool(value)
    }
}

impl Value {
    /// A number: an integer where it is one.
    pub fn number(value: f64) -> Value {
        if value.fract() == 0.0 && value.abs() < 9e15 {
            Value::Int(value as i64)
        } else {
            Value::Real(value)
        }
    }

    /// Its number, with true as 1 and false as 0; `None` if it is none.
    pub fn as_number(&self) -> Option<f64> {
        match self {
            Value::Int(value) => Some(*value as f64),
            Value::Real(value) => Some(*value),
            Value::Bool(value) => Some(f64::from(u8::from(*value))),
            _ => None,
        }
    }

    pub(crate) fn as_int(&self) -> Option<i64> {
        match self {
            Value::Int(value) => Some(*value),
            Value::Bool(value) => Some(i64::from(*value)),
            _ => None,
        }
    }

    pub fn as_str(&self) -> Option<&str> {
        match self {
            Value::Str(text) => Some(text),
            _ => None,
        }
    }

    /// Its truth, with any number but 0 as true: `None` for UNDEFINED, ERROR and what has
    /// none.
    pub fn truth(&self) -> Option<bool> {
        match self {
            Value::Bool(value) => Some(*value),
            Value::Int(value) => Some(*value != 0),
            Value::Real(value) => Some(*value != 0.0),
            _ => None,
        }
    }

    /// What `=?=` compares: the same type and the same value, letters' case included.
    pub fn is(&self, other: &Value) -> bool {
        match (self, other) {
            (Value::List(a), Value::List(b)) => {
                a.len() == b.len() && a.iter().zip(b.iter()).all(|(a, b)| a.is(b))
            }
            (Value::Record(a), Value::Record(b)) => {
                a.len() == b.len()
                    && a.iter().all(|(name, value)| {
                        b.iter().any(|(other, theirs)| name == other && value.is(theirs))
                    })
            }
            _ => self == other,
        }
    }

    /// The name of its type, for people.
    pub fn type_name(&self) -> &'static str {
        match self {
            Value::Undefined => "UNDEFINED",
            Value::Error => "ERROR",
            Value::Bool(_) => "a truth value",
            Value::Int(_) => "an integer",
            Value::Real(_) => "a real",
            Value::Str(_) => "a string",
            Value::List(_) => "a list",
            Value::Record(_) => "a record",
        }
    }
}
