//! The bind phase for gangs: places all missing tasks at once, or none.

use super::is_usable;
use super::pass::{OpenZones, Pass, TaskRequirements, TasksByZone};
use super::queue_order::QueueEntry;
use super::scoring::Candidate;
use crate::model::{Job, JobSpec};

/// Whether the missing tasks of a gang may start, and in which attempt.
#[derive(Debug, Clone, Copy)]
enum GangAdmission {
    /// They may not start now.
    Wait,
    /// They join the attempt of this number, which has not started.
    Join(u64),
    /// They form a new attempt.
    New,
}

/// Machines for all missing tasks of a gang.
struct GangFit {
    /// The cost of the most expensive machine: the gang starts once its slowest image is fetched.
    cost: f64,
    /// Indexes of the machines, one for each task.
    machines: Vec<usize>,
}

impl<'a> Pass<'a> {
    /// Starts all missing tasks of the gang at once, or none.
    pub(super) fn place_gang(&mut self, entry: &QueueEntry<'a>) {
        let job = entry.job;
        let tasks_by_zone = self.job_tasks_by_zone(&job.spec.id);
        let attempt = match self.gang_admission(job, &tasks_by_zone) {
            GangAdmission::Wait => return,
            GangAdmission::Join(number) => Some(number),
            GangAdmission::New => None,
        };
        let tasks = job.waiting.len() as u32;
        if self.quota_left(&job.spec, tasks) < tasks {
            // Machines can boot while its part of the limit becomes free.
            if self.has_reserved_quota(job) {
                let open_zones = self.open_zones(&job.spec, &tasks_by_zone);
                self.record_unplaced(entry, tasks, &open_zones);
            }
            return;
        }
        if self.tasks_with_units(entry, tasks) < tasks {
            self.wait_for_units(entry, tasks, tasks);
            return;
        }
        let mut requirements = self.requirements(job);
        let open_zones = self.open_zones(&job.spec, &tasks_by_zone);
        match self.find_gang_fit(&requirements, &open_zones, &tasks_by_zone, attempt) {
            Some(fit) => {
                for (index, machine_index) in job.waiting.iter().copied().zip(fit.machines) {
                    self.bind(&mut requirements, index, machine_index);
                }
                if entry.large_first || entry.overdue {
                    self.release_reservations(job);
                }
            }
            None => self.handle_gang_without_fit(entry, tasks, &requirements, &open_zones),
        }
    }

    fn gang_admission(&self, job: &Job, tasks_by_zone: &TasksByZone) -> GangAdmission {
        match &job.gang {
            // A task whose wait for the gang timed out shortly rejoins on the machine that has its image.
            Some(attempt) if attempt.accepts_tasks() && self.gang_wait_timed_out(job, attempt.number) => {
                GangAdmission::Wait
            }
            // A replacement joins an attempt that has not started.
            Some(attempt) if attempt.accepts_tasks() => GangAdmission::Join(attempt.number),
            Some(_) => GangAdmission::Wait,
            // A new attempt must wait until no task of the old one may be running.
            None if tasks_by_zone.iter().any(|count| *count > 0) => GangAdmission::Wait,
            None => GangAdmission::New,
        }
    }

    /// Returns the cheapest machines for all missing tasks of a gang.
    fn find_gang_fit(
        &mut self,
        requirements: &TaskRequirements<'a>,
        open_zones: &OpenZones,
        tasks_by_zone: &TasksByZone,
        attempt: Option<u64>,
    ) -> Option<GangFit> {
        let spec = &requirements.job.spec;
        let tasks = requirements.job.waiting.len();
        let class = self.equivalence_class(requirements);
        if self.is_unschedulable(&class, tasks as u32) {
            return None;
        }
        let mut best: Option<GangFit> = None;
        for zone_choice in self.zone_choices(spec, open_zones) {
            if let Some(fit) = self.fit_gang(requirements, tasks, &zone_choice, tasks_by_zone, attempt)
                && best.as_ref().is_none_or(|best| fit.cost < best.cost)
            {
                best = Some(fit);
            }
        }
        let is_general = attempt.is_none() && !requirements.avoids_failed_machines && !spec.spread;
        if best.is_none() && is_general && open_zones.iter().all(|open| *open) {
            self.unschedulable.insert(class, tasks as u32);
        }
        best
    }

    /// Preempts work for a gang that found no machines, or records its tasks as unplaced.
    fn handle_gang_without_fit(
        &mut self,
        entry: &QueueEntry<'a>,
        tasks: u32,
        requirements: &TaskRequirements<'a>,
        open_zones: &OpenZones,
    ) {
        // Other requests will have taken its units by the time its machines are available.
        if self.tasks_with_expected_units(entry, tasks) < tasks {
            return;
        }
        // Capacity for a larger gang comes from scaling out: preempting work for only a part of the gang
        // would waste that work without starting the gang.
        if tasks == 1 && self.preempt_for(requirements, open_zones, None) {
            return;
        }
        self.on_demand_shortage |= !entry.job.spec.spot;
        self.record_unplaced(entry, tasks, open_zones);
    }

    /// Whether a task of this attempt has timed out waiting for the others, and its worker still lists it.
    fn gang_wait_timed_out(&self, job: &Job, number: u64) -> bool {
        let locations = self.cluster.task_locations.get(&job.spec.id);
        locations
            .into_iter()
            .flatten()
            .filter_map(|id| self.cluster.machines.get(id))
            .filter(|machine| is_usable(machine, self.cluster.now))
            .flat_map(|machine| &machine.attempts)
            .any(|attempt| {
                attempt.number == number && attempt.task.job == job.spec.id && attempt.gang_wait_timed_out()
            })
    }

    /// Returns the alternative sets of zones for a job: each open zone alone if all tasks must share one,
    /// else all open zones together.
    pub(super) fn zone_choices(&self, spec: &JobSpec, open: &OpenZones) -> Vec<OpenZones> {
        if !spec.one_zone {
            return vec![open.clone()];
        }
        let zone_indexes = (0..open.len()).filter(|zone| open[*zone]);
        zone_indexes
            .map(|only| (0..open.len()).map(|zone| zone == only).collect())
            .collect()
    }

    /// Tries to fit all missing tasks into these zones without changing the pass.
    fn fit_gang(
        &self,
        requirements: &TaskRequirements<'_>,
        tasks: usize,
        open_zones: &OpenZones,
        tasks_by_zone: &TasksByZone,
        attempt: Option<u64>,
    ) -> Option<GangFit> {
        let spec = &requirements.job.spec;
        let mut fit = GangFit {
            cost: 0.0,
            machines: Vec::with_capacity(tasks),
        };
        let mut tasks_by_zone = tasks_by_zone.clone();
        for Candidate { cost, machine_index } in self.candidates(requirements, open_zones, attempt) {
            let Some((_, zone)) = self.capacities[machine_index].type_and_zone else {
                continue;
            };
            let mut free = self.free_for(requirements, machine_index);
            while fit.machines.len() < tasks
                && tasks_by_zone[zone] < spec.max_tasks_per_zone()
                && spec.needs.fits_in(&free)
            {
                free -= spec.needs;
                tasks_by_zone[zone] += 1;
                fit.cost = fit.cost.max(cost);
                fit.machines.push(machine_index);
            }
            if fit.machines.len() == tasks {
                return Some(fit);
            }
        }
        None
    }
}
