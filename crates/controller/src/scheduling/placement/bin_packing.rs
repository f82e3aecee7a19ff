//! The bind phase for arrays and services: tasks fill the best candidates one by one.

use super::counted_units::units_held_s;
use super::image_catalog::add_image;
use super::pass::{EquivalenceClass, ImageFetch, OpenZones, Pass, TaskRequirements, TasksByZone};
use super::placement_cost::record_fetch;
use super::queue_order::{QueueEntry, WaitingTasks};
use super::scoring::{Candidate, occupancy_s};
use super::{Decision, Unplaced};
use crate::constants::STARTS_PER_PASS;
use crate::model::{Job, JobSpec, TaskId};
use crate::protocol::Shape;
use indigopath_image_locality::constants::BATCH_S_PER_DOWNTIME_S;
use std::iter::Peekable;

/// Which machines the tasks of a queue entry may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Locality {
    /// Any machine that qualifies.
    Any,
    /// Only machines that have the image, or will have it as soon as any machine could.
    NearImage,
}

/// The rest of a queue entry for which no machine with the image was found. It is placed after all entries of
/// the same precedence.
struct Deferred<'a> {
    entry: QueueEntry<'a>,
    /// The value of `Pass::on_demand_shortage` at the entry's own place in the order.
    on_demand_shortage: bool,
}

/// The state of a queue entry while its tasks are placed.
struct EntryPlacement<'a> {
    requirements: TaskRequirements<'a>,
    class: EquivalenceClass,
    locality: Locality,
    tasks_by_zone: TasksByZone,
    open_zones: OpenZones,
    /// Whether each start may close a zone to the next task.
    zone_bound: bool,
    waiting: Peekable<WaitingTasks<'a>>,
    /// Tasks of the entry that have not been handled yet.
    remaining: u32,
}

impl<'a> Pass<'a> {
    /// Returns how many more tasks of the job its team's limit allows, at most `max_tasks`.
    pub(super) fn quota_left(&self, spec: &JobSpec, max_tasks: u32) -> u32 {
        let Some(team) = self.team(&spec.team) else {
            return 0;
        };
        let mut used = self.usage.of(&spec.team);
        used += self.quota_reserved_for_others(spec);
        let mut allowed_tasks = 0;
        while allowed_tasks < max_tasks {
            used += spec.needs;
            if !team.allows(&used) {
                break;
            }
            allowed_tasks += 1;
        }
        allowed_tasks
    }

    /// Binds a task of the job to a machine.
    pub(super) fn bind(&mut self, requirements: &mut TaskRequirements<'a>, index: u32, machine_index: usize) {
        let job = requirements.job;
        let spec = &job.spec;
        requirements.image = Some(self.record_image_use(spec, machine_index));
        let capacity = &mut self.capacities[machine_index];
        capacity.free -= spec.needs;
        capacity.occupied_s = capacity.occupied_s.max(occupancy_s(spec));
        let machine = capacity.machine.id.clone();
        if spec.spread || spec.one_zone {
            self.record_placed_zone(job, machine_index);
        }
        self.usage.add(&spec.team, spec.needs);
        if !spec.counts.is_empty() {
            self.unit_ledger
                .allocate(&spec.team, &spec.counts, units_held_s(spec));
        }
        self.starts += 1;
        let task = TaskId {
            job: spec.id.clone(),
            index,
        };
        self.plan.decisions.push(Decision::Start { task, machine });
    }

    /// Records that a task of the job needs its image on a machine, and returns the image's number.
    fn record_image_use(&mut self, spec: &'a JobSpec, machine_index: usize) -> u32 {
        let capacity = &mut self.capacities[machine_index];
        let image = self.images.intern(&spec.image, spec.image_gb);
        if add_image(&mut capacity.images, image) {
            if let Some(image_info) = self.images.get_mut(image) {
                image_info.copies += 1;
            }
            record_fetch(
                &mut capacity.fetching,
                ImageFetch {
                    image,
                    started_at: self.cluster.now,
                    waiting_replicas: 0.0,
                },
            );
        }
        if let Some(fetch) = capacity.fetching.iter_mut().find(|fetch| fetch.image == image) {
            let is_replica = spec.shape == Shape::Service;
            fetch.waiting_replicas += if is_replica {
                1.0
            } else {
                1.0 / BATCH_S_PER_DOWNTIME_S
            };
        }
        image
    }

    fn record_placed_zone(&mut self, job: &'a Job, machine_index: usize) {
        let zones = self.cluster.deployment.zones.len();
        let zone = self.capacities[machine_index]
            .type_and_zone
            .map_or(zones, |(_, zone)| zone);
        let placed = self
            .placed_zones
            .entry(&job.spec.id)
            .or_insert_with(|| vec![0; zones + 1]);
        placed[zone] += 1;
    }

    /// Places a group of entries of the same precedence. Tasks first use the machines that already have
    /// their images, entry by entry, and then the remaining capacity. Otherwise, under overload, freed
    /// capacity would go to the next job in order regardless of its image, and half of the tasks would
    /// fetch images that are present on machines given to other jobs.
    pub(super) fn place_group(&mut self, group: &[QueueEntry<'a>]) {
        let Some(mut deferred) = self.place_near_images(group) else {
            return;
        };
        let on_demand_shortage = self.on_demand_shortage;
        if self.place_first_replicas(&mut deferred).is_none() || self.place_deferred(deferred).is_none() {
            return;
        }
        self.on_demand_shortage = on_demand_shortage;
    }

    /// Whether this pass has reached its limit of task starts.
    fn is_exhausted(&self) -> bool {
        self.starts >= STARTS_PER_PASS
    }

    /// Places each entry in order, and returns the rest of those entries that were placed only on machines
    /// with their images. `None` once the pass is exhausted.
    fn place_near_images(&mut self, group: &[QueueEntry<'a>]) -> Option<Vec<Deferred<'a>>> {
        let mut deferred = Vec::new();
        for entry in group {
            if self.is_exhausted() {
                return None;
            }
            let placed = match entry.job.spec.shape {
                Shape::Gang => {
                    self.place_gang(entry);
                    continue;
                }
                Shape::Array if is_interchangeable(entry) => self.place_array_near_images(entry),
                Shape::Service if self.cluster.image_statistics.is_enabled() && !entry.needs_units => {
                    self.place_service_near_images(entry)
                }
                Shape::Array | Shape::Service => {
                    self.place_tasks(entry);
                    continue;
                }
            };
            deferred.extend(entry.remainder_after(placed).map(|entry| Deferred {
                entry,
                on_demand_shortage: self.on_demand_shortage,
            }));
        }
        Some(deferred)
    }

    /// Places one replica of each service that has none before any service gets more. `None` once the pass
    /// is exhausted.
    fn place_first_replicas(&mut self, deferred: &mut [Deferred<'a>]) -> Option<()> {
        for Deferred {
            entry,
            on_demand_shortage,
        } in deferred
        {
            if self.is_exhausted() {
                return None;
            }
            if entry.job.spec.shape == Shape::Service && entry.tasks > 1 && self.is_down(entry.job) {
                self.on_demand_shortage = *on_demand_shortage;
                let first_replica = QueueEntry { tasks: 1, ..*entry };
                self.place_tasks(&first_replica);
                entry.skip += 1;
                entry.tasks -= 1;
            }
        }
        Some(())
    }

    /// Places the deferred entries on any machines. `None` once the pass is exhausted.
    fn place_deferred(&mut self, deferred: Vec<Deferred<'a>>) -> Option<()> {
        for Deferred {
            entry,
            on_demand_shortage,
        } in deferred
        {
            if self.is_exhausted() {
                return None;
            }
            // A shortage caused by a gang later in the order does not restrict this entry.
            self.on_demand_shortage = on_demand_shortage;
            self.place_tasks(&entry);
        }
        Some(())
    }

    /// Whether no task of the job is, or may be, on any machine.
    fn is_down(&self, job: &Job) -> bool {
        self.job_tasks_by_zone(&job.spec.id)
            .iter()
            .all(|count| *count == 0)
    }

    /// Places an array's tasks on machines that have their image, and returns how many were placed.
    fn place_array_near_images(&mut self, entry: &QueueEntry<'a>) -> u32 {
        let job = entry.job;
        let mut requirements = self.requirements(job);
        let class = self.equivalence_class(&requirements);
        if self.is_unschedulable(&class, 1)
            || requirements.avoids_spot
            || requirements.avoids_failed_machines
            || requirements.image.is_none()
        {
            return 0;
        }
        let tasks_by_zone = self.job_tasks_by_zone(&job.spec.id);
        let zones = self.open_zones(&job.spec, &tasks_by_zone);
        let mut candidates = self.candidates(&requirements, &zones, None);
        candidates.retain(|candidate| {
            self.has_image(&requirements, candidate.machine_index)
                && self.capacities[candidate.machine_index]
                    .machine
                    .failed_jobs
                    .is_empty()
        });
        if candidates.is_empty() {
            return 0;
        }
        let allowed_tasks = self.quota_left(&job.spec, entry.tasks);
        let mut waiting = entry.waiting_tasks(allowed_tasks);
        let mut placed = 0;
        for Candidate { machine_index, .. } in candidates {
            while job
                .spec
                .needs
                .fits_in(&self.free_for(&requirements, machine_index))
                && !self.is_exhausted()
            {
                let Some(index) = waiting.next() else {
                    return placed;
                };
                self.bind(&mut requirements, index, machine_index);
                placed += 1;
            }
        }
        placed
    }

    /// Places replicas on machines that have their image, or will have it as soon as any machine could, and
    /// returns how many were handled.
    ///
    /// All services do this before any of them starts a fetch. Otherwise each newly booted machine received
    /// one replica of every waiting service and fetched six images at a time.
    fn place_service_near_images(&mut self, entry: &QueueEntry<'a>) -> u32 {
        let allowed_tasks = self.quota_left(&entry.job.spec, entry.tasks);
        let mut placement = self.entry_placement(entry, allowed_tasks, Locality::NearImage);
        self.bind_tasks(&mut placement);
        allowed_tasks - placement.remaining
    }

    /// Places as many of the entry's tasks as its team's limit and the units of counted resources allow.
    fn place_tasks(&mut self, entry: &QueueEntry<'a>) {
        let allowed_tasks = self.quota_left(&entry.job.spec, entry.tasks);
        if allowed_tasks == 0 {
            return;
        }
        let with_units = self.tasks_with_units(entry, allowed_tasks);
        if with_units > 0 {
            self.place_allowed_tasks(entry, with_units);
        }
        if with_units < allowed_tasks {
            self.wait_for_units(entry, 1, allowed_tasks - with_units);
        }
    }

    /// Places this many of the entry's tasks, and preempts other work for those that find no capacity.
    fn place_allowed_tasks(&mut self, entry: &QueueEntry<'a>, allowed_tasks: u32) {
        let mut placement = self.entry_placement(entry, allowed_tasks, Locality::Any);
        if self.bind_tasks(&mut placement).is_none() {
            return;
        }
        let mut unplaced = self.tasks_with_expected_units(entry, placement.remaining);
        while unplaced > 0 && self.preempt_for(&placement.requirements, &placement.open_zones, None) {
            unplaced -= 1;
        }
        self.record_unplaced(entry, unplaced, &placement.open_zones);
    }

    fn entry_placement(
        &self,
        entry: &QueueEntry<'a>,
        allowed_tasks: u32,
        locality: Locality,
    ) -> EntryPlacement<'a> {
        let spec = &entry.job.spec;
        let requirements = self.requirements(entry.job);
        let tasks_by_zone = self.job_tasks_by_zone(&spec.id);
        EntryPlacement {
            class: self.equivalence_class(&requirements),
            open_zones: self.open_zones(spec, &tasks_by_zone),
            requirements,
            locality,
            tasks_by_zone,
            zone_bound: spec.spread || spec.one_zone,
            waiting: entry.waiting_tasks(allowed_tasks).peekable(),
            remaining: allowed_tasks,
        }
    }

    /// Binds tasks of the entry while candidates are found. `None` once the pass is exhausted.
    fn bind_tasks(&mut self, placement: &mut EntryPlacement<'a>) -> Option<()> {
        let unschedulable = self.is_unschedulable(&placement.class, 1);
        while placement.waiting.peek().is_some() && !unschedulable {
            let candidates = self.entry_candidates(placement);
            if candidates.is_empty() {
                let is_general = !placement.requirements.avoids_failed_machines
                    && placement.open_zones.iter().all(|open| *open);
                if placement.locality == Locality::Any && is_general {
                    self.unschedulable.insert(placement.class.clone(), 1);
                }
                break;
            }
            self.fill(placement, candidates)?;
        }
        Some(())
    }

    fn entry_candidates(&self, placement: &EntryPlacement<'a>) -> Vec<Candidate> {
        let mut candidates = self.candidates(&placement.requirements, &placement.open_zones, None);
        if placement.locality == Locality::NearImage {
            candidates.retain(|candidate| {
                self.image_arrives_soonest(&placement.requirements, candidate.machine_index)
            });
        }
        if placement.zone_bound {
            // Each start may close a zone to the next task, so they are placed one at a time.
            candidates.truncate(1);
        }
        candidates
    }

    /// Fills the candidates in order; starts at most one task of an entry with zone constraints. `None` once
    /// the pass is exhausted.
    fn fill(&mut self, placement: &mut EntryPlacement<'a>, candidates: Vec<Candidate>) -> Option<()> {
        let needs = placement.requirements.job.spec.needs;
        for Candidate { machine_index, .. } in candidates {
            while needs.fits_in(&self.free_for(&placement.requirements, machine_index)) {
                if self.is_exhausted() {
                    return None;
                }
                let Some(index) = placement.waiting.next() else {
                    return Some(());
                };
                placement.remaining -= 1;
                if self.preempt_near_image(placement, machine_index) {
                    continue;
                }
                if self.should_defer_start(&placement.requirements, machine_index) {
                    // The capacity stays unused until the other tasks have their images.
                    self.capacities[machine_index].free -= needs;
                    continue;
                }
                self.bind(&mut placement.requirements, index, machine_index);
                if placement.zone_bound {
                    self.count_zone(placement, machine_index);
                    return Some(());
                }
            }
        }
        Some(())
    }

    /// If a fetch on this machine would make the start late, tries to preempt cheap work on a machine that
    /// has the image instead, and returns whether that succeeded.
    fn preempt_near_image(&mut self, placement: &EntryPlacement<'a>, machine_index: usize) -> bool {
        let requirements = &placement.requirements;
        self.fetch_s(requirements, machine_index) > requirements.start_within_s && {
            let budget_s = self.preemption_budget_s(requirements, machine_index);
            self.preempt_for(requirements, &placement.open_zones, Some(budget_s))
        }
    }

    /// Counts a start on a machine against its zone, and updates the open zones.
    fn count_zone(&self, placement: &mut EntryPlacement<'a>, machine_index: usize) {
        if let Some((_, zone)) = self.capacities[machine_index].type_and_zone {
            placement.tasks_by_zone[zone] += 1;
        }
        placement.open_zones = self.open_zones(&placement.requirements.job.spec, &placement.tasks_by_zone);
    }

    /// Whether a job of the class with at most this many tasks to start at once has found no capacity.
    pub(super) fn is_unschedulable(&self, class: &EquivalenceClass, tasks: u32) -> bool {
        self.unschedulable.get(class).is_some_and(|least| *least <= tasks)
    }

    /// Records tasks for which no machine has capacity, unless no zone may take them.
    pub(super) fn record_unplaced(&mut self, entry: &QueueEntry<'a>, tasks: u32, open: &OpenZones) {
        if tasks > 0 && open.iter().any(|open| *open) {
            self.reserve_units(entry);
            self.plan.unplaced.push(Unplaced {
                job: entry.job.spec.id.clone(),
                tasks,
                zones: self.zone_names(open),
            });
        }
    }
}

/// Whether, apart from the image, all eligible machines are equivalent for the job's tasks.
fn is_interchangeable(entry: &QueueEntry<'_>) -> bool {
    let spec = &entry.job.spec;
    !spec.spread && !spec.one_zone && !entry.needs_units
}
