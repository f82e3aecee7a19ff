//! Scaling out: deciding which machines to launch, sending the requests and handling the responses.

use super::request_prefix;
use crate::allocations::Machine;
use crate::autoscaling::scale_out_request::ScaleOutRequest;
use crate::autoscaling::target_size::{self, PendingCapacity, QueuedDemand};
use crate::constants::{CAPACITY_RETRY_MS, CLOUD_RETRY_MS, MAX_MACHINES_PER_LAUNCH, RELEASE_CALL_RESERVE};
use crate::io::{Io, Method, Outcome, json};
use crate::leader::LeaderTerm;
use crate::leader::calls::TermCall;
use crate::model::{Job, JobSpec, MachineId, MachineKind};
use crate::protocol::{LaunchRequest, MachineNames, MachineType, Shape, paths};
use crate::scheduling::placement::{self, MachineTypes, is_faulty};
use crate::settings::Settings;
use indigopath_fencing::GuardedOperation;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

impl LeaderTerm {
    /// For each kind of machine, requests the difference between the target size, as [`target_size`] computes
    /// it, and the machines that are idle or booting.
    pub(in crate::leader) fn size_fleet(&mut self, types: &MachineTypes, settings: &Settings, io: &mut Io) {
        // The machines launched by former leaders must be known first. Otherwise a new leader requests
        // them again, and twice as many machines as needed boot after a failover.
        if io.now < self.autoscaler.cloud_retry_at || !self.autoscaler.listing.is_complete() {
            return;
        }
        self.autoscaler
            .capacity_refused_until
            .retain(|_, until| *until > io.now);
        self.autoscaler.wanted = self.wanted_kinds(types);
        let mut pending_capacity = self.pending_capacity(types);
        // If gangs that cannot use spot machines are waiting for on-demand machines, work that may use
        // spot machines does not count on pending on-demand ones. Spot machines are sorted first.
        let on_demand_short = self.scheduler.unplaced().iter().any(|unplaced| {
            self.jobs
                .get(&unplaced.job)
                .is_some_and(|job| !job.spec.spot && job.spec.shape == Shape::Gang)
        });
        let pending_spot = pending_capacity.iter().filter(|machine| machine.spot).count();
        let mut machines_by_zone: HashMap<&str, usize> = HashMap::new();
        for machine in self.machines.values() {
            *machines_by_zone.entry(&machine.zone).or_default() += 1;
        }
        let mut queues: BTreeMap<(String, bool, Vec<String>), QueuedDemand> = BTreeMap::new();
        for unplaced in self
            .scheduler
            .unplaced()
            .iter()
            .chain(&self.protection_windows.unplaced_spares)
        {
            let Some(job) = self.jobs.get(&unplaced.job) else {
                continue;
            };
            let spec = self.scale_out_spec(job);
            // Idle and pending machines of any eligible kind cover tasks first.
            let usable = if on_demand_short && spec.spot {
                pending_spot
            } else {
                pending_capacity.len()
            };
            let tasks = target_size::uncovered_tasks(
                &mut pending_capacity[..usable],
                &spec,
                job.avoided_machines(io.now),
                &unplaced.zones,
                unplaced.tasks,
                types,
            );
            if tasks == 0 {
                continue;
            }
            let avoids_spot = placement::avoids_spot(
                job,
                &settings.deployment,
                self.autoscaler.spot_losses().rate(),
                io.now,
            );
            let kind = self.cheapest_kind(&spec, &unplaced.zones, avoids_spot, types);
            let Some((machine_type, spot, mut zones)) = kind else {
                continue;
            };
            if job.spec.one_zone {
                // Machines spread over several zones could never run the whole job.
                zones = fullest_zone(zones, &machines_by_zone);
            }
            let waste_s = self.autoscaler.overhead_s(types, &machine_type.name);
            let per_machine = job.spec.needs.instances_in(&machine_type.resources());
            let waiting = target_size::WaitingTasks {
                tasks,
                estimate_s: job.spec.estimate_s,
                per_machine,
                is_gang: job.spec.shape == Shape::Gang,
            };
            queues
                .entry((machine_type.name.clone(), spot, zones))
                .or_default()
                .add(waiting, waste_s);
        }
        let pending_machines: u32 = self
            .autoscaler
            .open_requests()
            .map(|scale_out| scale_out.request.count)
            .sum();
        let mut remaining_fleet = settings
            .operator
            .fleet_max
            .saturating_sub(self.machines.len() as u32 + pending_machines);
        for ((name, spot, zones), queue) in queues {
            let target = target_size::target_machines(&queue, self.autoscaler.overhead_s(types, &name));
            let count = target.min(remaining_fleet);
            if count > 0 {
                remaining_fleet -= count;
                self.create_requests(&name, spot, &zones, count);
            }
        }
    }

    /// The job specification used to choose machines to launch. A protected job that could use on-demand
    /// machines does not get spot machines.
    fn scale_out_spec<'j>(&self, job: &'j Job) -> std::borrow::Cow<'j, JobSpec> {
        let protection = &self.protection_windows.protection;
        if !protection.avoids_spot(&job.spec, &self.forecast.satisfaction().starved) {
            return std::borrow::Cow::Borrowed(&job.spec);
        }
        std::borrow::Cow::Owned(JobSpec {
            spot: false,
            ..job.spec.clone()
        })
    }

    /// Kinds of machines that some waiting task could use. A gang that is waiting for more machines must not
    /// lose the idle ones it already has.
    fn wanted_kinds(&self, types: &MachineTypes) -> HashSet<MachineKind> {
        let mut wanted = HashSet::new();
        for unplaced in self
            .scheduler
            .unplaced()
            .iter()
            .chain(&self.protection_windows.unplaced_spares)
        {
            let Some(job) = self.jobs.get(&unplaced.job) else {
                continue;
            };
            let spec = self.scale_out_spec(job);
            for machine_type in types.values() {
                for (zone, spot) in unplaced
                    .zones
                    .iter()
                    .flat_map(|zone| [(zone, false), (zone, true)])
                {
                    if spec.is_eligible(machine_type, zone, spot) {
                        wanted.insert((machine_type.name.clone(), zone.clone(), spot));
                    }
                }
            }
        }
        wanted
    }

    /// Free capacity of machines that are idle, booting or requested.
    fn pending_capacity(&self, types: &MachineTypes) -> Vec<PendingCapacity> {
        let machines = self.machines.values().filter(|machine| {
            let pending = !machine.is_up() && machine.attempts.is_empty() || machine.idle_since.is_some();
            let usable =
                machine.reclaim_notice_until.is_none() && !machine.one_way_partition && !is_faulty(machine);
            pending && !machine.releasing && usable
        });
        let machines = machines.map(|machine| {
            let kind = (&machine.machine_type, &machine.zone, machine.spot);
            (Some(&machine.id), kind, 1)
        });
        let requests = self.autoscaler.open_requests().map(|scale_out| {
            let request = &scale_out.request;
            let kind = (&request.machine_type, &request.zone, request.spot);
            (None, kind, request.count)
        });
        let mut capacity = Vec::new();
        for (machine, (machine_type, zone, spot), count) in machines.chain(requests) {
            let Some(known_type) = types.get(machine_type) else {
                continue;
            };
            let mut free = known_type.resources();
            if let Some(reserved) = machine.and_then(|machine| self.protection_windows.reserved.get(machine))
            {
                free -= *reserved;
            }
            for _ in 0..count {
                capacity.push(PendingCapacity {
                    machine: machine.cloned(),
                    machine_type: machine_type.clone(),
                    zone: zone.clone(),
                    spot,
                    free,
                });
            }
        }
        // Work that may use spot machines uses them first, to leave the others to work that may not.
        capacity.sort_by(|a: &PendingCapacity, b: &PendingCapacity| {
            (!a.spot, &a.machine_type, &a.zone).cmp(&(!b.spot, &b.machine_type, &b.zone))
        });
        capacity
    }

    /// Returns the kind of machine with the lowest price per task for which the cloud may have capacity, and
    /// its eligible zones. If `avoids_spot`, on-demand machines are preferred at any price.
    fn cheapest_kind<'a>(
        &self,
        spec: &JobSpec,
        zones: &[String],
        avoids_spot: bool,
        types: &'a MachineTypes,
    ) -> Option<(&'a MachineType, bool, Vec<String>)> {
        let mut best = None;
        let mut lowest_cost = (true, f64::INFINITY);
        for machine_type in types.values() {
            for spot in [true, false] {
                let open_zones: Vec<String> = zones
                    .iter()
                    .filter(|zone| {
                        machine_type.zones.contains(zone) && spec.is_eligible(machine_type, zone, spot)
                    })
                    .filter(|zone| !self.is_zone_partitioned(zone) && !self.is_zone_one_way_partitioned(zone))
                    .filter(|zone| {
                        !self.autoscaler.capacity_refused_until.contains_key(&(
                            machine_type.name.clone(),
                            (*zone).clone(),
                            spot,
                        ))
                    })
                    .cloned()
                    .collect();
                if open_zones.is_empty() {
                    continue;
                }
                let per_machine = spec.needs.instances_in(&machine_type.resources()).max(1.0);
                let price = if spot {
                    machine_type.spot_price
                } else {
                    machine_type.price
                };
                let cost = (spot && avoids_spot, price / per_machine);
                if cost < lowest_cost {
                    lowest_cost = cost;
                    best = Some((machine_type, spot, open_zones));
                }
            }
        }
        best
    }

    /// Creates requests for `count` machines, placing each in the zone with the fewest machines.
    fn create_requests(&mut self, machine_type: &str, spot: bool, zones: &[String], count: u32) {
        let mut machines_by_zone: BTreeMap<&String, u32> = zones.iter().map(|zone| (zone, 0)).collect();
        for machine in self.machines.values() {
            if let Some(count) = machines_by_zone.get_mut(&machine.zone) {
                *count += 1;
            }
        }
        for scale_out in self.autoscaler.open_requests() {
            if let Some(count) = machines_by_zone.get_mut(&scale_out.request.zone) {
                *count += scale_out.request.count;
            }
        }
        let mut count_by_zone: BTreeMap<&String, u32> = BTreeMap::new();
        for _ in 0..count {
            let Some((zone, zone_count)) = machines_by_zone.iter_mut().min_by_key(|(_, count)| **count)
            else {
                return;
            };
            *zone_count += 1;
            *count_by_zone.entry(*zone).or_default() += 1;
        }
        for (zone, mut remaining) in count_by_zone {
            log::info!(
                "scale-out requested count={remaining} type={machine_type} zone={zone}{}",
                if spot { " spot=true" } else { "" }
            );
            while remaining > 0 {
                let count = remaining.min(MAX_MACHINES_PER_LAUNCH);
                remaining -= count;
                self.autoscaler.request_count += 1;
                let request = LaunchRequest {
                    request: format!(
                        "{}{}",
                        request_prefix(self.first_token),
                        self.autoscaler.request_count
                    ),
                    machine_type: machine_type.to_owned(),
                    zone: zone.clone(),
                    spot,
                    count,
                };
                let key = request.request.clone();
                self.autoscaler
                    .requests
                    .insert(key.clone(), ScaleOutRequest::new(request));
                self.writer.launches_to_record.insert(key);
            }
        }
    }

    /// Sends the recorded requests that are due, within the call budget.
    pub(in crate::leader) fn send_scale_out_requests(&mut self, io: &mut Io) {
        let now = io.now;
        let due = |scale_out: &ScaleOutRequest| {
            scale_out.persisted && scale_out.is_open() && !scale_out.in_flight && now >= scale_out.retry_at
        };
        if !self.autoscaler.requests.values().any(due) {
            return;
        }
        let Ok(permit) = io.permits.request(GuardedOperation::LaunchMachines, now) else {
            return;
        };
        let mut to_send = Vec::new();
        for scale_out in self.autoscaler.requests.values_mut() {
            if due(scale_out) && io.cloud_budget.try_take(1.0, RELEASE_CALL_RESERVE, io.now) {
                scale_out.sent = true;
                scale_out.in_flight = true;
                to_send.push(scale_out.request.clone());
            }
        }
        for request in to_send {
            let body = json(&request);
            let call = io.cloud_call(permit, Method::Post, paths::RENTALS.to_owned(), body);
            self.calls.insert(
                call,
                TermCall::Launch {
                    request: request.request,
                },
            );
        }
    }

    /// Handles the response to a scale-out request.
    pub(in crate::leader) fn handle_launch_response(&mut self, key: &str, outcome: &Outcome, io: &mut Io) {
        let Some(scale_out) = self.autoscaler.requests.get_mut(key) else {
            return;
        };
        scale_out.in_flight = false;
        let request = scale_out.request.clone();
        let requested_in_this_term = request.request.starts_with(&request_prefix(self.first_token));
        if let Some(names) = outcome.read::<MachineNames>(&[200]) {
            scale_out.answered_at = Some(io.now);
            for name in &names.machines {
                let id = MachineId(Arc::from(name.as_str()));
                if !self.machines.is_recently_released(&id) {
                    let machine = self.machines.get_or_adopt(&id, || {
                        let mut machine = Machine::new(
                            id.clone(),
                            request.machine_type.clone(),
                            request.zone.clone(),
                            request.spot,
                            io.now,
                        );
                        // The boot time of a machine requested by a former leader is unknown.
                        machine.launched_at = requested_in_this_term.then_some(io.now);
                        machine
                    });
                    machine.unconfirmed = false;
                }
            }
            if (names.machines.len() as u32) < request.count {
                self.record_capacity_refusal(&request, io);
            }
        } else if outcome.status() == Some(503) {
            #[derive(serde::Deserialize)]
            struct ErrorBody {
                #[serde(default)]
                error: String,
            }
            let error = outcome
                .read::<ErrorBody>(&[503])
                .map(|error| error.error)
                .unwrap_or_default();
            if error.contains("capacity") {
                self.record_capacity_refusal(&request, io);
            } else {
                self.autoscaler.cloud_retry_at = io.now + CLOUD_RETRY_MS;
            }
            match self.autoscaler.requests.get_mut(key) {
                // An earlier call for this request may still be executed. Its record must stay, as the
                // machines would otherwise be unknown and launched a second time.
                Some(scale_out) if scale_out.outcome_unknown && !error.contains("capacity") => {
                    scale_out.retry_at = io.now + CLOUD_RETRY_MS;
                }
                // Nothing was launched. Drop the request, as the demand may have changed.
                _ => self.remove_request(key),
            }
        } else if outcome.status() == Some(400) {
            log::error!("scale-out rejected request={key}: the cloud reports it as malformed");
            self.remove_request(key);
        } else {
            // The machines may have been launched. The request is idempotent, so it is retried.
            scale_out.outcome_unknown |= !outcome.is_safe_to_retry();
            scale_out.retry_at = io.now + CLOUD_RETRY_MS;
        }
    }

    /// Records that the cloud lacks capacity for this kind of machine, and stops requesting it for a while.
    fn record_capacity_refusal(&mut self, request: &LaunchRequest, io: &Io) {
        log::info!(
            "scale-out refused for want of capacity type={} zone={}{}",
            request.machine_type,
            request.zone,
            if request.spot { " spot=true" } else { "" }
        );
        let kind = request.kind();
        self.autoscaler
            .capacity_refused_until
            .insert(kind.clone(), io.now + CAPACITY_RETRY_MS);
        // Unsent requests for the same kind would be refused too, at the cost of one call each.
        let unsent: Vec<String> = self
            .autoscaler
            .requests
            .values()
            .filter(|scale_out| !scale_out.sent && scale_out.request.kind() == kind)
            .map(|scale_out| scale_out.request.request.clone())
            .collect();
        for key in unsent {
            self.remove_request(&key);
        }
    }
}

/// Returns the zone with the most machines, the first one if several have as many.
fn fullest_zone(zones: Vec<String>, machines: &HashMap<&str, usize>) -> Vec<String> {
    let fullest = zones
        .into_iter()
        .min_by_key(|zone| std::cmp::Reverse(machines.get(zone.as_str()).copied().unwrap_or(0)));
    fullest.into_iter().collect()
}
