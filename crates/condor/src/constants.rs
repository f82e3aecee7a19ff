//! Limits and defaults of submit files.

/// Maximum size of a submit file with all included files, in bytes: 100,000 items of 80 characters.
pub const MAX_FILE_BYTES: usize = 8 * 1024 * 1024;

/// Maximum length of a command's value after macro expansion, in bytes.
pub const MAX_VALUE_BYTES: usize = 32 * 1024;

/// Maximum nesting of macros, of included files and of `if`. Every level is a level of recursion.
pub const MAX_NESTING_DEPTH: usize = 32;

/// Maximum number of procs of one file. Larger files should be split, because a cluster is shown
/// and removed as a whole.
pub const MAX_FILE_PROCS: usize = 100_000;

/// Maximum total size of the expanded values that differ between procs, in bytes. It bounds a
/// node's memory for one file.
pub const MAX_EXPANDED_BYTES: usize = 64 * 1024 * 1024;

/// Maximum number of commands and macros that a file defines.
pub const MAX_DEFINITIONS: usize = 2_000;

/// Maximum number of variables of one `queue` statement.
pub const MAX_QUEUE_VARIABLES: usize = 64;

/// Memory, in MiB, of a task whose file requests none: HTCondor's own default.
pub const DEFAULT_MEMORY_MIB: f64 = 128.0;

/// Estimated duration, in s, of a task whose file gives none. Placement then expects the task to
/// hold its machine for long, which errs in favor of waiting jobs.
pub const DEFAULT_ESTIMATE_S: f64 = 3_600.0;

/// MiB per GB of machine memory, as the cloud counts it.
pub const MIB_PER_GB: f64 = 1_024.0;

/// Maximum number of problems in the reason for one proc.
pub const MAX_PROBLEMS_SHOWN: usize = 8;

/// Maximum number of terms of a requirements expression that its reason explains.
pub const MAX_TERMS_SHOWN: usize = 24;

/// Maximum number of kinds of machines that a reason lists per term; more are only counted.
pub const MAX_KINDS_SHOWN: usize = 6;

/// Maximum number of known names that a reason lists if none is similar to the requested one.
pub const MAX_NAMES_SHOWN: usize = 12;

/// Maximum number of attributes that operators may declare of a machine type.
pub const MAX_DECLARED_ATTRIBUTES: usize = 100;

/// Maximum number of jobs of one cluster. Each is a record, and the state service accepts some tens
/// of changes per second.
pub const MAX_CLUSTER_JOBS: usize = 200;

/// Maximum number of procs of a cluster that a controller accepts: a tenth of a core expands as
/// many in a fraction of a second. `explain`, which runs on the submitter's machine, accepts more.
pub const MAX_CLUSTER_PROCS: usize = 20_000;

/// Maximum length of a submitter's name, in bytes.
pub const MAX_OWNER_BYTES: usize = 64;

/// Maximum number of cached terms while a file is matched.
pub const TERM_CACHE_SIZE: usize = 4_096;

/// Maximum number of evaluation steps for all expressions of one file: some 300 for each of 10,000
/// requirements. They take a tenth of a second of a core, which a controller with a tenth of a core
/// can spare without losing its leases.
pub const MAX_EVALUATION_STEPS: u64 = 3_000_000;
