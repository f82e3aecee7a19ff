//! Detection of zone partitions, and retention of the machines in a partitioned zone.
//!
//! A machine that is unreachable while others in its zone answer is released at once. If a whole zone is
//! unreachable, its machines usually keep running and return when the partition heals. Releasing them would
//! end hundreds of tasks and empty as many caches, often without capacity elsewhere to run the tasks. The
//! machines are therefore retained for a bounded time, and their tasks are requeued only after the leases
//! have expired, which proves that nothing runs there any more.

use super::LeaderTerm;
use crate::allocations::Machine;
use crate::constants::{
    INSPECT_TIMEOUT_MS, RECONNECT_GRACE_MS, SECOND_MS, ZONE_LAUNCH_BACKOFF_MS, ZONE_OUTAGE_MAX_FLEET_SHARE,
    ZONE_OUTAGE_MIN_MACHINES, ZONE_OUTAGE_RETENTION_LEASES, ZONE_OUTAGE_UNREACHABLE_SHARE, ZONE_PROBE_SAMPLE,
};
use crate::io::Io;
use crate::model::{Job, MachineId, Timestamp};
use crate::protocol::Shape;
use crate::scheduling::placement;
use crate::settings::Deployment;
use std::collections::{BTreeMap, HashSet};

/// A probed sample of a zone's machines, taken because others in the zone are unreachable.
#[derive(Debug)]
struct ProbeSample {
    sampled_at: Timestamp,
    probed: Vec<MachineId>,
    /// Whether the zone is considered partitioned.
    partitioned: bool,
    /// When the zone last had an unreachable machine that was not released.
    last_unreachable_at: Timestamp,
    /// When the zone was reachable again after a partition.
    recovered_at: Option<Timestamp>,
}

/// The latest probe sample of each zone that has unreachable machines.
#[derive(Debug, Default)]
pub(super) struct ZoneHealth {
    probe_samples: BTreeMap<String, ProbeSample>,
}

/// Number of machines of a zone that have been up, and of the unreachable ones among them.
#[derive(Debug, Clone, Copy, Default)]
struct ZoneTally {
    up: usize,
    unreachable: usize,
    last_unreachable_at: Timestamp,
}

impl LeaderTerm {
    /// Counts machines and unreachable machines by zone.
    fn tally_zones(&self) -> BTreeMap<String, ZoneTally> {
        let mut tallies: BTreeMap<String, ZoneTally> = BTreeMap::new();
        let up = self
            .machines
            .values()
            .filter(|machine| machine.shows_reachability());
        for machine in up {
            let tally = match tallies.get_mut(machine.zone.as_str()) {
                Some(tally) => tally,
                None => tallies.entry(machine.zone.clone()).or_default(),
            };
            tally.up += 1;
            if machine.unreachable && !machine.releasing {
                tally.unreachable += 1;
                tally.last_unreachable_at = tally.last_unreachable_at.max(machine.last_unreachable_at);
            }
        }
        tallies
    }

    /// Probes a sample of a zone's other machines when one has newly become unreachable, and updates whether
    /// the zone is partitioned.
    pub(super) fn update_zone_health(&mut self, io: &mut Io) {
        if self.zone_health.probe_samples.is_empty()
            && self.machines.values().all(|machine| !machine.unreachable)
        {
            return;
        }
        let tallies = self.tally_zones();
        let total: usize = tallies.values().map(|tally| tally.up).sum();
        self.zone_health
            .probe_samples
            .retain(|zone, probe_sample| match tallies.get(zone) {
                Some(tally) if tally.unreachable > 0 => {
                    probe_sample.last_unreachable_at = io.now;
                    true
                }
                Some(tally) if tally.up >= ZONE_OUTAGE_MIN_MACHINES => {
                    if probe_sample.partitioned {
                        log::info!("zone reachable again zone={zone}");
                    }
                    false
                }
                // Its machines have been released. The zone is avoided for a while, then tried again.
                _ => {
                    probe_sample.partitioned
                        && io.now < probe_sample.last_unreachable_at + ZONE_LAUNCH_BACKOFF_MS
                }
            });
        for (zone, tally) in tallies {
            // A zone with nearly all of the fleet cannot be compared with other zones.
            let dominates_fleet = tally.up as f64 > ZONE_OUTAGE_MAX_FLEET_SHARE * total as f64;
            if tally.unreachable == 0 || tally.up < ZONE_OUTAGE_MIN_MACHINES || dominates_fleet {
                continue;
            }
            // Evaluate the last sample before a new one replaces it: while machines keep becoming
            // unreachable, the next sample is due as soon as the last one can be evaluated.
            self.evaluate_zone(&zone, tally, io.now);
            let due = self
                .zone_health
                .probe_samples
                .get(&zone)
                .is_none_or(|probe_sample| {
                    probe_sample.sampled_at < tally.last_unreachable_at
                        && io.now >= probe_sample.sampled_at + INSPECT_TIMEOUT_MS
                });
            if due {
                self.start_zone_sample(&zone, io);
            }
        }
    }

    fn start_zone_sample(&mut self, zone: &str, io: &mut Io) {
        let others: Vec<MachineId> = self
            .machines
            .values()
            .filter(|machine| machine.zone == zone && machine.has_been_up() && !machine.unreachable)
            .map(|machine| machine.id.clone())
            .collect();
        let partitioned = self.is_zone_partitioned(zone);
        let recovered_at = self
            .zone_health
            .probe_samples
            .get(zone)
            .and_then(|probe_sample| probe_sample.recovered_at);
        let probe_sample = ProbeSample {
            sampled_at: io.now,
            probed: self.probe_sample(others, ZONE_PROBE_SAMPLE, io),
            partitioned,
            last_unreachable_at: io.now,
            recovered_at,
        };
        self.zone_health
            .probe_samples
            .insert(zone.to_owned(), probe_sample);
    }

    /// Updates whether the zone is partitioned, from its last sample and the share of unreachable machines.
    fn evaluate_zone(&mut self, zone: &str, tally: ZoneTally, now: Timestamp) {
        let Some(probe_sample) = self.zone_health.probe_samples.get(zone) else {
            return;
        };
        let heard = self.count_heard_since(&probe_sample.probed, probe_sample.sampled_at);
        let unheard = probe_sample.probed.len() - heard;
        let answering = heard > 0 && heard >= unheard;
        let timed_out = now >= probe_sample.sampled_at + INSPECT_TIMEOUT_MS;
        let mostly_unreachable = tally.unreachable as f64 >= ZONE_OUTAGE_UNREACHABLE_SHARE * tally.up as f64;
        let Some(probe_sample) = self.zone_health.probe_samples.get_mut(zone) else {
            return;
        };
        if answering {
            if std::mem::take(&mut probe_sample.partitioned) {
                probe_sample.recovered_at = Some(now);
                log::info!("zone reachable again zone={zone}");
            }
        } else if (mostly_unreachable || timed_out && unheard > heard) && !probe_sample.partitioned {
            probe_sample.partitioned = true;
            log::warn!(
                "zone unreachable zone={zone} silent={} machines={}: its machines are kept for now",
                tally.unreachable,
                tally.up
            );
        }
    }

    /// Whether the zone is partitioned, so that machines launched there would be unreachable.
    pub(super) fn is_zone_partitioned(&self, zone: &str) -> bool {
        let probe_sample = self.zone_health.probe_samples.get(zone);
        probe_sample.is_some_and(|probe_sample| probe_sample.partitioned)
    }

    /// Unreachable machines that must not be released now.
    ///
    /// They are retained while their zone is being evaluated, for a while after it has become reachable
    /// again, and for [`ZONE_OUTAGE_RETENTION_LEASES`] leases while it is partitioned. The last does not hold for
    /// a machine with a replica that could run in another zone, where its users can reach it.
    pub(super) fn retained_machines(&self, deployment: &Deployment, now: Timestamp) -> HashSet<MachineId> {
        let lease_ms = (deployment.workers.lease_s * SECOND_MS as f64) as u64;
        let mut retained = HashSet::new();
        for (zone, probe_sample) in &self.zone_health.probe_samples {
            let sample_answered = 2 * self.count_heard_since(&probe_sample.probed, probe_sample.sampled_at)
                >= probe_sample.probed.len();
            let evaluating = !probe_sample.partitioned
                && !sample_answered
                && now < probe_sample.sampled_at + INSPECT_TIMEOUT_MS;
            let just_recovered = probe_sample
                .recovered_at
                .is_some_and(|at| now < at + RECONNECT_GRACE_MS);
            if !probe_sample.partitioned && !evaluating && !just_recovered {
                continue;
            }
            for machine in self.machines.values() {
                if machine.zone != *zone || !machine.unreachable {
                    continue;
                }
                let last_heard_at = machine.last_heard_at.unwrap_or(self.started);
                let retention_expired = now > last_heard_at + ZONE_OUTAGE_RETENTION_LEASES * lease_ms;
                if evaluating
                    || just_recovered
                    || !retention_expired && !self.has_movable_replica(machine, &deployment.zones)
                {
                    retained.insert(machine.id.clone());
                }
            }
        }
        retained
    }

    /// Whether a replica on the machine could run in another zone.
    fn has_movable_replica(&self, machine: &Machine, zones: &[String]) -> bool {
        let present = machine.attempts.iter().filter(|attempt| attempt.may_be_running());
        let mut jobs = present.filter_map(|attempt| self.jobs.get(&attempt.task.job));
        jobs.any(|job| job.spec.shape == Shape::Service && self.can_move_from(job, &machine.zone, zones))
    }

    /// Whether another zone has room for one more task of the job, within its limit per zone.
    fn can_move_from(&self, job: &Job, zone: &str, zones: &[String]) -> bool {
        let spec = &job.spec;
        if spec.zone.is_some() || spec.one_zone && spec.tasks > 1 {
            return false;
        }
        let tasks_by_zone = placement::tasks_by_zone(
            &spec.id,
            self.machines.task_locations(),
            self.machines.as_map(),
            zones,
        );
        let mut others = zones
            .iter()
            .zip(tasks_by_zone)
            .filter(|(other, _)| *other != zone);
        others.any(|(_, tasks)| tasks < spec.max_tasks_per_zone())
    }
}
