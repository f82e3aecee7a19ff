//! ClassAd expressions, the language in which HTCondor's jobs and machines say what they
//! ask of each other: parsing, printing, evaluation with UNDEFINED and ERROR, and what an
//! expression refers to. Without input or output; time is an input.
//!
//! ```
//! use indigopath_classad::{Ad, Evaluator, Expr, Value};
//!
//! let mut machine = Ad::default();
//! machine.set("Cpus", Value::Int(16));
//! machine.set("MachineType", Value::from("g8"));
//! let job = Ad::default();
//!
//! let wanted = Expr::parse(r#"TARGET.Cpus >= 8 && MachineType == "G8""#)?;
//! let mut evaluator = Evaluator::new(0);
//! assert_eq!(evaluator.evaluate(&wanted, &job, Some(&machine)), Value::Bool(true));
//!
//! // What nobody has is UNDEFINED, not false.
//! let unknown = Expr::parse("TARGET.Disk > 1000")?;
//! assert_eq!(evaluator.evaluate(&unknown, &job, Some(&machine)), Value::Undefined);
//! # Ok::<(), indigopath_classad::ParseError>(())
//! ```
//!
//! The language is that of HTCondor's published manual, "ClassAd Mechanism". What differs:
//! a function that does not exist is an error of the text, not of its evaluation; integers
//! that overflow are ERROR; times of day are integers, as there are no values of type
//! absolute or relative time; `random()` is refused, as a match has to come out the same twice.
#![forbid(unsafe_code)]

mod ad;
pub mod constants;
mod eval;
mod expr;
mod functions;
mod lexer;
mod names;
mod parser;
mod print;
mod value;

pub use ad::Ad;
pub use eval::{Evaluator, Fault};
pub use expr::{BinaryOp, Expr, Kind, Record, Reference, Scope, UnaryOp};
pub use functions::{Function, compare_versions, substring};
pub use names::{Name, nearest};
pub use parser::{ParseError, Position};
pub use value::Value;
