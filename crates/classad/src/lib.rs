//! ClassAd expressions, the language in which HTCondor jobs and machines state their
//! requirements on each other: parsing, printing, evaluation with UNDEFINED and ERROR, and
//! the attributes that an expression refers to.
//!
//! The crate does no I/O and reads no clock: the caller passes the current time.
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
//! // An attribute that neither ad has is UNDEFINED, not false.
//! let unknown = Expr::parse("TARGET.Disk > 1000")?;
//! assert_eq!(evaluator.evaluate(&unknown, &job, Some(&machine)), Value::Undefined);
//! # Ok::<(), indigopath_classad::ParseError>(())
//! ```
//!
//! The language follows the chapter "ClassAd Mechanism" of the HTCondor manual, with these
//! differences:
//!
//! - Calling a function that does not exist is a parse error, not an evaluation error.
//! - Integer overflow evaluates to ERROR.
//! - There are no absolute or relative time types; times are integers.
//! - `random()` is rejected, because matching must be reproducible.
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
