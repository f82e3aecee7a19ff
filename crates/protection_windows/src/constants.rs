//! Limits, intervals and sizes of protection windows and their records.

/// Maximum number of schedules. All windows share one value in the state service: two windows of
/// each schedule, with names of maximum length, must fit into 16 KiB.
pub const MAX_SCHEDULES: usize = 32;

/// Maximum bytes of a schedule's name: see [`MAX_SCHEDULES`].
pub const MAX_NAME_BYTES: usize = 64;

/// Maximum rank. The limit is arbitrary and detects values entered in the wrong field.
pub const MAX_RANK: i64 = 1_000;

/// Maximum lead time in s. Machines boot within minutes, and a lead time longer than half a day
/// would overlap the previous day's window.
pub const MAX_LEAD_S: f64 = 3_600.0;

/// Maximum number of services with a recorded position. Further services are protected without a
/// position and ordered after these. At some 30 bytes each, the records take 600 KB in the state
/// service. 4,000 machines run some 20,000 tasks, each of which may be a separate service.
pub const MAX_SERVICES: usize = 20_000;

/// Minimum interval between two writes of the same value, in ms. As at most one value of services is
/// written at a time, protection windows cause at most two changes per second.
pub const MIN_WRITE_INTERVAL_MS: u64 = 1_000;

/// Delay in ms after which a value that contains ended services is rewritten, unless another change
/// to the value is written earlier.
pub const STALE_REWRITE_DELAY_MS: u64 = 60_000;

/// Time in ms over which spare capacity is gradually released after the end of a window, so that
/// batch tasks do not restart and fetch their images all at once.
pub const SPARE_RELEASE_MS: u64 = 60_000;

/// Days for which a closed window is kept in the record: far longer than any clock deviates and any
/// window lasts.
pub const CLOSED_WINDOW_RETENTION_DAYS: i64 = 3;

/// Number of days ahead that are searched for the next window, for display.
pub const NEXT_WINDOW_SEARCH_DAYS: i64 = 15;

/// Maximum bytes of an entry in a value, without its job id: two numbers of 20 digits, one of 4,
/// brackets, quotes and commas.
pub const ENTRY_OVERHEAD_BYTES: usize = 48;

/// Bytes of a value without its entries and schedule names.
pub const VALUE_OVERHEAD_BYTES: usize = 64;

/// Milliseconds per day.
pub const DAY_MS: i64 = 86_400_000;
