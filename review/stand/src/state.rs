//! A stand-in of the state service, with the limits of a site.

use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Limits as the settings name them.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

struct Item {
    value: Value,
    stamp: u64,
    permit: Option<u64>,
}

/// Tokens of a rate that allows bursts of one second's worth.
struct Bucket {
    left: f64,
    at: Instant,
}

impl Bucket {
    fn take(&mut self, rate: f64, count: f64) -> bool {
        let now = Instant::now();
        self.left = (self.left + (now - self.at).as_secs_f64() * rate).min(rate);
        self.at = now;
        let admits = self.left >= count;
        if admits {
            self.left -= count;
        }
        admits
    }
}

struct Store {
    limits: Limits,
    ledger: u64,
    items: BTreeMap<String, Item>,
    holds: BTreeMap<u64, (Duration, Instant)>,
    next_hold: u64,
    news: VecDeque<(u64, String, Value)>,
    requests: Bucket,
    changes: Bucket,
}

/// The state service, shared by the listeners of all controllers.
pub struct State {
    store: Mutex<Store>,
    changed: Condvar,
}

/// Changes that are kept for watches.
const NEWS_KEPT: usize = 10_000;

impl State {
    /// A service that has counted so many changes before.
    pub fn new(limits: Limits, ledger: u64) -> Arc<State> {
        let now = Instant::now();
        Arc::new(State {
            store: Mutex::new(Store {
                limits,
                ledger,
                items: BTreeMap::new(),
                holds: BTreeMap::new(),
                next_hold: 0,
                news: VecDeque::new(),
                requests: Bucket {
                    left: limits.rps,
                    at: now,
                },
                changes: Bucket {
                    left: limits.write_rps,
                    at: now,
                },
            }),
            changed: Condvar::new(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Store> {
        let mut store = self.store.lock().expect("the store");
        store.end_holds();
        store
    }

    /// Changes the limits from now on.
    pub fn set_limits(&self, limits: Limits) {
        self.lock().limits = limits;
    }

    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<Value> {
        self.lock().items.get(key).map(|item| item.value.clone())
    }

    /// The keys under a prefix with the sizes of their values as JSON.
    pub fn sizes(&self, prefix: &str) -> Vec<(String, usize)> {
        let store = self.lock();
        let items = store.items.iter().filter(|(key, _)| key.starts_with(prefix));
        items
            .map(|(key, item)| (key.clone(), item.value.to_string().len()))
            .collect()
    }

    /// Serves a request.
    pub fn handle(&self, method: &str, path: &str, body: &[u8]) -> (u16, String) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let query: BTreeMap<&str, &str> = query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let mut store = self.lock();
        let limits = store.limits;
        if !store.requests.take(limits.rps, 1.0) {
            return (429, "{}".into());
        }
        if (method, path) == ("GET", "/changes") {
            return self.watch(store, &query);
        }
        let before = store.ledger;
        let (status, value) = store.handle(method, path, &query, body);
        if store.ledger != before {
            self.changed.notify_all();
        }
        (status, value.to_string())
    }

    fn watch(&self, mut store: MutexGuard<'_, Store>, query: &BTreeMap<&str, &str>) -> (u16, String) {
        let under = query.get("Under").copied().unwrap_or("").to_owned();
        let from: u64 = query.get("From").and_then(|text| text.parse().ok()).unwrap_or(0);
        let hold: u64 = query
            .get("HoldMs")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(hold.min(60_000));
        loop {
            store.end_holds();
            if store.news.len() >= NEWS_KEPT && store.news.front().is_some_and(|(stamp, ..)| *stamp > from) {
                return (410, "{}".into());
            }
            let since = store.news.partition_point(|(stamp, ..)| *stamp <= from);
            let news: Vec<Value> = store
                .news
                .iter()
                .skip(since)
                .filter(|(_, key, _)| key.starts_with(&under))
                .map(|(_, _, event)| event.clone())
                .collect();
            let now = Instant::now();
            if !news.is_empty() || now >= until {
                return (200, json!({ "Ledger": store.ledger, "News": news }).to_string());
            }
            // Holds end by themselves, so the wait is short.
            let wait = (until - now).min(Duration::from_millis(20));
            store = self.changed.wait_timeout(store, wait).expect("the store").0;
        }
    }
}

impl Store {
    fn end_holds(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .holds
            .iter()
            .filter(|(_, (_, until))| now > *until)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.end_hold(id);
        }
    }

    fn end_hold(&mut self, id: u64) -> bool {
        if self.holds.remove(&id).is_none() {
            return false;
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.permit == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.ledger += 1;
            for key in keys {
                self.delete(&key);
            }
        }
        true
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = json!({ "Delete": key, "Stamp": self.ledger });
            self.push_news(key.to_owned(), event);
        }
    }

    fn push_news(&mut self, key: String, event: Value) {
        self.news.push_back((self.ledger, key, event));
        if self.news.len() > NEWS_KEPT {
            self.news.pop_front();
        }
    }

    fn handle(
        &mut self,
        method: &str,
        path: &str,
        query: &BTreeMap<&str, &str>,
        body: &[u8],
    ) -> (u16, Value) {
        if let ("GET", Some(key)) = (method, path.strip_prefix("/store/")) {
            return match self.items.get(key) {
                Some(item) => (
                    200,
                    json!({ "Path": key, "V": item.value, "Stamp": item.stamp, "Permit": item.permit }),
                ),
                None => (404, json!({ "Ledger": self.ledger })),
            };
        }
        let parsed: Option<Value> = serde_json::from_slice(body).ok();
        match (method, path) {
            ("GET", "/store") => self.page(query),
            ("POST", "/multi") => {
                parsed.map_or((400, json!({})), |body_value| self.multi(&body_value, body.len()))
            }
            ("POST", "/holds") => {
                let Some(life) = parsed.and_then(|value| value["LifeMs"].as_u64()) else {
                    return (400, json!({}));
                };
                self.next_hold += 1;
                let life = Duration::from_millis(life.clamp(100, 600_000));
                self.holds.insert(self.next_hold, (life, Instant::now() + life));
                (200, json!({ "Permit": self.next_hold }))
            }
            _ => self.hold(method, path),
        }
    }

    fn hold(&mut self, method: &str, path: &str) -> (u16, Value) {
        let Some(rest) = path.strip_prefix("/holds/") else {
            return (400, json!({}));
        };
        let Ok(id) = rest.trim_end_matches("/touch").parse::<u64>() else {
            return (400, json!({}));
        };
        if method == "DELETE" {
            return (if self.end_hold(id) { 200 } else { 404 }, json!({}));
        }
        match self.holds.get_mut(&id) {
            Some((life, until)) => {
                *until = Instant::now() + *life;
                (200, json!({ "Permit": id }))
            }
            None => (404, json!({})),
        }
    }

    fn page(&self, query: &BTreeMap<&str, &str>) -> (u16, Value) {
        let under = query.get("Under").copied().unwrap_or("");
        let from = query.get("From").copied().unwrap_or("");
        let limit: usize = query
            .get("Limit")
            .and_then(|text| text.parse().ok())
            .unwrap_or(1_000);
        let mut pairs = Vec::new();
        let mut bytes = 0;
        let mut has_next = false;
        for (key, item) in self
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(under) && key.as_str() > from)
        {
            let size = item.value.to_string().len() + key.len() + 40;
            if pairs.len() >= limit.min(1_000) || bytes + size > 512 * 1024 {
                has_next = true;
                break;
            }
            bytes += size;
            pairs.push(json!({ "Path": key, "V": item.value, "Stamp": item.stamp }));
        }
        (
            200,
            json!({ "Pairs": pairs, "HasNext": has_next, "Ledger": self.ledger }),
        )
    }

    fn multi(&mut self, body: &Value, length: usize) -> (u16, Value) {
        let empty = Vec::new();
        let conditions = body["If"].as_array().unwrap_or(&empty);
        let changes = body["Then"].as_array().unwrap_or(&empty);
        let limits = self.limits;
        let too_large = length > 64 * 1024
            || changes.len() > limits.txn_ops
            || conditions.len() > 4 * limits.txn_ops
            || changes.iter().any(|change| {
                change
                    .get("V")
                    .is_some_and(|value| value.to_string().len() as f64 > limits.value_kb * 1024.0)
            });
        if too_large {
            return (400, json!({ "error": "over the limits" }));
        }
        if !self.changes.take(limits.write_rps, changes.len() as f64) {
            return (429, json!({}));
        }
        let lost_hold = changes
            .iter()
            .filter_map(|change| change["Permit"].as_u64())
            .any(|permit| !self.holds.contains_key(&permit));
        if lost_hold {
            return (400, json!({ "error": "no such lease" }));
        }
        let failed: Vec<&str> = conditions
            .iter()
            .filter_map(|condition| {
                let key = condition["Path"].as_str()?;
                let stamp = self.items.get(key).map_or(0, |item| item.stamp);
                (condition["Stamp"].as_u64() != Some(stamp)).then_some(key)
            })
            .collect();
        if !failed.is_empty() {
            return (409, json!({ "failed": failed, "Ledger": self.ledger }));
        }
        if !changes.is_empty() {
            self.ledger += 1;
        }
        for change in changes {
            if let Some(key) = change["Put"].as_str() {
                let stamp = self.ledger;
                let value = change["V"].clone();
                let event = json!({ "Put": key, "V": value, "Stamp": stamp });
                self.items.insert(
                    key.to_owned(),
                    Item {
                        value,
                        stamp,
                        permit: change["Permit"].as_u64(),
                    },
                );
                self.push_news(key.to_owned(), event);
            } else if let Some(key) = change["Delete"].as_str() {
                self.delete(key);
            }
        }
        (200, json!({ "Ledger": self.ledger }))
    }
}
