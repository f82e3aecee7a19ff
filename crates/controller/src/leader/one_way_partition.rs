//! Detection of one-way partitions: machines that answer probes and execute commands, but whose own
//! heartbeats reach no controller. Only the response to a heartbeat renews a worker's lease, so the tasks on
//! such a machine are killed when the lease expires, although the machine seems healthy. No task is started
//! on such a machine, and no machine is launched in a zone where most machines are affected.

use super::LeaderTerm;
use crate::constants::ONE_WAY_ZONE_MIN_MACHINES;
use crate::model::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// The zones that are affected by a one-way partition.
#[derive(Debug, Default)]
pub(super) struct OneWayPartition {
    /// Zones in which most machines are affected. A new machine there would be affected too.
    zones: BTreeSet<String>,
}

impl LeaderTerm {
    /// Updates which zones and machines are affected, from the age of the machines' own heartbeats.
    ///
    /// `late_ms` must exceed the time that a worker takes to fail over to another controller. A machine
    /// that has never sent a heartbeat, as it may have just booted, takes the state of its zone.
    pub(super) fn update_one_way_partitions(&mut self, late_ms: u64, now: Timestamp) {
        let mut zones: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for machine in self.machines.values().filter(|machine| machine.is_up()) {
            let (total, affected) = zones.entry(&machine.zone).or_default();
            *total += 1;
            *affected += usize::from(machine.is_own_report_late(late_ms, now));
        }
        let affected_zones = zones
            .into_iter()
            .filter(|(_, (total, affected))| *affected >= ONE_WAY_ZONE_MIN_MACHINES && 2 * affected > *total);
        let affected_zones: BTreeSet<String> = affected_zones.map(|(zone, _)| zone.to_owned()).collect();
        for zone in affected_zones.symmetric_difference(&self.one_way_partitions.zones) {
            if affected_zones.contains(zone) {
                log::warn!(
                    "one-way partition detected zone={zone}: most of its machines answer but their heartbeats do not arrive, no machine is launched there"
                );
            } else {
                log::info!("one-way partition ended zone={zone}");
            }
        }
        self.one_way_partitions.zones = affected_zones;
        for machine in self.machines.values_mut() {
            let in_affected_zone =
                !machine.has_own_report && self.one_way_partitions.zones.contains(&machine.zone);
            let one_way_partition =
                machine.is_up() && (in_affected_zone || machine.is_own_report_late(late_ms, now));
            if one_way_partition != std::mem::replace(&mut machine.one_way_partition, one_way_partition) {
                self.scheduler.request_pass();
                if one_way_partition {
                    log::info!(
                        "one-way partition detected machine={}: it answers but its heartbeats do not arrive, no task is started there",
                        machine.id
                    );
                }
            }
        }
    }

    /// Whether machines launched in this zone would be affected by a one-way partition.
    pub(super) fn is_zone_one_way_partitioned(&self, zone: &str) -> bool {
        self.one_way_partitions.zones.contains(zone)
    }
}
