//! Buffer for heartbeats that arrive during recovery.
//!
//! Before recovery is complete, the leader cannot tell which of a worker's tasks belong to jobs that have
//! ended, so a reply would renew the lease of tasks that may have been cancelled. If the heartbeats were
//! rejected, the whole fleet would try all controllers in turn. They are therefore buffered, for less than
//! the time that a worker waits for a reply.

use crate::constants::{BUFFERED_HEARTBEAT_MS, BUFFERED_HEARTBEATS};
use crate::io::{Io, RequestId};
use crate::model::Timestamp;
use crate::protocol::Heartbeat;
use std::collections::VecDeque;

/// A heartbeat whose worker waits for a reply.
#[derive(Debug)]
struct BufferedHeartbeat {
    request: RequestId,
    heartbeat: Heartbeat,
    received_at: Timestamp,
}

impl BufferedHeartbeat {
    /// Number of entries that the heartbeat counts for: one, and one per task.
    fn size(&self) -> usize {
        1 + self.heartbeat.tasks.len()
    }
}

/// Heartbeats in order of arrival, bounded by their total size.
#[derive(Debug, Default)]
pub(super) struct BufferedHeartbeats {
    queue: VecDeque<BufferedHeartbeat>,
    /// Total size, limited to [`BUFFERED_HEARTBEATS`].
    size: usize,
}

impl BufferedHeartbeats {
    /// Buffers a heartbeat, or rejects it if the buffer is full.
    pub(super) fn push(&mut self, request: RequestId, heartbeat: &Heartbeat, io: &mut Io) {
        let buffered = BufferedHeartbeat {
            request,
            heartbeat: heartbeat.clone(),
            received_at: io.now,
        };
        if self.size + buffered.size() > BUFFERED_HEARTBEATS {
            reject(request, io);
            return;
        }
        self.size += buffered.size();
        self.queue.push_back(buffered);
    }

    /// Rejects heartbeats that have been buffered for [`BUFFERED_HEARTBEAT_MS`].
    pub(super) fn reject_expired(&mut self, io: &mut Io) {
        let now = io.now;
        let expired = |buffered: &BufferedHeartbeat| now >= buffered.received_at + BUFFERED_HEARTBEAT_MS;
        while self.queue.front().is_some_and(expired) {
            if let Some((request, _)) = self.pop() {
                reject(request, io);
            }
        }
    }

    /// Removes and returns the oldest heartbeat.
    pub(super) fn pop(&mut self) -> Option<(RequestId, Heartbeat)> {
        let buffered = self.queue.pop_front()?;
        self.size -= buffered.size();
        Some((buffered.request, buffered.heartbeat))
    }
}

/// Rejects a heartbeat, so that its worker tries another controller.
pub(super) fn reject(request: RequestId, io: &mut Io) {
    io.reply_error(request, 503, "which jobs are over is not known here");
}

#[cfg(test)]
mod tests;
