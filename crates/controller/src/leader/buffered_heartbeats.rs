//! Heartbeats that come while the records are being read. Until then a leader cannot tell which of a
//! worker's tasks belong to jobs that are over, so an answer would renew its lease for nothing that
//! can be proved; turned away, the whole fleet would go round all nodes. So they are kept, for less
//! than their workers wait.

use crate::constants::{BUFFERED_HEARTBEAT_MS, BUFFERED_HEARTBEATS};
use crate::io::{Io, RequestId};
use crate::model::Timestamp;
use crate::protocol::Heartbeat;
use std::collections::VecDeque;

/// A heartbeat whose worker waits for an answer.
#[derive(Debug)]
struct BufferedHeartbeat {
    request: RequestId,
    heartbeat: Heartbeat,
    received_at: Timestamp,
}

impl BufferedHeartbeat {
    fn size(&self) -> usize {
        1 + self.heartbeat.tasks.len()
    }
}

/// Heartbeats in the order of their arrival, bounded by their size.
#[derive(Debug, Default)]
pub(super) struct BufferedHeartbeats {
    queue: VecDeque<BufferedHeartbeat>,
    /// What they hold, as [`BUFFERED_HEARTBEATS`] counts it.
    size: usize,
}

impl BufferedHeartbeats {
    /// Keeps a heartbeat, or turns its worker away where there are too many.
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

    /// Turns away whoever has waited for too long.
    pub(super) fn reject_expired(&mut self, io: &mut Io) {
        let now = io.now;
        let late = |buffered: &BufferedHeartbeat| now >= buffered.received_at + BUFFERED_HEARTBEAT_MS;
        while self.queue.front().is_some_and(late) {
            if let Some((request, _)) = self.pop() {
                reject(request, io);
            }
        }
    }

    /// The longest kept one, to be answered now.
    pub(super) fn pop(&mut self) -> Option<(RequestId, Heartbeat)> {
        let buffered = self.queue.pop_front()?;
        self.size -= buffered.size();
        Some((buffered.request, buffered.heartbeat))
    }
}

/// Refuses a heartbeat: its worker asks another node.
pub(super) fn reject(request: RequestId, io: &mut Io) {
    io.reply_error(request, 503, "which jobs are over is not known here");
}

#[cfg(test)]
mod tests;
