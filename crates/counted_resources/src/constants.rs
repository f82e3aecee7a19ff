//! Every constant of this package, with unit and reason.

/// Most units of a count. Licences cover dozens, token pools some thousands; a larger
/// number is a slip of the pen.
pub const MAX_UNITS: u32 = 1_000_000;

/// Most counts of a site. Every scheduling pass sets each up once.
pub const MAX_COUNTS: usize = 1_000;

/// Most counts that one task may ask for. Each is looked up for every job in a pass.
pub const MAX_DEMAND: usize = 16;

/// Most different demands that are remembered, to share them: users choose them freely.
pub const MAX_INTERNED_DEMANDS: usize = 1_000;

/// Longest name of a count, in bytes: it stands in records and in metrics' labels.
pub const MAX_NAME: usize = 64;

/// Longest linger, in s. Licence servers give a dead client's seat back within two hours
/// at most where nobody has set anything (keep-alive of the system).
pub const MAX_LINGER_S: f64 = 7_200.0;

/// How much longer than `linger_s` a unit is kept, in parts per million: two steady
/// clocks may drift apart by 0.05 %, and both ends count.
pub const LINGER_DRIFT_PPM: u64 = 1_000;

/// Lingering units of a count and team that end within this many ms of each other are
/// one entry, so that a record stays small; the later end counts.
pub const LINGER_MERGE_MS: u64 = 1_000;

/// Most entries of lingering units in one record (some 40 bytes each). Beyond, those of
/// one count and team become one that lasts as long as the last of them.
pub const MAX_LINGERS_PER_RECORD: usize = 48;

/// Age, in s, from which a request that finds too few units keeps what comes free: nobody
/// after it in the order may take it. Sooner, and a gang would idle units that short
/// tasks could have used; most requests start within seconds.
pub const RESERVE_AFTER_S: f64 = 30.0;

/// For how long, in s, others may use what is kept for a request, if their own estimates
/// say that they are through before the rest of it comes free. Estimates are often wrong
/// by half, so this ends: from then on the wait is bounded by what holds the units
/// already. Counted from when units are first kept for it, not from its submission: under
/// overload every request is old by the time that it is first.
pub const BACKFILL_S: f64 = 90.0;

/// How much longer than estimated a task must be able to run, to go ahead of a request
/// that units are kept for: half of the estimates are too low.
pub const BACKFILL_SAFETY_FACTOR: f64 = 1.5;

/// What a machine takes to come, in s, for a request that has its units and lacks only
/// machines: nobody longer than this goes ahead on its units.
pub const EXPECTED_MACHINE_WAIT_S: f64 = 60.0;

/// Interval of questions to a licence server, in ms. A seat that somebody else takes in
/// between is seen late by so much; a server bears this from one client.
pub const SERVER_POLL_INTERVAL_MS: u64 = 5_000;

/// For how long the last word of a silent server counts, in ms: long enough for a
/// restart, short enough that others' seats have not all changed.
pub const SERVER_USAGE_VALID_MS: u64 = 60_000;

/// Longest wait for a server's answer, in ms.
pub const SERVER_TIMEOUT_MS: u64 = 4_000;

/// Most lines of a server's answer that are read: a line a seat, of 20,000 tasks on 4,000 machines and as
/// many of others.
pub const MAX_SERVER_ANSWER_LINES: usize = 40_000;

/// Largest answer of a server that is read, in bytes: some 100 a seat.
pub const MAX_SERVER_ANSWER_BYTES: usize = 4 * 1024 * 1024;
