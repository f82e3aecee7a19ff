//! Constants of this package, each with its unit and reason.
//!
//! Reserves are fractions of the process's sockets, so that they fit any limit; together they take
//! half.

/// Sockets reserved for descriptors that are always open: listeners, the poll instance, standard
/// streams. With few sockets, at most one in [`PROCESS_RESERVE_DIVISOR`].
pub const PROCESS_RESERVE: usize = 32;

/// See [`PROCESS_RESERVE`].
pub const PROCESS_RESERVE_DIVISOR: usize = 8;

/// Connections reserved for each peer: one in each direction, and as many again while a broken one
/// has not been closed yet. With few sockets, at most one in [`PEER_RESERVE_DIVISOR`] for all peers.
pub const CONNECTIONS_PER_PEER: usize = 4;

/// See [`CONNECTIONS_PER_PEER`].
pub const PEER_RESERVE_DIVISOR: usize = 8;

/// One socket in so many is reserved for calls to the state service, the cloud and licence servers.
/// Of 3,000 that is 187, enough for 90 requests a second that take 2 s each.
pub const EXTERNAL_CALL_RESERVE_DIVISOR: usize = 16;

/// One socket in so many is reserved for calls to workers. Of 3,000 that is 250: the 200 calls
/// that may be in progress, and idle connections.
pub const WORKER_CALL_RESERVE_DIVISOR: usize = 12;

/// One socket in so many is reserved for users. Of 3,000 that is 375.
pub const USER_RESERVE_DIVISOR: usize = 8;

/// One socket in so many is reserved for workers. This does not bound their number: a worker that
/// finds no slot is served, and its connection closes with the response.
pub const WORKER_RESERVE_DIVISOR: usize = 8;

/// One socket in so many is reserved for clients that have not sent a request yet, and for those
/// whose connection closes with the response. Of 3,000 that is 250, enough for 5,000 of them a second
/// with responses after 50 ms.
pub const UNIDENTIFIED_RESERVE_DIVISOR: usize = 12;

/// While less than one in so many shared slots is free, responses to workers close their
/// connections. Workers come first because they reconnect within a report interval; the remaining
/// slots are for users.
pub const WORKER_CLOSE_DIVISOR: usize = 8;

/// While less than one in so many shared slots is free, responses to users close their connections.
pub const USER_CLOSE_DIVISOR: usize = 16;

/// While sockets are short, a worker's idle connection is kept for so many report intervals. A
/// worker reports within 1.25 of them, so a report in transit meets an open connection, while the
/// connections of released machines are closed.
pub const SHORT_IDLE_REPORT_INTERVALS: f64 = 1.5;

/// How long a client may keep a connection without sending a request while unidentified clients
/// find no slot, in ms: longer than any request is in transit.
pub const SHORT_UNIDENTIFIED_IDLE_MS: u64 = 2_000;

/// How long clients wait in the listen queue for a slot before they are refused, in ms. A load
/// balancer tries the next node after 500 ms; an iteration of the event loop in which responses close
/// connections takes about 50 ms.
pub const MAX_QUEUE_WAIT_MS: u64 = 300;

/// Iterations of the event loop for which clients wait in the listen queue at least: after a
/// suspension, the process has not yet sent the responses that close connections.
pub const MIN_QUEUE_WAIT_ITERATIONS: u32 = 3;

/// A shortage ends once nothing has been closed or refused because of it for so long, in ms, so that
/// one that comes and goes with the daily load is reported once.
pub const SHORTAGE_QUIET_MS: u64 = 60_000;
