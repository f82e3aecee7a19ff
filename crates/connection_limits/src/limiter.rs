//! The connection slots of one process: which connections may be opened, and which are closed to free
//! slots for others.

use crate::constants::{
    CONNECTIONS_PER_PEER, EXTERNAL_CALL_RESERVE_DIVISOR, MAX_QUEUE_WAIT_MS, MIN_QUEUE_WAIT_ITERATIONS,
    PEER_RESERVE_DIVISOR, PROCESS_RESERVE, PROCESS_RESERVE_DIVISOR, SHORT_IDLE_REPORT_INTERVALS,
    SHORT_UNIDENTIFIED_IDLE_MS, UNIDENTIFIED_RESERVE_DIVISOR, USER_CLOSE_DIVISOR, USER_RESERVE_DIVISOR,
    WORKER_CALL_RESERVE_DIVISOR, WORKER_CLOSE_DIVISOR, WORKER_RESERVE_DIVISOR,
};
use crate::shortage::{ShortageCounts, ShortageEvent, ShortageTracker};
use crate::{ConnectionClass, PerClass, Timestamp};
use std::error::Error;
use std::fmt;

/// The sockets that a process may have, and how long idle connections live.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Sockets of the process.
    pub sockets: usize,
    /// Number of other controllers.
    pub peers: usize,
    /// How long an idle connection is kept while sockets suffice, in ms.
    pub idle_ms: Timestamp,
    /// Interval of workers' reports, in ms.
    pub report_ms: Timestamp,
}

/// The slot of one connection. It is created by [`ConnectionLimiter::open`] and consumed by
/// [`ConnectionLimiter::close`], exactly once, since it can be neither copied nor constructed elsewhere.
#[derive(Debug, PartialEq, Eq)]
pub struct ConnectionSlot {
    /// The class that the slot is counted with.
    counted_as: ConnectionClass,
    /// What the connection is for.
    class: ConnectionClass,
}

impl ConnectionSlot {
    /// What the connection is for.
    pub fn class(&self) -> ConnectionClass {
        self.class
    }
}

/// There is no slot for another connection of this class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoCapacity(pub ConnectionClass);

impl fmt::Display for NoCapacity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "no free slot for another connection of class {}",
            self.0.name()
        )
    }
}

impl Error for NoCapacity {}

/// Clients that wait in the listen queue because no slot is free.
#[derive(Debug, Clone, Copy)]
struct ListenQueueWait {
    since: Timestamp,
    iterations: u32,
}

/// The connection slots of one process.
#[derive(Debug)]
pub struct ConnectionLimiter {
    reserve: PerClass<usize>,
    /// Slots beyond all reserves.
    shared: usize,
    /// Open connections, by the class that they are counted with.
    open: PerClass<usize>,
    idle_ms: Timestamp,
    /// Idle timeout of workers' connections while sockets are short.
    short_worker_idle_ms: Timestamp,
    shortage: ShortageTracker,
    listen_queue_wait: Option<ListenQueueWait>,
}

fn reserves(limits: &Limits) -> PerClass<usize> {
    let sockets = limits.sockets;
    PerClass::from_fn(|class| match class {
        ConnectionClass::Unidentified => (sockets / UNIDENTIFIED_RESERVE_DIVISOR).max(1),
        ConnectionClass::User => sockets / USER_RESERVE_DIVISOR,
        ConnectionClass::Worker => sockets / WORKER_RESERVE_DIVISOR,
        ConnectionClass::Peer => (CONNECTIONS_PER_PEER * limits.peers).min(sockets / PEER_RESERVE_DIVISOR),
        ConnectionClass::ExternalCall => sockets / EXTERNAL_CALL_RESERVE_DIVISOR,
        ConnectionClass::WorkerCall => sockets / WORKER_CALL_RESERVE_DIVISOR,
    })
}

impl ConnectionLimiter {
    /// A limiter with no open connection.
    pub fn new(limits: &Limits) -> ConnectionLimiter {
        let sockets = limits.sockets;
        let process_reserve = PROCESS_RESERVE.min(sockets / PROCESS_RESERVE_DIVISOR);
        let reserve = reserves(limits);
        let short_worker_idle_ms = (limits.report_ms as f64 * SHORT_IDLE_REPORT_INTERVALS) as Timestamp;
        ConnectionLimiter {
            shared: sockets.saturating_sub(process_reserve + reserve.sum()),
            reserve,
            open: PerClass::default(),
            idle_ms: limits.idle_ms,
            short_worker_idle_ms: short_worker_idle_ms.min(limits.idle_ms),
            shortage: ShortageTracker::default(),
            listen_queue_wait: None,
        }
    }

    /// Returns the number of free shared slots.
    fn free(&self) -> usize {
        let used = ConnectionClass::ALL
            .iter()
            .map(|&class| self.borrowed(class))
            .sum();
        self.shared.saturating_sub(used)
    }

    /// Returns the number of shared slots that a class uses.
    fn borrowed(&self, class: ConnectionClass) -> usize {
        self.open[class].saturating_sub(self.reserve[class])
    }

    fn has_capacity(&self, class: ConnectionClass) -> bool {
        self.open[class] < self.reserve[class] || self.free() > 0
    }

    /// Takes a slot for another connection.
    ///
    /// # Errors
    /// Neither the reserve of the class nor the shared part has a free slot. This is not counted as a
    /// refusal; a caller that gives up calls [`ConnectionLimiter::refuse`].
    pub fn open(&mut self, class: ConnectionClass, now: Timestamp) -> Result<ConnectionSlot, NoCapacity> {
        if !self.has_capacity(class) {
            self.shortage.record_short(now);
            return Err(NoCapacity(class));
        }
        self.open[class] += 1;
        if class == ConnectionClass::Unidentified {
            self.listen_queue_wait = None;
        }
        Ok(ConnectionSlot {
            counted_as: class,
            class,
        })
    }

    /// Frees the slot of a closed connection.
    pub fn close(&mut self, slot: ConnectionSlot) {
        self.decrement_open(slot.counted_as);
    }

    fn decrement_open(&mut self, class: ConnectionClass) {
        // Only `open` creates slots and only `identify` moves them, so this cannot go below zero.
        self.open[class] = self.open[class].saturating_sub(1);
    }

    /// Records a connection that was not opened, or was closed at once, because no slot was free.
    pub fn refuse(&mut self, refused: NoCapacity, now: Timestamp) {
        self.shortage.record_refused(refused.0, now);
    }

    /// Sets the class of a connection, as shown by its first request. If that class has no free slot,
    /// the connection stays counted as before until its response, which then closes it.
    pub fn identify(&mut self, slot: &mut ConnectionSlot, class: ConnectionClass) {
        slot.class = class;
        if slot.counted_as == class {
            return;
        }
        self.decrement_open(slot.counted_as);
        if self.has_capacity(class) {
            slot.counted_as = class;
        }
        self.open[slot.counted_as] += 1;
    }

    /// Returns whether a response sent now closes its connection; if so, the closure is counted.
    pub fn response_closes(&mut self, slot: &ConnectionSlot, now: Timestamp) -> bool {
        let min_free = match slot.class {
            ConnectionClass::Worker => self.shared.div_ceil(WORKER_CLOSE_DIVISOR),
            ConnectionClass::User => self.shared.div_ceil(USER_CLOSE_DIVISOR),
            _ => return false,
        };
        // Closing a connection within its class's reserve would free no slot for others.
        let closes =
            slot.counted_as != slot.class || (self.borrowed(slot.class) > 0 && self.free() < min_free);
        if closes {
            self.shortage.record_response_close(slot.class, now);
        }
        closes
    }

    /// Returns whether an idle connection to another system may be kept, while `idle` others of its
    /// class are idle and at most `max_idle` may be. Idle connections are kept in the class's reserve only.
    pub fn keeps_idle(&self, slot: &ConnectionSlot, idle: usize, max_idle: usize) -> bool {
        idle < max_idle && self.borrowed(slot.class) == 0
    }

    /// Returns how long a connection without requests may stay open, in ms.
    pub fn idle_ms(&self, slot: &ConnectionSlot) -> Timestamp {
        match slot.class {
            ConnectionClass::Worker if self.free() < self.shared.div_ceil(WORKER_CLOSE_DIVISOR) => {
                self.short_worker_idle_ms
            }
            ConnectionClass::Unidentified if !self.has_capacity(ConnectionClass::Unidentified) => {
                SHORT_UNIDENTIFIED_IDLE_MS.min(self.idle_ms)
            }
            _ => self.idle_ms,
        }
    }

    /// Records that a connection was closed after `unused_ms` of idleness; it is counted if that was
    /// before the usual timeout.
    pub fn idle_closed(&mut self, slot: &ConnectionSlot, unused_ms: Timestamp, now: Timestamp) {
        if unused_ms < self.idle_ms {
            self.shortage.record_idle_close(slot.class, now);
        }
    }

    /// Returns whether clients for which no slot is free in this iteration of the event loop may wait in
    /// the listen queue. Otherwise they must be refused.
    pub fn may_wait(&mut self, now: Timestamp) -> bool {
        self.shortage.record_short(now);
        let wait = self.listen_queue_wait.get_or_insert(ListenQueueWait {
            since: now,
            iterations: 0,
        });
        wait.iterations = wait.iterations.saturating_add(1);
        now < wait.since + MAX_QUEUE_WAIT_MS || wait.iterations <= MIN_QUEUE_WAIT_ITERATIONS
    }

    /// Records that the listen queue is empty, so that the next clients that find no slot may wait for
    /// the whole time.
    pub fn listen_queue_empty(&mut self) {
        self.listen_queue_wait = None;
    }

    /// Returns the next event to report to operators, at most one for each change.
    pub fn next_event(&mut self, now: Timestamp) -> Option<ShortageEvent> {
        self.shortage.next_event(now)
    }

    /// Returns the number of open connections, by the class that they are counted with.
    pub fn open_counts(&self) -> PerClass<u64> {
        PerClass::from_fn(|class| self.open[class] as u64)
    }

    /// Returns the connections refused and closed for lack of sockets since the process started.
    pub fn shortage_counts(&self) -> ShortageCounts {
        self.shortage.counts()
    }
}

#[cfg(test)]
mod tests;
