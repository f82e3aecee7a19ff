//! Usage of a licence server that is shared with clients outside the cluster: parsing of its
//! `lmstat -a` output, and how long a reported usage remains valid.
//!
//! The output has one line per feature, followed by one line per client:
//!
//! ```text
//! Users of layout-optimiser:  (Total of 4 licenses issued;  Total of 2 licenses in use)
//!
//!   "layout-optimiser" v2.0, vendor: acme, expiry: permanent(no expiration date)
//!   floating license
//!
//!     jo desk-7 desk-7:0 (v2.0) (licences/27000 301), start Mon 11/30 9:12
//!     jo desk-7 desk-7:0 (v2.0) (licences/27000 302), start Mon 11/30 9:13, 2 licenses
//!     1 RESERVATION for GROUP planning (licences/27000)
//! ```

use crate::constants::{MAX_SERVER_ANSWER_LINES, SERVER_POLL_INTERVAL_MS, SERVER_USAGE_VALID_MS};
use regex::Regex;
use std::sync::LazyLock;
use thiserror::Error;

/// Usage of one feature as reported by a licence server.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Usage {
    /// Number of seats that the licence covers.
    pub total: u32,
    /// Seats checked out by any client.
    pub in_use: u32,
    /// Host and seats of each client; the host of a reservation is empty.
    pub seats: Vec<(String, u32)>,
}

/// Why an answer contains no usage of a feature.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum UsageParseError {
    #[error("it does not name the feature")]
    Absent,
    #[error("it has no total for the feature: {0}")]
    NoTotal(&'static str),
    #[error("it is longer than {MAX_SERVER_ANSWER_LINES} lines")]
    TooLong,
}

static FEATURE_LINE: LazyLock<Option<Regex>> = LazyLock::new(|| Regex::new(r"^Users of (\S+):\s*(.*)$").ok());
static TOTALS: LazyLock<Option<Regex>> = LazyLock::new(|| {
    Regex::new(r"\(Total of (\d+) licenses? issued;\s+Total of (\d+) licenses? in use\)").ok()
});
static CLIENT_LINE: LazyLock<Option<Regex>> = LazyLock::new(|| {
    Regex::new(r"^\s+\S+ (\S+) .*\(v[^)]*\) \([^)]*/\d+ \d+\), start [^,]*(?:, (\d+) licenses?)?").ok()
});
static RESERVATION_LINE: LazyLock<Option<Regex>> =
    LazyLock::new(|| Regex::new(r"^\s+(\d+) RESERVATIONs? for ").ok());

/// Parses the usage of one feature from the output of `lmstat -a`.
///
/// # Errors
/// The text does not contain the feature, is too long, or has no total for the feature because
/// the licence is uncounted or the vendor daemon is down.
pub fn parse_usage(text: &str, feature: &str) -> Result<Usage, UsageParseError> {
    let (Some(feature_line), Some(totals_pattern), Some(client_line), Some(reservation_line)) =
        (&*FEATURE_LINE, &*TOTALS, &*CLIENT_LINE, &*RESERVATION_LINE)
    else {
        return Err(UsageParseError::Absent);
    };
    let mut usage: Option<Usage> = None;
    for (number, line) in text.lines().enumerate() {
        if number >= MAX_SERVER_ANSWER_LINES {
            return Err(UsageParseError::TooLong);
        }
        if let Some(header) = feature_line.captures(line) {
            if usage.is_some() {
                break;
            }
            if &header[1] != feature {
                continue;
            }
            let Some(totals) = totals_pattern.captures(&header[2]) else {
                let uncounted = header[2].contains("ncounted");
                return Err(UsageParseError::NoTotal(if uncounted {
                    "its seats are not counted"
                } else {
                    "the vendor daemon is down or refuses"
                }));
            };
            usage = Some(Usage {
                total: totals[1].parse().unwrap_or(0),
                in_use: totals[2].parse().unwrap_or(u32::MAX),
                seats: Vec::new(),
            });
        } else if let Some(usage) = &mut usage {
            if let Some(client) = client_line.captures(line) {
                let units = client
                    .get(2)
                    .map_or(1, |units| units.as_str().parse().unwrap_or(u32::MAX));
                usage.seats.push((client[1].to_owned(), units));
            } else if let Some(reservation) = reservation_line.captures(line) {
                // A reservation has no host; its seats are set aside for outside clients.
                usage
                    .seats
                    .push((String::new(), reservation[1].parse().unwrap_or(u32::MAX)));
            }
        }
    }
    usage.ok_or(UsageParseError::Absent)
}

impl Usage {
    /// Seats held by clients outside the cluster: those on hosts that are not machines of the
    /// cluster. If the server lists fewer seats than it reports in use, the unlisted seats count
    /// as external, except as many as the cluster holds (`held`) and the server does not list.
    pub fn external_seats(&self, is_own_machine: impl Fn(&str) -> bool, held: u32) -> u32 {
        let (mut listed, mut own) = (0u32, 0u32);
        for (host, units) in &self.seats {
            listed = listed.saturating_add(*units);
            if is_own_machine(host) {
                own = own.saturating_add(*units);
            }
        }
        let unlisted = self.in_use.saturating_sub(listed);
        (listed - own).saturating_add(unlisted.saturating_sub(held.saturating_sub(own)))
    }
}

/// Polling state of the licence server of one counted resource, and the last usage it reported.
#[derive(Debug, Clone, Default)]
pub struct UsageFeed {
    /// The last usage and the time of its poll, in ms.
    last_answer: Option<(Usage, u64)>,
    /// Time of the last poll, in ms.
    polled_at: Option<u64>,
    poll_pending: bool,
    /// Why the last answer contained no usage.
    pub problem: Option<String>,
}

/// Whether the last reported usage is still valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedState<'a> {
    /// Reported recently enough.
    Fresh(&'a Usage),
    /// Reported too long ago, or never: no further units may be allocated.
    Silent,
}

impl UsageFeed {
    /// Whether a poll is due; if so, marks it as sent.
    pub fn start_poll(&mut self, now: u64) -> bool {
        let due = !self.poll_pending
            && self
                .polled_at
                .is_none_or(|at| now >= at + SERVER_POLL_INTERVAL_MS);
        if due {
            self.polled_at = Some(now);
            self.poll_pending = true;
        }
        due
    }

    /// Records the answer to a poll, or its failure. The usage dates from when the poll was sent.
    pub fn record_answer(&mut self, answer: Result<Usage, String>) {
        self.poll_pending = false;
        match answer {
            Ok(usage) => {
                self.problem = None;
                self.last_answer = self.polled_at.map(|at| (usage, at));
            }
            Err(problem) => self.problem = Some(problem),
        }
    }

    /// Whether the last reported usage is still valid.
    pub fn state(&self, now: u64) -> FeedState<'_> {
        match &self.last_answer {
            Some((usage, at)) if now < at + SERVER_USAGE_VALID_MS => FeedState::Fresh(usage),
            _ => FeedState::Silent,
        }
    }

    /// The last reported usage, however old, and its age in ms.
    pub fn last_usage(&self, now: u64) -> Option<(&Usage, u64)> {
        self.last_answer
            .as_ref()
            .map(|(usage, at)| (usage, now.saturating_sub(*at)))
    }
}

#[cfg(test)]
mod tests;
