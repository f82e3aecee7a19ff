//! The bind phase for arrays and services: tasks fill the best candidates one by one.

use super::counted_units::units_held_s;
use super::image_catalog::note_image;
use super::pass::{EquivalenceClass, ImageFetch, OpenZones, Pass, TaskRequirements, TasksByZone};
use super::placement_cost::record_fetch;
use super::queue_order::{QueueEntry, WaitingTasks};
use super::scoring::{Candidate, occupies_s};
use super::{Decision, Unplaced};
use crate::constants::STARTS_PER_PASS;
use crate::model::{Job, JobSpec, TaskId};
use crate::protocol::Shape;
use indigopath_image_locality::constants::BATCH_SECONDS;
use std::iter::Peekable;

/// Which machines the tasks of a turn may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Locality {
    /// Any that qualifies.
    Any,
    /// Only machines that have the image, or will have it as soon as any could.
    NearImage,
}

/// What remains of a turn for which no machine was found beside the images. It is taken up again
/// after all peers.
struct Deferred<'a> {
    entry: QueueEntry<'a>,
    /// `Pass::on_demand_short` as it was at the entry's own place in the order.
    on_demand_short: bool,
}

/// A turn of a job while its tasks are placed.
struct TaskTurn<'a> {
    requirements: TaskRequirements<'a>,
    class: EquivalenceClass,
    locality: Locality,
    tasks_by_zone: TasksByZone,
    open_zones: OpenZones,
    /// Each start may close a zone to the next task.
    zone_bound: bool,
    waiting: Peekable<WaitingTasks<'a>>,
    /// Tasks of the turn that were not dealt with yet.
    remaining: u32,
}

impl<'a> Pass<'a> {
    /// How many more tasks of the job its team's limit allows.
    pub(super) fn quota_left(&self, spec: &JobSpec, most: u32) -> u32 {
        let Some(team) = self.team(&spec.team) else {
            return 0;
        };
        let mut used = self.usage.of(&spec.team);
        used += self.quota_reserved_from(spec);
        let mut left = 0;
        while left < most {
            used += spec.needs;
            if !team.allows(&used) {
                break;
            }
            left += 1;
        }
        left
    }

    /// Binds a task of the job to a machine.
    pub(super) fn bind(&mut self, requirements: &mut TaskRequirements<'a>, index: u32, at: usize) {
        let job = requirements.job;
        let spec = &job.spec;
        requirements.image = Some(self.await_image(spec, at));
        let capacity = &mut self.capacities[at];
        capacity.free -= spec.needs;
        capacity.held_s = capacity.held_s.max(occupies_s(spec));
        let machine = capacity.machine.id.clone();
        if spec.spread || spec.one_zone {
            self.note_placed_zone(job, at);
        }
        self.usage.add(&spec.team, spec.needs);
        if !spec.counts.is_empty() {
            self.book.allocate(&spec.team, &spec.counts, units_held_s(spec));
        }
        self.starts += 1;
        let task = TaskId {
            job: spec.id.clone(),
            index,
        };
        self.plan.decisions.push(Decision::Start { task, machine });
    }

    /// Notes that a task of the job needs its image on a machine; returns the image's number.
    fn await_image(&mut self, spec: &'a JobSpec, at: usize) -> u32 {
        let capacity = &mut self.capacities[at];
        let image = self.images.intern(&spec.image, spec.image_gb);
        if note_image(&mut capacity.images, image) {
            if let Some(known) = self.images.get_mut(image) {
                known.copies += 1;
            }
            record_fetch(
                &mut capacity.fetching,
                ImageFetch {
                    image,
                    since: self.cluster.now,
                    waiting: 0.0,
                },
            );
        }
        if let Some(fetch) = capacity.fetching.iter_mut().find(|fetch| fetch.image == image) {
            let replica = spec.shape == Shape::Service;
            fetch.waiting += if replica { 1.0 } else { 1.0 / BATCH_SECONDS };
        }
        image
    }

    fn note_placed_zone(&mut self, job: &'a Job, at: usize) {
        let zones = self.cluster.deployment.zones.len();
        let zone = self.capacities[at].place.map_or(zones, |(_, zone)| zone);
        let placed = self
            .placed_zones
            .entry(&job.spec.id)
            .or_insert_with(|| vec![0; zones + 1]);
        placed[zone] += 1;
    }

    /// Places work of one priority and rank. Tasks of arrays first use the machines that have their
    /// images, in their order, and then what is left: otherwise, where more waits than there is
    /// capacity, whatever comes free goes to the job whose turn it is, and half of the tasks fetch
    /// images that lie beside a place which another took.
    pub(super) fn place_peers(&mut self, peers: &[QueueEntry<'a>]) {
        let Some(mut deferred) = self.place_near_images(peers) else {
            return;
        };
        let short = self.on_demand_short;
        if self.place_first_replicas(&mut deferred).is_none() || self.place_deferred(deferred).is_none() {
            return;
        }
        self.on_demand_short = short;
    }

    /// Whether this pass may start no more tasks.
    fn is_exhausted(&self) -> bool {
        self.starts >= STARTS_PER_PASS
    }

    /// Gives each entry its turn, and returns what is left of those that were placed only beside their
    /// images. `None` once the pass is exhausted.
    fn place_near_images(&mut self, peers: &[QueueEntry<'a>]) -> Option<Vec<Deferred<'a>>> {
        let mut deferred = Vec::new();
        for entry in peers {
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
                on_demand_short: self.on_demand_short,
            }));
        }
        Some(deferred)
    }

    /// In a crowd, each service first gets one replica, as something is better than nothing. `None` once
    /// the pass is exhausted.
    fn place_first_replicas(&mut self, deferred: &mut [Deferred<'a>]) -> Option<()> {
        for Deferred {
            entry,
            on_demand_short,
        } in deferred
        {
            if self.is_exhausted() {
                return None;
            }
            if entry.job.spec.shape == Shape::Service && entry.tasks > 1 && self.is_down(entry.job) {
                self.on_demand_short = *on_demand_short;
                let one = QueueEntry { tasks: 1, ..*entry };
                self.place_tasks(&one);
                entry.skip += 1;
                entry.tasks -= 1;
            }
        }
        Some(())
    }

    /// Places what was deferred, anywhere. `None` once the pass is exhausted.
    fn place_deferred(&mut self, deferred: Vec<Deferred<'a>>) -> Option<()> {
        for Deferred {
            entry,
            on_demand_short,
        } in deferred
        {
            if self.is_exhausted() {
                return None;
            }
            // A gang that comes later in the order keeps it off nothing.
            self.on_demand_short = on_demand_short;
            self.place_tasks(&entry);
        }
        Some(())
    }

    /// Whether no task of the job is, or may be, on any machine.
    fn is_down(&self, job: &Job) -> bool {
        self.zones_of(&job.spec.id).iter().all(|count| *count == 0)
    }

    /// Places an array's tasks on machines that have their image; returns how many.
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
        let tasks_by_zone = self.zones_of(&job.spec.id);
        let zones = self.open_zones(&job.spec, &tasks_by_zone);
        let mut candidates = self.candidates(&requirements, &zones, None);
        candidates.retain(|candidate| {
            self.has_image(&requirements, candidate.at)
                && self.capacities[candidate.at].machine.errors.is_empty()
        });
        if candidates.is_empty() {
            return 0;
        }
        let allowed = self.quota_left(&job.spec, entry.tasks);
        let mut waiting = entry.waiting_tasks(allowed);
        let mut placed = 0;
        for Candidate { at, .. } in candidates {
            while job.spec.needs.fits_in(&self.free_for(&requirements, at)) && !self.is_exhausted() {
                let Some(index) = waiting.next() else {
                    return placed;
                };
                self.bind(&mut requirements, index, at);
                placed += 1;
            }
        }
        placed
    }

    /// Places replicas where their image lies, or will as soon as anywhere; returns how many it dealt
    /// with.
    ///
    /// All do that before any of them begins a fetch: else each machine that comes up got one
    /// replica of each model that waits, and fetched six at a time.
    fn place_service_near_images(&mut self, entry: &QueueEntry<'a>) -> u32 {
        let allowed = self.quota_left(&entry.job.spec, entry.tasks);
        let mut turn = self.task_turn(entry, allowed, Locality::NearImage);
        self.bind_turn(&mut turn);
        allowed - turn.remaining
    }

    /// Places as many of the entry's tasks as its team's limit and the units of counts allow.
    fn place_tasks(&mut self, entry: &QueueEntry<'a>) {
        let allowed = self.quota_left(&entry.job.spec, entry.tasks);
        if allowed == 0 {
            return;
        }
        let with_units = self.tasks_with_units(entry, allowed);
        if with_units > 0 {
            self.place_allowed(entry, with_units);
        }
        if with_units < allowed {
            self.wait_for_units(entry, 1, allowed - with_units);
        }
    }

    /// Places so many of a job's tasks, and preempts others for those that find no capacity.
    fn place_allowed(&mut self, entry: &QueueEntry<'a>, allowed: u32) {
        let mut turn = self.task_turn(entry, allowed, Locality::Any);
        if self.bind_turn(&mut turn).is_none() {
            return;
        }
        let mut unplaced = self.tasks_promised_units(entry, turn.remaining);
        while unplaced > 0 && self.preempt_for(&turn.requirements, &turn.open_zones, None) {
            unplaced -= 1;
        }
        self.record_unplaced(entry, unplaced, &turn.open_zones);
    }

    fn task_turn(&self, entry: &QueueEntry<'a>, allowed: u32, locality: Locality) -> TaskTurn<'a> {
        let spec = &entry.job.spec;
        let requirements = self.requirements(entry.job);
        let tasks_by_zone = self.zones_of(&spec.id);
        TaskTurn {
            class: self.equivalence_class(&requirements),
            open_zones: self.open_zones(spec, &tasks_by_zone),
            requirements,
            locality,
            tasks_by_zone,
            zone_bound: spec.spread || spec.one_zone,
            waiting: entry.waiting_tasks(allowed).peekable(),
            remaining: allowed,
        }
    }

    /// Binds tasks of the turn while candidates are found. `None` once the pass is exhausted.
    fn bind_turn(&mut self, turn: &mut TaskTurn<'a>) -> Option<()> {
        let unschedulable = self.is_unschedulable(&turn.class, 1);
        while turn.waiting.peek().is_some() && !unschedulable {
            let candidates = self.turn_candidates(turn);
            if candidates.is_empty() {
                let is_general =
                    !turn.requirements.avoids_failed_machines && turn.open_zones.iter().all(|open| *open);
                if turn.locality == Locality::Any && is_general {
                    self.unschedulable.insert(turn.class.clone(), 1);
                }
                break;
            }
            self.fill(turn, candidates)?;
        }
        Some(())
    }

    fn turn_candidates(&self, turn: &TaskTurn<'a>) -> Vec<Candidate> {
        let mut candidates = self.candidates(&turn.requirements, &turn.open_zones, None);
        if turn.locality == Locality::NearImage {
            candidates.retain(|candidate| self.image_arrives_soonest(&turn.requirements, candidate.at));
        }
        if turn.zone_bound {
            // Each start may close a zone to the next: one at a time.
            candidates.truncate(1);
        }
        candidates
    }

    /// Fills the candidates in their order; of a turn that is bound to zones, starts one task at most.
    /// `None` once the pass is exhausted.
    fn fill(&mut self, turn: &mut TaskTurn<'a>, candidates: Vec<Candidate>) -> Option<()> {
        let needs = turn.requirements.job.spec.needs;
        for Candidate { at, .. } in candidates {
            while needs.fits_in(&self.free_for(&turn.requirements, at)) {
                if self.is_exhausted() {
                    return None;
                }
                let Some(index) = turn.waiting.next() else {
                    return Some(());
                };
                turn.remaining -= 1;
                if self.preempts_beside_image(turn, at) {
                    continue;
                }
                if self.should_defer_start(&turn.requirements, at) {
                    // The capacity stays unused until the others have their images.
                    self.capacities[at].free -= needs;
                    continue;
                }
                self.bind(&mut turn.requirements, index, at);
                if turn.zone_bound {
                    self.count_zone(turn, at);
                    return Some(());
                }
            }
        }
        Some(())
    }

    /// Whether, as a fetch on this machine would make the start late, work is stopped on one that has the
    /// image: that is worth the little work that is lost.
    fn preempts_beside_image(&mut self, turn: &TaskTurn<'a>, at: usize) -> bool {
        let requirements = &turn.requirements;
        self.fetch_s(requirements, at) > requirements.start_within_s && {
            let budget_s = self.preemption_budget_s(requirements, at);
            self.preempt_for(requirements, &turn.open_zones, Some(budget_s))
        }
    }

    /// Counts a start on a machine against its zone.
    fn count_zone(&self, turn: &mut TaskTurn<'a>, at: usize) {
        if let Some((_, zone)) = self.capacities[at].place {
            turn.tasks_by_zone[zone] += 1;
        }
        turn.open_zones = self.open_zones(&turn.requirements.job.spec, &turn.tasks_by_zone);
    }

    /// Whether jobs of the class with so many tasks to start at once have found no capacity.
    pub(super) fn is_unschedulable(&self, class: &EquivalenceClass, tasks: u32) -> bool {
        self.unschedulable.get(class).is_some_and(|least| *least <= tasks)
    }

    /// Records tasks for which no machine has room, unless no zone may take them.
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

/// Whether machines differ for the job's tasks by nothing but the image.
fn is_interchangeable(entry: &QueueEntry<'_>) -> bool {
    let spec = &entry.job.spec;
    !spec.spread && !spec.one_zone && !entry.needs_units
}
