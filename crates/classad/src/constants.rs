//! Limits on the size of expressions and on the cost of their evaluation.

/// Maximum length of an expression, in bytes: far longer than any written by hand, and short
/// enough that thousands can be checked per second.
pub const MAX_EXPRESSION_BYTES: usize = 32 * 1024;

/// Maximum nesting depth of an expression, counting operators, also those of a chain of `||`.
/// Each level costs one level of recursion; a thread with a 2 MB stack can hold several times
/// as many.
pub const MAX_DEPTH: u16 = 250;

/// Maximum length of a chain of attributes that refer to each other, each nested at most
/// [`MAX_DEPTH`] deep.
pub const MAX_REFERENCE_DEPTH: usize = 24;

/// Maximum recursion depth of an evaluation, including attributes that refer to others.
pub const MAX_RECURSION_DEPTH: u32 = 500;

/// Maximum number of steps (visited nodes and charged work) of one evaluation. A typical
/// requirement has dozens of nodes.
pub const MAX_STEPS: u32 = 20_000;

/// Maximum size of a string, in bytes, or a list, in entries, that an evaluation may create.
pub const MAX_RESULT_SIZE: usize = 64 * 1024;

/// Maximum memory of a compiled regular expression, in bytes.
pub const MAX_REGEX_BYTES: usize = 256 * 1024;

/// Maximum number of compiled regular expressions in the cache of an evaluator.
pub const REGEX_CACHE_ENTRIES: usize = 64;

/// Maximum number of similar names that an error message suggests.
pub const MAX_SUGGESTIONS: usize = 3;
