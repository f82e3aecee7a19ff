//! Zones that are cut off: their machines are kept, as they go on working.
//!
//! A machine that is silent among others that answer is given back at once. Where a whole zone
//! is silent, its machines run on inside it, and are all there when the cut is over: giving them
//! back ends hundreds of tasks and empties as many caches, while often nothing could run them
//! elsewhere. So they are kept for as long as the cut may last, and their tasks wait for
//! their leases to run out, as for the proof that nothing runs there.

use super::LeaderTerm;
use crate::allocations::Machine;
use crate::constants::{
    INSPECT_TIMEOUT_MS, RECONNECT_GRACE_MS, SECOND_MS, ZONE_OUTAGE_KEPT_LEASES, ZONE_OUTAGE_MAX_FLEET_SHARE,
    ZONE_OUTAGE_MIN_MACHINES, ZONE_OUTAGE_SILENT_SHARE, ZONE_PROBE_SAMPLE, ZONE_RENTAL_BACKOFF_MS,
};
use crate::io::Io;
use crate::model::{Job, MachineId, Timestamp};
use crate::protocol::Shape;
use crate::scheduling::placement;
use crate::settings::Deployment;
use std::collections::{BTreeMap, HashSet};

/// Machines of a zone that were asked because others of it are silent.
#[derive(Debug)]
struct ProbeSample {
    sampled_at: Timestamp,
    asked: Vec<MachineId>,
    /// Most of its machines are silent.
    cut: bool,
    /// When any of its machines was last silent, and there still.
    silent_at: Timestamp,
    /// When it answered again after a cut.
    back_at: Option<Timestamp>,
}

/// What a leader knows of zones.
#[derive(Debug, Default)]
pub(super) struct Zones {
    probe_samples: BTreeMap<String, ProbeSample>,
}

/// How many of a zone's machines there are, and how many of them are silent.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    up: usize,
    silent: usize,
    newest: Timestamp,
}

impl LeaderTerm {
    fn tally(&self) -> BTreeMap<String, Tally> {
        let mut tallies: BTreeMap<String, Tally> = BTreeMap::new();
        let up = self
            .machines
            .values()
            .filter(|machine| machine.has_been_up() && !machine.hearsay);
        for machine in up {
            let tally = match tallies.get_mut(machine.zone.as_str()) {
                Some(tally) => tally,
                None => tallies.entry(machine.zone.clone()).or_default(),
            };
            tally.up += 1;
            if machine.inspect_failed && !machine.returning {
                tally.silent += 1;
                tally.newest = tally.newest.max(machine.silent_at);
            }
        }
        tallies
    }

    /// Asks some of a zone's other machines whenever one is newly silent, and judges.
    pub(super) fn sample_zones(&mut self, io: &mut Io) {
        if self.zones.probe_samples.is_empty()
            && self.machines.values().all(|machine| !machine.inspect_failed)
        {
            return;
        }
        let tallies = self.tally();
        let all: usize = tallies.values().map(|tally| tally.up).sum();
        self.zones
            .probe_samples
            .retain(|zone, probe_sample| match tallies.get(zone) {
                Some(tally) if tally.silent > 0 => {
                    probe_sample.silent_at = io.now;
                    true
                }
                Some(tally) if tally.up >= ZONE_OUTAGE_MIN_MACHINES => {
                    if probe_sample.cut {
                        log::info!("zone reachable again zone={zone}");
                    }
                    false
                }
                // Its machines are given back: after a while it is worth another try.
                _ => probe_sample.cut && io.now < probe_sample.silent_at + ZONE_RENTAL_BACKOFF_MS,
            });
        for (zone, tally) in tallies {
            // A site that has one zone only, or nearly so, has no other to judge by.
            let alone = tally.up as f64 > ZONE_OUTAGE_MAX_FLEET_SHARE * all as f64;
            if tally.silent == 0 || tally.up < ZONE_OUTAGE_MIN_MACHINES || alone {
                continue;
            }
            // Judged by those that were asked before others are: where more are found silent all
            // the time, the next question is due as soon as the last can be judged.
            self.judge_zone(&zone, tally, io.now);
            let due = self.zones.probe_samples.get(&zone).is_none_or(|probe_sample| {
                probe_sample.sampled_at < tally.newest
                    && io.now >= probe_sample.sampled_at + INSPECT_TIMEOUT_MS
            });
            if due {
                self.sample_zone(&zone, io);
            }
        }
    }

    fn sample_zone(&mut self, zone: &str, io: &mut Io) {
        let others: Vec<MachineId> = self
            .machines
            .values()
            .filter(|machine| machine.zone == zone && machine.has_been_up() && !machine.inspect_failed)
            .map(|machine| machine.id.clone())
            .collect();
        let cut = self.is_cut(zone);
        let back_at = self
            .zones
            .probe_samples
            .get(zone)
            .and_then(|probe_sample| probe_sample.back_at);
        let probe_sample = ProbeSample {
            sampled_at: io.now,
            asked: self.ask_some(others, ZONE_PROBE_SAMPLE, io),
            cut,
            silent_at: io.now,
            back_at,
        };
        self.zones.probe_samples.insert(zone.to_owned(), probe_sample);
    }

    fn judge_zone(&mut self, zone: &str, tally: Tally, now: Timestamp) {
        let Some(probe_sample) = self.zones.probe_samples.get(zone) else {
            return;
        };
        let heard = self.heard_since(&probe_sample.asked, probe_sample.sampled_at);
        let silent = probe_sample.asked.len() - heard;
        let answers = heard > 0 && heard >= silent;
        let over = now >= probe_sample.sampled_at + INSPECT_TIMEOUT_MS;
        let most = tally.silent as f64 >= ZONE_OUTAGE_SILENT_SHARE * tally.up as f64;
        let Some(probe_sample) = self.zones.probe_samples.get_mut(zone) else {
            return;
        };
        if answers {
            if std::mem::take(&mut probe_sample.cut) {
                probe_sample.back_at = Some(now);
                log::info!("zone reachable again zone={zone}");
            }
        } else if (most || over && silent > heard) && !probe_sample.cut {
            probe_sample.cut = true;
            log::warn!(
                "zone unreachable zone={zone} silent={} machines={}: they are kept meanwhile",
                tally.silent,
                tally.up
            );
        }
    }

    /// Whether machines rented in the zone would be out of reach.
    pub(super) fn is_cut(&self, zone: &str) -> bool {
        let probe_sample = self.zones.probe_samples.get(zone);
        probe_sample.is_some_and(|probe_sample| probe_sample.cut)
    }

    /// Silent machines that are not given back now: while nobody knows yet whether their zone is
    /// cut off, and while it is, for [`ZONE_OUTAGE_KEPT_LEASES`] leases, unless a replica on them
    /// could run in another zone, where people reach it.
    pub(super) fn kept(&self, deployment: &Deployment, now: Timestamp) -> HashSet<MachineId> {
        let lease_ms = (deployment.workers.lease_s * SECOND_MS as f64) as u64;
        let mut kept = HashSet::new();
        for (zone, probe_sample) in &self.zones.probe_samples {
            let answered = 2 * self.heard_since(&probe_sample.asked, probe_sample.sampled_at)
                >= probe_sample.asked.len();
            let judging =
                !probe_sample.cut && !answered && now < probe_sample.sampled_at + INSPECT_TIMEOUT_MS;
            let back = probe_sample
                .back_at
                .is_some_and(|at| now < at + RECONNECT_GRACE_MS);
            if !probe_sample.cut && !judging && !back {
                continue;
            }
            for machine in self.machines.values() {
                if machine.zone != *zone || !machine.inspect_failed {
                    continue;
                }
                let heard = machine.heard.unwrap_or(self.started);
                let long = now > heard + ZONE_OUTAGE_KEPT_LEASES * lease_ms;
                if judging || back || !long && !self.holds_what_may_move(machine, &deployment.zones) {
                    kept.insert(machine.id.clone());
                }
            }
        }
        kept
    }

    /// Whether a replica on the machine may run in another zone.
    fn holds_what_may_move(&self, machine: &Machine, zones: &[String]) -> bool {
        let there = machine.attempts.iter().filter(|attempt| attempt.may_be_there());
        let mut jobs = there.filter_map(|attempt| self.jobs.get(&attempt.task.job));
        jobs.any(|job| job.spec.shape == Shape::Service && self.may_move_from(job, &machine.zone, zones))
    }

    fn may_move_from(&self, job: &Job, zone: &str, zones: &[String]) -> bool {
        let spec = &job.spec;
        if spec.zone.is_some() || spec.one_zone && spec.tasks > 1 {
            return false;
        }
        let taken = placement::tasks_by_zone(
            &spec.id,
            self.machines.task_locations(),
            self.machines.as_map(),
            zones,
        );
        let mut others = zones.iter().zip(taken).filter(|(other, _)| *other != zone);
        others.any(|(_, taken)| taken < spec.zone_cap())
    }
}
