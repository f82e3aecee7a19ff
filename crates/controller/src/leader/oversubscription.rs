//! The log line that says why more units of a counted resource are taken than there are: which
//! attempts hold some, which units linger, and which clients of the licence server are not ours.

use crate::allocations::Attempt;
use crate::constants::OVERSUBSCRIPTION_PARTS_LOGGED;
use crate::model::{MachineId, TaskId, Timestamp};
use crate::storage::batch_writer::ShardLinger;
use indigopath_counted_resources::{Name, Pool, UsageFeed};
use std::fmt::{self, Display, Formatter};

/// Units of one attempt that may be on its machine.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct HeldUnits {
    /// How many.
    pub(super) units: u32,
    /// The attempt's task.
    pub(super) task: TaskId,
    /// The attempt's number.
    pub(super) number: u64,
    /// Its machine.
    pub(super) machine: MachineId,
    /// A former leader recorded it, and no report has spoken of it since.
    pub(super) inherited: bool,
    /// What is known of it.
    pub(super) state: &'static str,
}

impl HeldUnits {
    /// Those of this count that an attempt holds, if it holds any.
    pub(super) fn of(
        attempt: &Attempt,
        machine: &MachineId,
        count: &str,
        state: &'static str,
    ) -> Option<HeldUnits> {
        let units = attempt.counts.units(count);
        (units > 0 && attempt.holds_units()).then(|| HeldUnits {
            units,
            task: attempt.task.clone(),
            number: attempt.number,
            machine: machine.clone(),
            inherited: attempt.from_previous_leader,
            state,
        })
    }
}

impl Display for HeldUnits {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "{} units={} machine={} attempt={} inherited={} state={}",
            self.task, self.units, self.machine.0, self.number, self.inherited, self.state
        )
    }
}

/// Units that linger after attempts that are gone.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct LingeringUnits {
    units: u32,
    shard: u32,
    inherited: bool,
    left_ms: u64,
}

impl LingeringUnits {
    /// One entry of a shard.
    pub(super) fn of(entry: &ShardLinger<'_>, now: Timestamp) -> LingeringUnits {
        LingeringUnits {
            units: entry.linger.units,
            shard: entry.shard,
            inherited: entry.inherited,
            left_ms: entry.linger.until.saturating_sub(now),
        }
    }
}

impl Display for LingeringUnits {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "shard={} units={} inherited={} left_ms={}",
            self.shard, self.units, self.inherited, self.left_ms
        )
    }
}

/// Units that the licence server says a host has that is no machine of ours.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct OutsideUnits {
    host: String,
    units: u32,
}

impl Display for OutsideUnits {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        let host = if self.host.is_empty() {
            "reservation"
        } else {
            &self.host
        };
        write!(out, "{host} units={}", self.units)
    }
}

/// What a licence server last said of clients that are not ours.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct UsageReport {
    age_ms: u64,
    in_use: u32,
    outside: Vec<OutsideUnits>,
}

impl UsageReport {
    /// The last one, if the server was ever heard.
    pub(super) fn of(
        feed: &UsageFeed,
        is_ours: impl Fn(&str) -> bool,
        now: Timestamp,
    ) -> Option<UsageReport> {
        let (usage, age_ms) = feed.last_usage(now)?;
        let outside = usage.seats.iter().filter(|(host, _)| !is_ours(host));
        Some(UsageReport {
            age_ms,
            in_use: usage.in_use,
            outside: outside
                .map(|(host, units)| OutsideUnits {
                    host: host.clone(),
                    units: *units,
                })
                .collect(),
        })
    }
}

/// A count of which more is taken than there is.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Oversubscription {
    count: Name,
    units: u32,
    held: u32,
    lingering: u32,
    others: u32,
    attempts: Vec<HeldUnits>,
    lingers: Vec<LingeringUnits>,
    server: Option<UsageReport>,
}

impl Oversubscription {
    /// The sums of a pool, and the parts that they are made of.
    pub(super) fn new(
        pool: &Pool<'_>,
        attempts: Vec<HeldUnits>,
        lingers: Vec<LingeringUnits>,
        server: Option<UsageReport>,
    ) -> Oversubscription {
        Oversubscription {
            count: Name::from(pool.name),
            units: pool.units,
            held: pool.held,
            lingering: pool.lingering,
            others: pool.external,
            attempts,
            lingers,
            server,
        }
    }
}

impl Display for Oversubscription {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "count={} units={} held={} lingering={} others={}",
            self.count, self.units, self.held, self.lingering, self.others
        )?;
        write_parts(out, "attempts", &self.attempts)?;
        write_parts(out, "lingers", &self.lingers)?;
        let Some(server) = &self.server else {
            return Ok(());
        };
        write!(out, " server_age_ms={} in_use={}", server.age_ms, server.in_use)?;
        write_parts(out, "outside", &server.outside)
    }
}

/// Writes the first parts of a sum, and how many more there are.
fn write_parts(out: &mut Formatter<'_>, name: &str, parts: &[impl Display]) -> fmt::Result {
    write!(out, " {name}=[")?;
    for (at, part) in parts.iter().take(OVERSUBSCRIPTION_PARTS_LOGGED).enumerate() {
        let separator = if at > 0 { "; " } else { "" };
        write!(out, "{separator}{part}")?;
    }
    let more = parts.len().saturating_sub(OVERSUBSCRIPTION_PARTS_LOGGED);
    if more > 0 {
        write!(out, "; {more} more")?;
    }
    write!(out, "]")
}

#[cfg(test)]
mod tests;
