//! Constants of this package, each with its unit and its reason.

/// Most shifts of a site. All windows share one value of the state service: two windows of
/// each, with the longest names, must fit into 16 KiB.
pub const MAX_SCHEDULES: usize = 32;

/// Longest name of a shift, in bytes: see [`MAX_SCHEDULES`].
pub const MAX_NAME_BYTES: usize = 64;

/// Highest rank. Any number would do; a bound reveals a value in the wrong place.
pub const MAX_RANK: i64 = 1_000;

/// Longest lead, in s. Machines boot within minutes, and a lead longer than half a day would
/// reach into the window of the day before.
pub const MAX_LEAD_S: f64 = 3_600.0;

/// Most services whose place in the order is on record. Others are protected without one: they
/// come after these. At some 30 bytes each, that is 600 KB in the state service. 4,000 machines run some
/// 20,000 tasks, each of which may be a service of its own.
pub const MAX_SERVICES: usize = 20_000;

/// Least time between two writes of the same value, in ms: with one value of services a
/// turn, shifts cost at most two changes a second.
pub const MIN_WRITE_INTERVAL_MS: u64 = 1_000;

/// A value that names services which are over is written anew after so long, in ms, unless
/// something else is to be written there before.
pub const STALE_REWRITE_DELAY_MS: u64 = 60_000;

/// For how long after a window's end its spare capacity is released gradually, in ms: batch tasks
/// come back a part at a time, rather than with all their image fetches at once.
pub const SPARE_RELEASE_MS: u64 = 60_000;

/// For how long the record names a window that is closed, in days: far longer than any clock is
/// off, and than a window lasts.
pub const CLOSED_WINDOW_RETENTION_DAYS: i64 = 3;

/// Days ahead in which the next window is searched for, for display.
pub const NEXT_WINDOW_SEARCH_DAYS: i64 = 15;

/// Bytes that an entry takes in a value beside its job's name, at most: two numbers of 20
/// digits, one of 4, brackets, quotes and commas.
pub const ENTRY_OVERHEAD_BYTES: usize = 48;

/// Bytes of a value beside its entries and names of shifts.
pub const VALUE_OVERHEAD_BYTES: usize = 64;

/// A day in ms.
pub const DAY_MS: i64 = 86_400_000;
