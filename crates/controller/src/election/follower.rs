//! The follower: it reads and watches the leader's key, and becomes a candidate when there is none.

use super::{Election, NextCall, PendingCall};
use crate::constants::{
    CLAIM_JITTER_MS, ELECTION_BACKOFF_VACANT_MS, LEADER_LOOKUP_RETRY_MS, RELEASED_LEASE_BACKOFF_MS,
    STATE_TIMEOUT_MS, WATCH_LONG_POLL_MS, WATCH_SLACK_MS,
};
use crate::io::{Io, Method, Outcome};
use crate::model::Timestamp;
use crate::protocol::{StoredItem, StoredPage, TransactionResponse, WatchEvent, WatchResponse, paths};
use crate::storage::records::{LEADER_KEY, LeaderRecord, Record};
use rand::RngExt;
use serde_json::Value;

/// The leader's key as read at a revision.
struct KeyReading {
    item: Option<StoredItem>,
    revision: u64,
}

impl KeyReading {
    /// From the response to a read of the key itself. For an existing key it contains only the
    /// key's own version.
    fn from_key(outcome: &Outcome) -> Option<KeyReading> {
        if let Some(item) = outcome.read::<StoredItem>(&[200]) {
            let revision = item.version;
            return Some(KeyReading {
                item: Some(item),
                revision,
            });
        }
        let absent = outcome.read::<TransactionResponse>(&[404])?;
        Some(KeyReading {
            item: None,
            revision: absent.revision,
        })
    }

    /// From the response to a read of a page, which contains the revision of the state service.
    fn from_page(outcome: &Outcome) -> Option<KeyReading> {
        let page = outcome.read::<StoredPage>(&[200])?;
        Some(KeyReading {
            item: page.items.into_iter().find(|item| item.key == LEADER_KEY),
            revision: page.revision,
        })
    }
}

impl Election {
    /// The key's own version does not reflect the changes since. If the state service no longer
    /// keeps those, each watch from that version is refused, and the key would be read again
    /// without pause until the leader changes it. Therefore a node that is behind reads a page,
    /// which contains the current revision.
    pub(super) fn read_key(&mut self, io: &mut Io) {
        let path = if self.revision_compacted {
            paths::page(LEADER_KEY, None, 1)
        } else {
            paths::key(LEADER_KEY)
        };
        let call = io.state_call(Method::Get, path, Vec::new(), STATE_TIMEOUT_MS);
        self.calls.insert(call, PendingCall::ReadKey);
    }

    /// Watches the key; during a backoff only until leadership has been vacant long enough to end
    /// it.
    pub(super) fn watch_key(&mut self, io: &mut Io) {
        let left_ms = |since: Timestamp| (since + ELECTION_BACKOFF_VACANT_MS).saturating_sub(io.now);
        let long_poll_ms = self
            .vacant_since
            .map_or(WATCH_LONG_POLL_MS, left_ms)
            .min(WATCH_LONG_POLL_MS);
        let path = paths::watch(LEADER_KEY, self.revision, long_poll_ms);
        let call = io.state_call(Method::Get, path, Vec::new(), long_poll_ms + WATCH_SLACK_MS);
        self.calls.insert(call, PendingCall::WatchKey);
    }

    pub(super) fn retry(&mut self, io: &mut Io) {
        self.next_call = NextCall::ReadKey;
        self.next_call_at = io.now + LEADER_LOOKUP_RETRY_MS + io.rng.random_range(0..LEADER_LOOKUP_RETRY_MS);
    }

    pub(super) fn on_key_read(&mut self, outcome: &Outcome, io: &mut Io) {
        let read_page = std::mem::take(&mut self.revision_compacted);
        let reading = if read_page {
            KeyReading::from_page(outcome)
        } else {
            KeyReading::from_key(outcome)
        };
        let Some(KeyReading { item, revision }) = reading else {
            self.revision_compacted = read_page;
            self.retry(io);
            return;
        };
        self.revision = revision;
        let is_first = !std::mem::replace(&mut self.has_read, true);
        let Some(item) = item else {
            self.on_vacant(io);
            return;
        };
        self.learn_leader(&item.value);
        let abandoned = self.is_abandoned(&item.value, is_first);
        match item.lease.filter(|_| abandoned) {
            Some(lease) => self.release_abandoned(lease, io),
            None => {
                // A page does not contain the lease; the key does.
                self.next_call = if abandoned && read_page {
                    NextCall::ReadKey
                } else {
                    NextCall::WatchKey
                };
                self.next_call_at = io.now;
            }
        }
    }

    pub(super) fn on_watch(&mut self, outcome: &Outcome, io: &mut Io) {
        let Some(changes) = outcome.read::<WatchResponse>(&[200]) else {
            self.retry(io);
            if outcome.status() == Some(410) {
                self.revision_compacted = true;
                self.next_call_at = io.now;
            }
            return;
        };
        self.revision = self.revision.max(changes.revision);
        self.next_call_at = io.now;
        let mut vacant = false;
        for event in &changes.events {
            match event {
                WatchEvent::Put { key, value, .. } if key == LEADER_KEY => {
                    self.learn_leader(value);
                    vacant = false;
                }
                WatchEvent::Delete { key } if key == LEADER_KEY => vacant = true,
                _ => (),
            }
        }
        if vacant {
            self.on_vacant(io);
        } else if self.known_leader.is_none() {
            // After a backoff, or when a claim of this node expires.
            self.next_call = NextCall::ReadKey;
            self.next_call_at = io.now + LEADER_LOOKUP_RETRY_MS;
        }
    }

    fn learn_leader(&mut self, value: &Value) {
        self.vacant_since = None;
        match LeaderRecord::from_value(value) {
            // A claim of this node that was executed without a response, or one of its previous
            // process: nobody acts on it, so it is released or expires.
            Ok(record) if record.node == self.node => self.known_leader = None,
            Ok(record) => self.known_leader = Some(record.node),
            Err(error) => log::error!("leader record unusable: {error}"),
        }
    }

    /// Whether the key, as read by a node that does not lead, belongs to this node. Either an
    /// earlier process of the node claimed it, which has ended, because a node is a single process.
    /// Or this process did and never learned of it: the response was lost, or the claim was
    /// executed after its timeout. Another process's claim is only recognized by the first read:
    /// otherwise two processes that wrongly have the same name would depose each other forever.
    fn is_abandoned(&self, value: &Value, is_first: bool) -> bool {
        LeaderRecord::from_value(value).is_ok_and(|record| {
            record.node == self.node && (is_first || record.incarnation == self.incarnation)
        })
    }

    /// Releases a lease under which nobody acts any more, so that nobody has to wait for its
    /// expiry. Anything of its term that is still in flight is refused as after any other failover:
    /// its transactions and its claim by the key's version and the lease, its commands by the next
    /// token, its calls to the cloud by their records.
    fn release_abandoned(&mut self, lease: u64, io: &mut Io) {
        log::info!("lease released: the leader key belongs to an earlier claim of this node");
        self.call_in_flight = true;
        self.release(lease, PendingCall::ReleaseAbandonedLease, io);
    }

    pub(super) fn on_abandoned_lease_released(&mut self, io: &mut Io) {
        // Peers have seen the deletion of the key and know the fleet already, so they go first.
        self.next_call = NextCall::ReadKey;
        self.next_call_at = io.now + RELEASED_LEASE_BACKOFF_MS;
    }

    /// Leadership is vacant. A node that backs off leaves it to others, unless there are none.
    fn on_vacant(&mut self, io: &mut Io) {
        self.known_leader = None;
        let backs_off = io.now < self.back_off_until;
        if backs_off && io.now < *self.vacant_since.get_or_insert(io.now) + ELECTION_BACKOFF_VACANT_MS {
            self.next_call = NextCall::WatchKey;
            self.next_call_at = io.now;
        } else {
            self.vacant_since = None;
            self.next_call = NextCall::GrantLease;
            self.next_call_at = io.now + io.rng.random_range(0..=CLAIM_JITTER_MS);
        }
    }
}
