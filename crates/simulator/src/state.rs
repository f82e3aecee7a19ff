//! A model of the state service that follows its published protocol.

use indigopath_controller::protocol::{
    Change, LeaseRequest, LeaseResponse, StoredItem, StoredPage, Transaction, WatchEvent, WatchResponse,
};
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};

/// Number of changes that the service retains for watches.
const WATCH_HISTORY_SIZE: usize = 10_000;

/// Keys with versions and leases, and the history of changes that watches read.
#[derive(Default)]
pub struct StateService {
    pub revision: u64,
    keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    leases: BTreeMap<u64, (u64, u64)>,
    next_lease: u64,
    history: VecDeque<(u64, WatchEvent)>,
    pub outage: bool,
    outage_started_at: Option<u64>,
    /// Transactions that failed because a condition on the leader's key no longer held.
    pub fenced_transactions: u32,
    /// Puts and deletes executed so far.
    pub applied_changes: u64,
    /// Largest number of items in a page, where a scenario makes it smaller than requested.
    pub page_items: Option<usize>,
    /// Limits on requests and changes per second, where a scenario sets them.
    pub rate_limits: Option<(f64, f64)>,
    /// Remaining requests and changes, and the time of the last update.
    remaining_quota: (f64, f64, u64),
    /// Changes up to this revision are no longer available to watches, however few there are.
    compacted_revision: u64,
}

/// A response, or a watch that keeps waiting.
pub enum Reply {
    Immediate(u16, Value),
    LongPoll { prefix: String, after: u64, until: u64 },
}

impl StateService {
    /// Starts an outage, in which no lease expires.
    pub fn start_outage(&mut self, now: u64) {
        self.outage = true;
        self.outage_started_at = Some(now);
    }

    /// Ends an outage.
    pub fn end_outage(&mut self, now: u64) {
        self.outage = false;
        // Every lease starts its full time again.
        for (ttl, expires) in self.leases.values_mut() {
            *expires = now + *ttl;
        }
        self.outage_started_at = None;
    }

    /// Revokes the expired leases.
    pub fn expire_leases(&mut self, now: u64) {
        if self.outage {
            return;
        }
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, expires))| *expires < now)
            .map(|(id, _)| *id)
            .collect();
        for lease in expired {
            self.revoke_lease(lease);
        }
    }

    /// Deletes a lease and its keys; returns whether it existed.
    fn revoke_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, value)| value.2 == Some(lease))
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            for key in keys {
                self.delete(&key);
            }
        }
        true
    }

    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.record_event(WatchEvent::Delete { key: key.to_owned() });
        }
    }

    fn record_event(&mut self, event: WatchEvent) {
        self.history.push_back((self.revision, event));
        if self.history.len() > WATCH_HISTORY_SIZE {
            self.history.pop_front();
        }
    }

    /// Stores a value as another version of the software would have.
    pub fn put_externally(&mut self, key: &str, value: Value) {
        let body = json!({ "If": [], "Then": [{ "Put": key, "V": value }] });
        self.handle("POST", "/multi", body.to_string().as_bytes(), 0);
    }

    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<&Value> {
        self.keys.get(key).map(|(value, _, _)| value)
    }

    /// The values of all keys with this prefix.
    pub fn values_under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Value> {
        let keys = self.keys.iter().filter(move |(key, _)| key.starts_with(prefix));
        keys.map(|(_, (value, _, _))| value)
    }

    /// The number of keys with this prefix.
    pub fn count(&self, prefix: &str) -> usize {
        self.keys.keys().filter(|key| key.starts_with(prefix)).count()
    }

    /// The response to a watch now, if there are changes.
    pub fn watch_response(&self, prefix: &str, after: u64) -> Option<Value> {
        // The history is ordered by revision, so most watches read none of its 10,000 changes.
        let since = self.history.partition_point(|(revision, _)| *revision <= after);
        let events: Vec<WatchEvent> = self
            .history
            .iter()
            .skip(since)
            .filter(|(_, event)| {
                let key = match event {
                    WatchEvent::Put { key, .. } | WatchEvent::Delete { key } => key,
                };
                key.starts_with(prefix)
            })
            .map(|(_, event)| event.clone())
            .collect();
        (!events.is_empty()).then(|| {
            serde_json::to_value(WatchResponse {
                revision: self.revision,
                events,
            })
            .unwrap()
        })
    }

    pub fn empty_watch_response(&self) -> Value {
        json!({ "Ledger": self.revision, "News": [] })
    }

    /// Whether a request is within the rate limits; bursts of one second are allowed.
    pub fn admits_request(&mut self, path: &str, body: &[u8], now: u64) -> bool {
        let Some((requests, changes)) = self.rate_limits else {
            return true;
        };
        let (mut left, mut left_changes, at) = self.remaining_quota;
        let elapsed = now.saturating_sub(at) as f64 / 1000.0;
        left = (left + elapsed * requests).min(requests);
        left_changes = (left_changes + elapsed * changes).min(changes);
        let transaction = (path == "/multi").then(|| serde_json::from_slice::<Transaction>(body).ok());
        let wants = transaction.flatten().map_or(0, |body| body.changes.len()) as f64;
        let admits = left >= 1.0 && left_changes >= wants;
        if admits {
            left -= 1.0;
            left_changes -= wants;
        }
        self.remaining_quota = (left, left_changes, now);
        admits
    }

    /// The records under a prefix with their versions.
    pub fn records<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a Value, u64)> {
        let keys = self.keys.iter().filter(move |(key, _)| key.starts_with(prefix));
        keys.map(|(key, (value, version, _))| (key.as_str(), value, *version))
    }

    /// Changes or deletes a record, as a client other than the controllers would.
    pub fn modify_externally(&mut self, key: &str, value: Option<Value>) {
        self.revision += 1;
        match value {
            Some(value) => {
                let version = self.revision;
                self.keys.insert(key.to_owned(), (value.clone(), version, None));
                let key = key.to_owned();
                self.record_event(WatchEvent::Put { key, value, version });
            }
            None => self.delete(key),
        }
    }

    /// Discards the history, as after 10,000 more changes.
    pub fn compact_history(&mut self) {
        self.history.clear();
        self.compacted_revision = self.revision;
    }

    /// Executes a request.
    pub fn handle(&mut self, method: &str, path: &str, body: &[u8], now: u64) -> Reply {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let query: BTreeMap<&str, &str> = query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        match (method, path) {
            ("POST", "/multi") => self.transaction(body),
            ("POST", "/holds") => {
                let request: LeaseRequest = serde_json::from_slice(body).unwrap();
                self.next_lease += 1;
                self.leases
                    .insert(self.next_lease, (request.ttl_ms, now + request.ttl_ms));
                Reply::Immediate(
                    200,
                    serde_json::to_value(LeaseResponse {
                        lease: self.next_lease,
                    })
                    .unwrap(),
                )
            }
            ("GET", "/store") => self.list_page(&query),
            ("GET", "/changes") => {
                let after: u64 = query["From"].parse().unwrap();
                let hold: u64 = query["HoldMs"].parse().unwrap();
                let is_discarded = self.history.len() >= WATCH_HISTORY_SIZE && self.history[0].0 > after;
                if is_discarded || after < self.compacted_revision {
                    return Reply::Immediate(410, json!({}));
                }
                match self.watch_response(query["Under"], after) {
                    Some(watch_response) => Reply::Immediate(200, watch_response),
                    None => Reply::LongPoll {
                        prefix: query["Under"].to_owned(),
                        after,
                        until: now + hold,
                    },
                }
            }
            _ => self.handle_single_key(method, path, now),
        }
    }

    fn handle_single_key(&mut self, method: &str, path: &str, now: u64) -> Reply {
        if let Some(key) = path.strip_prefix("/store/") {
            return match self.keys.get(key) {
                Some((value, version, lease)) => {
                    let item = StoredItem {
                        key: key.to_owned(),
                        value: value.clone(),
                        version: *version,
                        lease: *lease,
                    };
                    Reply::Immediate(200, serde_json::to_value(item).unwrap())
                }
                None => Reply::Immediate(404, json!({ "Ledger": self.revision })),
            };
        }
        let Some(rest) = path.strip_prefix("/holds/") else {
            return Reply::Immediate(400, json!({}));
        };
        if method == "DELETE" {
            let known = self.revoke_lease(rest.parse().unwrap());
            return Reply::Immediate(if known { 200 } else { 404 }, json!({}));
        }
        let lease: u64 = rest.trim_end_matches("/touch").parse().unwrap();
        match self.leases.get_mut(&lease) {
            Some((ttl, expires)) => {
                *expires = now + *ttl;
                Reply::Immediate(200, json!({ "Permit": lease }))
            }
            None => Reply::Immediate(404, json!({})),
        }
    }

    fn list_page(&self, query: &BTreeMap<&str, &str>) -> Reply {
        let prefix = query["Under"];
        let after = query.get("From").copied().unwrap_or("");
        let limit: usize = query.get("Limit").map_or(1000, |limit| limit.parse().unwrap());
        let limit = limit.min(self.page_items.unwrap_or(limit));
        let mut items: Vec<StoredItem> = self
            .keys
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .take(limit + 1)
            .map(|(key, (value, version, _))| StoredItem {
                key: key.clone(),
                value: value.clone(),
                version: *version,
                lease: None,
            })
            .collect();
        let more = items.len() > limit;
        items.truncate(limit);
        Reply::Immediate(
            200,
            serde_json::to_value(StoredPage {
                items,
                has_more: more,
                revision: self.revision,
            })
            .unwrap(),
        )
    }

    /// Executes a transaction if all its conditions hold.
    fn transaction(&mut self, body: &[u8]) -> Reply {
        assert!(body.len() <= 64 * 1024, "a transaction of {} bytes", body.len());
        let transaction: Transaction = serde_json::from_slice(body).unwrap();
        assert!(
            transaction.changes.len() <= 12,
            "{} changes in one transaction",
            transaction.changes.len()
        );
        assert!(
            transaction.conditions.len() <= 48,
            "{} conditions in one transaction",
            transaction.conditions.len()
        );
        let failed: Vec<String> = transaction
            .conditions
            .iter()
            .filter(|condition| self.keys.get(&condition.key).map_or(0, |value| value.1) != condition.version)
            .map(|condition| condition.key.clone())
            .collect();
        let lost_lease = transaction.changes.iter().any(|change| match change {
            Change::Put {
                lease: Some(lease), ..
            } => !self.leases.contains_key(lease),
            _ => false,
        });
        if lost_lease {
            return Reply::Immediate(400, json!({ "error": "no such lease" }));
        }
        if !failed.is_empty() {
            let claim = transaction
                .conditions
                .iter()
                .any(|condition| condition.key == "leader" && condition.version == 0);
            self.fenced_transactions += u32::from(!claim && failed.iter().any(|key| key == "leader"));
            return Reply::Immediate(409, json!({ "failed": failed, "Ledger": self.revision }));
        }
        self.revision += u64::from(!transaction.changes.is_empty());
        self.applied_changes += transaction.changes.len() as u64;
        for change in transaction.changes {
            match change {
                Change::Put { key, value, lease } => {
                    assert!(
                        !key.is_empty() && key.len() <= 200 && !key.contains(' '),
                        "key {key:?}"
                    );
                    assert!(
                        value.to_string().len() <= 16 * 1024,
                        "value of {key} is too large"
                    );
                    self.keys
                        .insert(key.clone(), (value.clone(), self.revision, lease));
                    self.record_event(WatchEvent::Put {
                        key,
                        value,
                        version: self.revision,
                    });
                }
                Change::Delete { key } => self.delete(&key),
            }
        }
        Reply::Immediate(200, json!({ "Ledger": self.revision }))
    }
}
