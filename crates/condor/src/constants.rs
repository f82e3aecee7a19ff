//! Every constant of submit files, with unit and reason.

/// Longest submit file with all that it includes, in bytes: 100,000 items of 80 letters.
pub const MAX_FILE_BYTES: usize = 8 * 1024 * 1024;

/// Longest value of a command once its macros are expanded, in bytes.
pub const MAX_VALUE_BYTES: usize = 32 * 1024;

/// Deepest nesting of macros that stand for others, of files that include others, and of
/// `if`. Every level is a level of recursion.
pub const MAX_NESTING_DEPTH: usize = 32;

/// Procs of one file. What is more should be split: a cluster is shown and removed as one.
pub const MAX_FILE_PROCS: usize = 100_000;

/// Bytes of all procs' own values together: what bounds a node's memory for one file.
pub const MAX_EXPANDED_BYTES: usize = 64 * 1024 * 1024;

/// Commands and macros that a file may define.
pub const MAX_DEFINITIONS: usize = 2_000;

/// Variables of one `queue` statement.
pub const MAX_QUEUE_VARIABLES: usize = 64;

/// Memory of a task whose file asks for none, in MiB: what HTCondor's own default is.
pub const DEFAULT_MEMORY_MIB: f64 = 128.0;

/// Estimate, in s, of a task whose file gives none: placement then expects it to hold its
/// machine for long, which errs on the side of those who wait.
pub const DEFAULT_ESTIMATE_S: f64 = 3_600.0;

/// MiB in a GB as machines are sold here.
pub const MIB_PER_GB: f64 = 1_024.0;

/// Problems that one proc's reason lists.
pub const MAX_PROBLEMS_SHOWN: usize = 8;

/// Terms of a requirement that its reason goes through.
pub const MAX_TERMS_SHOWN: usize = 24;

/// Kinds of machines that a reason lists for a term before it only counts them.
pub const MAX_KINDS_SHOWN: usize = 6;

/// Known names that a reason lists where none is like the one asked for.
pub const MAX_NAMES_SHOWN: usize = 12;

/// Most attributes that operators may declare of a machine type.
pub const MAX_DECLARED_ATTRIBUTES: usize = 100;

/// Jobs that one cluster may become: each is a record, and the state service takes some tens
/// of changes a second.
pub const MAX_CLUSTER_JOBS: usize = 200;

/// Procs of a cluster that a controller takes: what a tenth of a core expands in a fraction
/// of a second. More are for `explain`, on the submitter's own machine.
pub const MAX_CLUSTER_PROCS: usize = 20_000;

/// Longest name of a submitter, in bytes.
pub const MAX_OWNER_BYTES: usize = 64;

/// Terms whose kinds are remembered while a file is judged.
pub const TERM_CACHE_SIZE: usize = 4_096;

/// Steps that the expressions of one file may take altogether: some 300 for each of 10,000
/// requirements, and a tenth of a second of a core, which a controller with a tenth of one
/// can spare without losing its leases.
pub const MAX_EVALUATION_STEPS: u64 = 3_000_000;
