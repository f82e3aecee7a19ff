//! Details logged when more units of a counted resource are in use than exist: the attempts that
//! hold units, lingering units, and clients of the licence server outside the cluster.

use crate::allocations::Attempt;
use crate::constants::OVERSUBSCRIPTION_PARTS_LOGGED;
use crate::model::{MachineId, TaskId, Timestamp};
use crate::storage::batch_writer::ShardLinger;
use indigopath_counted_resources::{Name, Pool, UsageFeed};
use std::fmt::{self, Display, Formatter};

/// Units held by one attempt that may be on its machine.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct HeldUnits {
    /// Number of units.
    pub(super) units: u32,
    /// The task of the attempt.
    pub(super) task: TaskId,
    /// The number of the attempt.
    pub(super) number: u64,
    /// The machine of the attempt.
    pub(super) machine: MachineId,
    /// Whether it was recorded by an earlier leader and no heartbeat has reported it since.
    pub(super) inherited: bool,
    /// State of the attempt, as one word.
    pub(super) state: &'static str,
}

impl HeldUnits {
    /// The units of a counted resource that an attempt holds, if it holds any.
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
    /// Converts an entry of a shard.
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

/// Units that the licence server attributes to a host that is not a machine of the cluster.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct ExternalUnits {
    host: String,
    units: u32,
}

impl Display for ExternalUnits {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        let host = if self.host.is_empty() {
            "reservation"
        } else {
            &self.host
        };
        write!(out, "{host} units={}", self.units)
    }
}

/// The last usage that a licence server reported, limited to clients outside the cluster.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct UsageReport {
    age_ms: u64,
    in_use: u32,
    external: Vec<ExternalUnits>,
}

impl UsageReport {
    /// The last report, if there was any.
    pub(super) fn of(
        feed: &UsageFeed,
        is_own_machine: impl Fn(&str) -> bool,
        now: Timestamp,
    ) -> Option<UsageReport> {
        let (usage, age_ms) = feed.last_usage(now)?;
        let external = usage.seats.iter().filter(|(host, _)| !is_own_machine(host));
        Some(UsageReport {
            age_ms,
            in_use: usage.in_use,
            external: external
                .map(|(host, units)| ExternalUnits {
                    host: host.clone(),
                    units: *units,
                })
                .collect(),
        })
    }
}

/// A counted resource with more units in use than exist.
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
    /// Combines the totals of a pool with the units they consist of.
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
        write_parts(out, "outside", &server.external)
    }
}

/// Writes the first parts of a list, and the number of those omitted.
fn write_parts(out: &mut Formatter<'_>, name: &str, parts: &[impl Display]) -> fmt::Result {
    write!(out, " {name}=[")?;
    for (index, part) in parts.iter().take(OVERSUBSCRIPTION_PARTS_LOGGED).enumerate() {
        let separator = if index > 0 { "; " } else { "" };
        write!(out, "{separator}{part}")?;
    }
    let omitted = parts.len().saturating_sub(OVERSUBSCRIPTION_PARTS_LOGGED);
    if omitted > 0 {
        write!(out, "; {omitted} more")?;
    }
    write!(out, "]")
}

#[cfg(test)]
mod tests;
