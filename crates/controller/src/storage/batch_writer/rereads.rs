//! Keys whose versions must be read again because a transaction on them failed or went unanswered.

use crate::constants::WRITE_RETRY_MS;
use crate::model::Timestamp;

/// The keys, read one at a time.
#[derive(Debug, Default)]
pub(super) struct Rereads {
    keys: Vec<String>,
    in_flight: bool,
    retry_at: Timestamp,
}

impl Rereads {
    pub(super) fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    pub(super) fn add(&mut self, key: String) {
        if !self.keys.contains(&key) {
            self.keys.push(key);
        }
    }

    /// The next key to read, if no read is in flight.
    pub(super) fn next(&mut self, now: Timestamp) -> Option<String> {
        if self.in_flight || now < self.retry_at {
            return None;
        }
        let key = self.keys.first().cloned()?;
        self.in_flight = true;
        Some(key)
    }

    pub(super) fn on_read(&mut self, key: &str) {
        self.in_flight = false;
        self.keys.retain(|other| other != key);
    }

    pub(super) fn on_failed(&mut self, key: String, now: Timestamp) {
        self.in_flight = false;
        self.retry_at = now + WRITE_RETRY_MS;
        self.add(key);
    }
}
