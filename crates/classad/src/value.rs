//! Values that expressions evaluate to.

use crate::Name;
use std::sync::Arc;

/// The result of evaluating an expression.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    /// An attribute that the expression needs does not exist.
    Undefined,
    /// The expression cannot be applied to the values that it refers to.
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
    /// Converts a number to `Int` if it is integral and below 9e15 in magnitude, else to `Real`.
    pub fn number(value: f64) -> Value {
        if value.fract() == 0.0 && value.abs() < 9e15 {
            Value::Int(value as i64)
        } else {
            Value::Real(value)
        }
    }

    /// The numeric value, with true as 1 and false as 0; `None` if the value is not numeric.
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

    /// The truth value, where any number other than 0 is true; `None` for UNDEFINED, ERROR
    /// and types without a truth value.
    pub fn truth(&self) -> Option<bool> {
        match self {
            Value::Bool(value) => Some(*value),
            Value::Int(value) => Some(*value != 0),
            Value::Real(value) => Some(*value != 0.0),
            _ => None,
        }
    }

    /// The comparison of `=?=`: same type and same value; strings compare case-sensitively.
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

    /// The name of the type as error messages show it.
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
