//! A licence server that others use too: what its `lmstat -a` says of one feature, and
//! for how long that counts.
//!
//! The text has a line a feature, and below it one for each client:
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

/// What a server says of one feature.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Usage {
    /// Seats that the licence covers.
    pub total: u32,
    /// Seats taken, by whomever.
    pub in_use: u32,
    /// Clients by host, with their seats.
    pub seats: Vec<(String, u32)>,
}

/// Why an answer says nothing of a feature.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum UsageParseError {
    #[error("it does not name the feature")]
    Absent,
    #[error("it has no total for the feature: {0}")]
    NoTotal(&'static str),
    #[error("it is longer than {MAX_SERVER_ANSWER_LINES} lines")]
    TooLong,
}

static FEATURE: LazyLock<Option<Regex>> = LazyLock::new(|| Regex::new(r"^Users of (\S+):\s*(.*)$").ok());
static TOTAL: LazyLock<Option<Regex>> = LazyLock::new(|| {
    Regex::new(r"\(Total of (\d+) licenses? issued;\s+Total of (\d+) licenses? in use\)").ok()
});
static SEAT: LazyLock<Option<Regex>> = LazyLock::new(|| {
    Regex::new(r"^\s+\S+ (\S+) .*\(v[^)]*\) \([^)]*/\d+ \d+\), start [^,]*(?:, (\d+) licenses?)?").ok()
});
static RESERVED: LazyLock<Option<Regex>> = LazyLock::new(|| Regex::new(r"^\s+(\d+) RESERVATIONs? for ").ok());

/// Reads one feature out of an `lmstat -a` text.
///
/// # Errors
/// The text does not name the feature, or gives no total for it (an uncounted licence, a
/// vendor daemon that is down), or is too long.
pub fn parse_usage(text: &str, feature: &str) -> Result<Usage, UsageParseError> {
    let (Some(is_feature), Some(is_total), Some(is_seat), Some(is_reserved)) =
        (&*FEATURE, &*TOTAL, &*SEAT, &*RESERVED)
    else {
        return Err(UsageParseError::Absent);
    };
    let mut usage: Option<Usage> = None;
    for (number, line) in text.lines().enumerate() {
        if number >= MAX_SERVER_ANSWER_LINES {
            return Err(UsageParseError::TooLong);
        }
        if let Some(found) = is_feature.captures(line) {
            if usage.is_some() {
                break;
            }
            if &found[1] != feature {
                continue;
            }
            let Some(totals) = is_total.captures(&found[2]) else {
                let uncounted = found[2].contains("ncounted");
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
            if let Some(seat) = is_seat.captures(line) {
                let units = seat
                    .get(2)
                    .map_or(1, |units| units.as_str().parse().unwrap_or(u32::MAX));
                usage.seats.push((seat[1].to_owned(), units));
            } else if let Some(reserved) = is_reserved.captures(line) {
                // Nobody's host: kept for others.
                usage
                    .seats
                    .push((String::new(), reserved[1].parse().unwrap_or(u32::MAX)));
            }
        }
    }
    usage.ok_or(UsageParseError::Absent)
}

impl Usage {
    /// Seats that others hold: whatever is not on a host of ours. Where the server names
    /// fewer seats than it says are taken, the rest is others', less what we hold
    /// (`ours`) and it may not name.
    pub fn external_seats(&self, is_ours: impl Fn(&str) -> bool, ours: u32) -> u32 {
        let (mut named, mut on_ours) = (0u32, 0u32);
        for (host, units) in &self.seats {
            named = named.saturating_add(*units);
            if is_ours(host) {
                on_ours = on_ours.saturating_add(*units);
            }
        }
        let unnamed = self.in_use.saturating_sub(named);
        (named - on_ours).saturating_add(unnamed.saturating_sub(ours.saturating_sub(on_ours)))
    }
}

/// What is known of a count's server.
#[derive(Debug, Clone, Default)]
pub struct UsageFeed {
    last_answer: Option<(Usage, u64)>,
    /// When it was last asked, in ms.
    polled_at: Option<u64>,
    poll_pending: bool,
    /// What its last answer lacked.
    pub problem: Option<String>,
}

/// What counts of a server's word now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedState<'a> {
    /// Heard lately enough.
    Fresh(&'a Usage),
    /// Silent for too long, or never heard: nothing new may start.
    Silent,
}

impl UsageFeed {
    /// Whether it is to be asked now; if so, an answer is awaited from here on.
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

    /// The server answered, or did not. Its word counts from when it was asked.
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

    pub fn state(&self, now: u64) -> FeedState<'_> {
        match &self.last_answer {
            Some((usage, at)) if now < at + SERVER_USAGE_VALID_MS => FeedState::Fresh(usage),
            _ => FeedState::Silent,
        }
    }

    /// The last word, however old, and its age in ms.
    pub fn last_usage(&self, now: u64) -> Option<(&Usage, u64)> {
        self.last_answer
            .as_ref()
            .map(|(usage, at)| (usage, now.saturating_sub(*at)))
    }
}

#[cfg(test)]
mod tests;
