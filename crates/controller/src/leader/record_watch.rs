//! The watch on the records of live jobs and open clusters, which follows the initial read.

use super::LeaderTerm;
use super::calls::TermCall;
use crate::condor;
use crate::constants::{JOB_WATCH_LONG_POLL_MS, WATCH_SLACK_MS, WRITE_RETRY_MS};
use crate::election::{Election, ElectionEvent};
use crate::io::{Io, Method, Outcome};
use crate::model::{JobId, JobSpec, Timestamp};
use crate::protocol::{self, paths};
use crate::storage::records::{self, Record};
use std::sync::Arc;

/// Progress of the watch.
#[derive(Debug, Default)]
pub(super) struct RecordWatch {
    in_flight: bool,
    next_at: Timestamp,
    revision: u64,
}

impl RecordWatch {
    /// Starts the watch at the revision at which the initial read began.
    pub(super) fn start_at(&mut self, revision: u64) {
        self.revision = revision;
    }

    /// Path of the next call, if one is due; marks it as in flight. Its response waits for a change for up to
    /// `hold_ms`.
    fn next_call(&mut self, hold_ms: u64, now: Timestamp) -> Option<String> {
        if self.in_flight || now < self.next_at {
            return None;
        }
        self.in_flight = true;
        Some(paths::watch(records::JOB_PREFIX, self.revision, hold_ms))
    }

    /// Records that all changes up to this revision have been received.
    fn on_changes(&mut self, revision: u64, now: Timestamp) {
        self.next_at = now;
        self.revision = self.revision.max(revision);
    }

    /// Schedules a retry of a failed call.
    fn on_failure(&mut self, now: Timestamp) {
        self.next_at = now + WRITE_RETRY_MS;
    }
}

impl LeaderTerm {
    /// Requests the next changes, if no call is in flight. While starts are withheld, the response must not wait for
    /// a change.
    pub(super) fn poll_watch(&mut self, io: &mut Io) {
        let hold_ms = if self.commands.has_withheld_starts() {
            0
        } else {
            JOB_WATCH_LONG_POLL_MS
        };
        let Some(path) = self.watch.next_call(hold_ms, io.now) else {
            return;
        };
        let timeout_ms = hold_ms + WATCH_SLACK_MS;
        let kind = TermCall::Watch { sent: io.now };
        self.state_call(Method::Get, path, Vec::new(), timeout_ms, kind, io);
    }

    /// Handles the changes received from the watch.
    pub(super) fn handle_watch_response(
        &mut self,
        sent: Timestamp,
        outcome: &Outcome,
        election: &mut Election,
        io: &mut Io,
    ) -> Option<ElectionEvent> {
        self.watch.in_flight = false;
        let Some(changes) = outcome.read::<protocol::WatchResponse>(&[200]) else {
            if outcome.status() == Some(410) {
                // The changes since the revision are compacted. Only reading all records again
                // tells which jobs have ended, and only a new token fences off this term's
                // operations in flight: reading within the same term could miss a start whose write
                // is still under way and treat it as disproved.
                return election.hand_over("it is too far behind", io);
            }
            self.watch.on_failure(io.now);
            return None;
        };
        self.watch.on_changes(changes.revision, io.now);
        for event in changes.events {
            self.apply_event(event, io);
        }
        // Only after all changes have been applied.
        self.watermark.advance(sent);
        self.commands.mark_withheld_due();
        None
    }

    fn apply_event(&mut self, event: protocol::WatchEvent, io: &Io) {
        match event {
            protocol::WatchEvent::Put { key, value, version } => {
                let read = match condor::parse_open_key(&key) {
                    Some(cluster) => self.on_cluster_open(cluster, &value, version),
                    None => JobSpec::from_value(&value).map(|spec| self.on_job_accepted(spec, version, io)),
                };
                if let Err(problem) = read {
                    log::error!("record ignored key={key}: {problem}");
                }
            }
            protocol::WatchEvent::Delete { key } => {
                if let Some(cluster) = condor::parse_open_key(&key) {
                    self.on_cluster_closed(cluster);
                } else if let Some(job) = key.strip_prefix(records::JOB_PREFIX) {
                    self.on_job_ended(&JobId(Arc::from(job)), io.now);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
