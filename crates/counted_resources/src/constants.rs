//! Limits and intervals of counted resources.

/// Maximum units of one counted resource. Licences cover dozens and token pools thousands, so
/// a larger number is a typing error.
pub const MAX_UNITS: u32 = 1_000_000;

/// Maximum counted resources of a site. Every scheduling pass builds a pool for each.
pub const MAX_COUNTS: usize = 1_000;

/// Maximum counted resources that one task may request. Each is looked up for every job in a
/// pass.
pub const MAX_DEMAND: usize = 16;

/// Maximum distinct demands kept for sharing. Users choose demands freely, so their number is
/// otherwise unbounded.
pub const MAX_INTERNED_DEMANDS: usize = 1_000;

/// Maximum length of a counted resource's name, in bytes: names appear in records and metric
/// labels.
pub const MAX_NAME: usize = 64;

/// Maximum linger time, in s. By default a licence server frees a dead client's seat after at
/// most two hours, the operating system's TCP keep-alive time.
pub const MAX_LINGER_S: f64 = 7_200.0;

/// Extension of `linger_s`, in parts per million: two monotonic clocks may drift apart by
/// 0.05 %, and both the start and the end are affected.
pub const LINGER_DRIFT_PPM: u64 = 1_000;

/// Lingering units of the same counted resource and team whose expiry times differ by less
/// than this many ms are merged into one entry with the later expiry, to keep records small.
pub const LINGER_MERGE_MS: u64 = 1_000;

/// Maximum entries of lingering units in one record, at about 40 bytes each. Beyond this, all
/// entries of one counted resource and team are merged into one with the latest expiry.
pub const MAX_LINGERS_PER_RECORD: usize = 48;

/// Age, in s, from which units that become free are reserved for a request that finds too
/// few, so that no later request takes them. Reserving earlier would leave units idle for a
/// gang that short tasks could have used; most requests start within seconds.
pub const RESERVE_AFTER_S: f64 = 30.0;

/// How long, in s, other tasks may use units reserved for a request, provided their estimated
/// run times end before the remaining units become free. Estimates are often wrong by half, so
/// backfilling stops after this time; from then on the wait is bounded by the current holders.
/// Measured from the start of the reservation, not from submission: under overload every
/// request is old by the time it is first in the queue.
pub const BACKFILL_S: f64 = 90.0;

/// Factor on a task's estimated run time when deciding whether it may backfill reserved units:
/// half of the estimates are too low.
pub const BACKFILL_SAFETY_FACTOR: f64 = 1.5;

/// Expected wait for a machine, in s, of a request that has its units and lacks only machines.
/// Tasks that run longer may not backfill its units.
pub const EXPECTED_MACHINE_WAIT_S: f64 = 60.0;

/// Interval between polls of a licence server, in ms. A seat checked out by another client is
/// noticed this late at most; a server can bear this load from a single client.
pub const SERVER_POLL_INTERVAL_MS: u64 = 5_000;

/// How long the last usage reported by an unresponsive server remains valid, in ms: long
/// enough for a restart, short enough that other clients' seats have not all changed.
pub const SERVER_USAGE_VALID_MS: u64 = 60_000;

/// Timeout of a call to a licence server, in ms.
pub const SERVER_TIMEOUT_MS: u64 = 4_000;

/// Maximum lines of a licence server's answer: one line per seat, for 20,000 tasks on 4,000
/// machines and as many seats of other clients.
pub const MAX_SERVER_ANSWER_LINES: usize = 40_000;

/// Maximum size of a licence server's answer, in bytes: about 100 per seat.
pub const MAX_SERVER_ANSWER_BYTES: usize = 4 * 1024 * 1024;
