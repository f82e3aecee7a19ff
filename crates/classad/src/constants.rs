//! Bounds on what an expression may cost, with units and reasons.

/// Longest expression, in bytes: far beyond what people write, small enough that
/// thousands can be checked in a second.
pub const MAX_EXPRESSION_BYTES: usize = 32 * 1024;

/// Deepest nesting of an expression, operators and chains of `||` included. Every level is a
/// level of recursion, of which a thread with a stack of 2 MB bears several times as many.
pub const MAX_DEPTH: u16 = 250;

/// Deepest chain of attributes that refer to each other, each at most [`MAX_DEPTH`] deep.
pub const MAX_REFERENCE_DEPTH: usize = 24;

/// Deepest recursion of an evaluation altogether, attributes that refer to others included.
pub const MAX_RECURSION_DEPTH: u32 = 500;

/// Nodes that one evaluation may visit. A requirement has dozens.
pub const MAX_STEPS: u32 = 20_000;

/// Longest string, in bytes, or list, in entries, that an evaluation may make.
pub const MAX_RESULT_SIZE: usize = 64 * 1024;

/// Most memory of a compiled regular expression, in bytes.
pub const MAX_REGEX_BYTES: usize = 256 * 1024;

/// Compiled regular expressions that an evaluator keeps.
pub const REGEX_CACHE_ENTRIES: usize = 64;

/// Nearest known names that an error lists.
pub const MAX_SUGGESTIONS: usize = 3;
