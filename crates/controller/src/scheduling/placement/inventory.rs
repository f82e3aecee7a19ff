//! The snapshot phase: an inventory of machines, images, usage by team, and units of counted resources.

use super::counted_units::record_units;
use super::image_catalog::{ImageCatalog, add_image};
use super::pass::{ImageFetch, MachineCapacity, Pass, RunningTask, UsageByTeam};
use super::placement_cost::{fetch_weight, record_fetch};
use super::queue_order::within_guarantee;
use super::{ClusterSnapshot, Plan, is_usable};
use crate::allocations::{Attempt, Machine};
use crate::constants::{DEFAULT_OCCUPANCY_S, MIN_OCCUPANCY_S};
use crate::model::{Resources, Timestamp};
use crate::protocol::{MachineType, Priority};
use indigopath_counted_resources::UnitLedger;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};

/// Totals accumulated while the machines are visited one by one.
struct Inventory<'a> {
    cluster: &'a ClusterSnapshot<'a>,
    types: Vec<&'a MachineType>,
    images: ImageCatalog<'a>,
    usage: UsageByTeam<'a>,
    unit_ledger: UnitLedger<'a>,
    any_stopping: bool,
}

impl<'a> Inventory<'a> {
    fn new(cluster: &'a ClusterSnapshot<'a>) -> Inventory<'a> {
        Inventory {
            cluster,
            types: cluster.types.values().collect(),
            images: ImageCatalog::default(),
            usage: UsageByTeam::default(),
            unit_ledger: UnitLedger::with_policy(cluster.units.definitions, cluster.units.policy),
            any_stopping: false,
        }
    }

    /// Counts the tasks on a machine, and returns its remaining capacity.
    fn add_machine(&mut self, machine: &'a Machine) -> MachineCapacity<'a> {
        let type_position = self
            .types
            .iter()
            .position(|machine_type| machine_type.name == machine.machine_type);
        let zone_position = self
            .cluster
            .deployment
            .zones
            .iter()
            .position(|zone| *zone == machine.zone);
        let machine_type = type_position.map(|position| self.types[position]);
        let mut capacity = MachineCapacity {
            machine,
            machine_type,
            type_and_zone: type_position.zip(zone_position),
            free: machine_type.map(MachineType::resources).unwrap_or_default(),
            spare: Resources::default(),
            stopping_resources: Resources::default(),
            running: Vec::with_capacity(machine.attempts.len()),
            usable: is_usable(machine, self.cluster.now),
            images: self.cached_images(machine),
            fetching: Vec::new(),
            occupied_s: 0.0,
            reservation: None,
        };
        let mut used = Resources::default();
        for attempt in machine.attempts.iter().filter(|attempt| attempt.may_be_running()) {
            used += attempt.needs;
            self.add_attempt(attempt, &mut capacity);
        }
        if machine_type.is_some() {
            capacity.free -= used;
        }
        capacity
    }

    /// Returns the catalog numbers of the images that the machine has.
    fn cached_images(&mut self, machine: &'a Machine) -> Vec<u32> {
        let mut cached = Vec::new();
        for image in machine.images.contents() {
            let number = self.images.intern(&image.image, image.gb);
            if let Some(image_info) = self.images.get_mut(number) {
                image_info.size_gb = image.gb;
            }
            add_image(&mut cached, number);
        }
        cached
    }

    fn add_attempt(&mut self, attempt: &'a Attempt, capacity: &mut MachineCapacity<'a>) {
        self.usage.add(&attempt.team, attempt.needs);
        record_units(&mut self.unit_ledger, attempt, self.cluster.now);
        let stopping = attempt.stop.is_some();
        if stopping {
            capacity.stopping_resources += attempt.needs;
            self.any_stopping = true;
        }
        self.add_fetch(attempt, capacity);
        capacity.occupied_s = capacity.occupied_s.max(remaining_s(attempt, self.cluster.now));
        capacity.running.push(RunningTask {
            attempt,
            job: None,
            stopping,
        });
    }

    /// Counts the image fetch that an attempt waits for, if any.
    fn add_fetch(&mut self, attempt: &'a Attempt, capacity: &mut MachineCapacity<'a>) {
        let Some(image) = &attempt.image else { return };
        if !attempt.is_fetching() || capacity.machine.has_image(image) {
            return;
        }
        let number = self.images.intern(image, attempt.image_gb);
        add_image(&mut capacity.images, number);
        record_fetch(
            &mut capacity.fetching,
            ImageFetch {
                image: number,
                started_at: attempt.planned_at,
                waiting_replicas: fetch_weight(attempt),
            },
        );
    }
}

impl<'a> Pass<'a> {
    /// Takes the inventory of the cluster.
    pub(super) fn new(cluster: &'a ClusterSnapshot<'a>) -> Pass<'a> {
        let mut inventory = Inventory::new(cluster);
        let capacities = cluster
            .machines
            .values()
            .map(|machine| inventory.add_machine(machine))
            .collect();
        cluster
            .units
            .add_external_usage(&mut inventory.unit_ledger, cluster.machines, cluster.now);
        let mut pass = Pass {
            cluster,
            capacities,
            types: inventory.types,
            kind_sets: RefCell::default(),
            images: inventory.images,
            usage: inventory.usage,
            within_guarantee: within_guarantee(cluster.deployment, cluster.jobs, cluster.now),
            unschedulable: HashMap::new(),
            unpreemptable: HashSet::new(),
            reserved_slots: 0,
            reserved_quotas: Vec::new(),
            reservations: Vec::new(),
            on_demand_shortage: false,
            lowest_priority: lowest_placed_priority(cluster),
            any_stopping: inventory.any_stopping,
            placed_zones: HashMap::new(),
            running_jobs_resolved: false,
            preemption_searches: 0,
            unit_ledger: inventory.unit_ledger,
            unit_preemptions: 0,
            lowest_unit_priority: None,
            plan: Plan::default(),
            starts: 0,
        };
        pass.compute_eviction_costs();
        pass
    }
}

/// Returns the lowest priority of any job with tasks on machines; larger values are lower priorities.
fn lowest_placed_priority(cluster: &ClusterSnapshot<'_>) -> Option<Priority> {
    cluster
        .jobs
        .values()
        .filter(|job| job.waiting.len() + job.done.len() < job.spec.tasks as usize)
        .map(|job| job.spec.priority)
        .max()
}

/// Returns the estimated time for which a task will still occupy its machine, in s.
pub(super) fn remaining_s(attempt: &Attempt, now: Timestamp) -> f64 {
    if attempt.estimate_s > 0.0 {
        // A task that has overrun its estimate is expected to run on for as long as the overrun. Otherwise it
        // would always seem about to end, and machines stayed reserved for a gang for as long as it ran.
        (attempt.estimate_s - attempt.elapsed_s(now))
            .abs()
            .max(MIN_OCCUPANCY_S)
    } else {
        DEFAULT_OCCUPANCY_S
    }
}
