//! One-way partitions: machines that answer every probe and carry out every command, but whose own
//! heartbeats reach no controller. Only the answer to such a heartbeat renews a lease, so what runs there
//! is killed at its expiry, however well the machine seems. Nothing is started there, and nothing is rented
//! in a zone most of whose machines are so.

use super::LeaderTerm;
use crate::constants::MUTE_ZONE_MIN_MACHINES;
use crate::model::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// What a leader knows of one-way partitions.
#[derive(Debug, Default)]
pub(super) struct OneWayPartition {
    /// Zones most of whose machines are cut off one way: so would be what is rented there.
    zones: BTreeSet<String>,
}

impl LeaderTerm {
    /// Judges machines by their own heartbeats. `late_ms`: longer than a worker that lost its node takes
    /// to report to another. A zone's judgement goes before a machine's, which may be up for the first time.
    pub(super) fn look_at_one_way(&mut self, late_ms: u64, now: Timestamp) {
        let mut zones: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for machine in self.machines.values().filter(|machine| machine.is_up()) {
            let (all, one_way_partition) = zones.entry(&machine.zone).or_default();
            *all += 1;
            *one_way_partition += usize::from(machine.own_report_late(late_ms, now));
        }
        let mostly = zones.into_iter().filter(|(_, (all, one_way_partition))| {
            *one_way_partition >= MUTE_ZONE_MIN_MACHINES && 2 * one_way_partition > *all
        });
        let mostly: BTreeSet<String> = mostly.map(|(zone, _)| zone.to_owned()).collect();
        for zone in mostly.symmetric_difference(&self.one_way_partition.zones) {
            if mostly.contains(zone) {
                log::warn!(
                    "one-way partition detected zone={zone}: most of its machines answer but send no heartbeat, none is rented there"
                );
            } else {
                log::info!("one-way partition ended zone={zone}");
            }
        }
        self.one_way_partition.zones = mostly;
        for machine in self.machines.values_mut() {
            let in_zone = !machine.reports && self.one_way_partition.zones.contains(&machine.zone);
            let one_way_partition = machine.is_up() && (in_zone || machine.own_report_late(late_ms, now));
            if one_way_partition != std::mem::replace(&mut machine.one_way_partition, one_way_partition) {
                self.scheduler.request_pass();
                if one_way_partition {
                    log::info!(
                        "one-way partition detected machine={}: it answers but sends no heartbeat, nothing is started there",
                        machine.id
                    );
                }
            }
        }
    }

    /// Whether machines rented in the zone would be cut off one way.
    pub(super) fn is_one_way(&self, zone: &str) -> bool {
        self.one_way_partition.zones.contains(zone)
    }
}
