//! Scaling out: which machines are rented, and what the cloud answers.

use super::request_prefix;
use crate::allocations::Machine;
use crate::autoscaling::scale_out_request::ScaleOutRequest;
use crate::autoscaling::target_size::{self, PendingCapacity, QueuedDemand};
use crate::constants::{CAPACITY_RETRY_MS, CLOUD_RETRY_MS, MAX_MACHINES_PER_RENTAL, RELEASE_CALL_RESERVE};
use crate::io::{Io, Method, Outcome, json};
use crate::leader::LeaderTerm;
use crate::leader::calls::TermCall;
use crate::model::{Job, JobSpec, MachineId, MachineKind};
use crate::protocol::{MachineNames, MachineType, RentalRequest, Shape, paths};
use crate::scheduling::placement::{self, MachineTypes, is_faulty};
use crate::settings::Settings;
use indigopath_fencing::GuardedOperation;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

impl LeaderTerm {
    /// The paper's rule, kind by kind: rents the gap between its target and the
    /// machines that are idle or booting.
    pub(in crate::leader) fn size_fleet(&mut self, types: &MachineTypes, settings: &Settings, io: &mut Io) {
        // What former leaders rented must be known before anything is rented: twice
        // as many machines as were needed booted after a take-over.
        if io.now < self.autoscaler.cloud_retry_at || !self.autoscaler.listing.is_complete() {
            return;
        }
        self.autoscaler
            .capacity_refused_until
            .retain(|_, until| *until > io.now);
        self.autoscaler.wanted = self.wanted_kinds(types);
        let mut coming = self.pending_capacity(types);
        // Work that may use spot machines does not count on ordinary ones that others
        // wait for. Spot machines stand first.
        let ordinary_short = self.scheduler.unplaced().iter().any(|unplaced| {
            self.jobs
                .get(&unplaced.job)
                .is_some_and(|job| !job.spec.spot && job.spec.shape == Shape::Gang)
        });
        let spot_ones = coming.iter().filter(|machine| machine.spot).count();
        let mut in_zone: HashMap<&str, usize> = HashMap::new();
        for machine in self.machines.values() {
            *in_zone.entry(&machine.zone).or_default() += 1;
        }
        let mut queues: BTreeMap<(String, bool, Vec<String>), QueuedDemand> = BTreeMap::new();
        for unplaced in self
            .scheduler
            .unplaced()
            .iter()
            .chain(&self.protection_windows.short)
        {
            let Some(job) = self.jobs.get(&unplaced.job) else {
                continue;
            };
            let spec = self.scale_out_spec(job);
            // Machines that are idle or coming take what they may, of whatever kind.
            let most = if ordinary_short && spec.spot {
                spot_ones
            } else {
                coming.len()
            };
            let tasks = target_size::uncovered_tasks(
                &mut coming[..most],
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
                // Machines spread over zones would never take it whole.
                zones = fullest_zone(zones, &in_zone);
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
        let pending: u32 = self
            .autoscaler
            .open_requests()
            .map(|rental| rental.request.count)
            .sum();
        let mut room = settings
            .operator
            .fleet_max
            .saturating_sub(self.machines.len() as u32 + pending);
        for ((name, spot, zones), queue) in queues {
            let target = target_size::target_machines(&queue, self.autoscaler.overhead_s(types, &name));
            let count = target.min(room);
            if count > 0 {
                room -= count;
                self.create_requests(&name, spot, &zones, count);
            }
        }
    }

    /// A job as machines are rented for it: what is protected, and may have any other, is kept off spot
    /// ones.
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

    /// Kinds of machines that some waiting task could use. A gang for which there are
    /// too few must not lose those that stand ready for it.
    fn wanted_kinds(&self, types: &MachineTypes) -> HashSet<MachineKind> {
        let mut wanted = HashSet::new();
        for unplaced in self
            .scheduler
            .unplaced()
            .iter()
            .chain(&self.protection_windows.short)
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

    /// Machines that are idle, booting or being rented.
    fn pending_capacity(&self, types: &MachineTypes) -> Vec<PendingCapacity> {
        let machines = self.machines.values().filter(|machine| {
            let coming = !machine.is_up() && machine.attempts.is_empty() || machine.idle_since.is_some();
            let takes =
                machine.reclaim_notice_until.is_none() && !machine.one_way_partition && !is_faulty(machine);
            coming && !machine.releasing && takes
        });
        let machines = machines.map(|machine| {
            let kind = (&machine.machine_type, &machine.zone, machine.spot);
            (Some(&machine.id), kind, 1)
        });
        let rentals = self.autoscaler.open_requests().map(|rental| {
            let request = &rental.request;
            let kind = (&request.machine_type, &request.zone, request.spot);
            (None, kind, request.count)
        });
        let mut coming = Vec::new();
        for (machine, (machine_type, zone, spot), count) in machines.chain(rentals) {
            let Some(known) = types.get(machine_type) else {
                continue;
            };
            let mut free = known.resources();
            if let Some(kept) = machine.and_then(|machine| self.protection_windows.kept.get(machine)) {
                free -= *kept;
            }
            for _ in 0..count {
                coming.push(PendingCapacity {
                    machine: machine.cloned(),
                    machine_type: machine_type.clone(),
                    zone: zone.clone(),
                    spot,
                    free,
                });
            }
        }
        // What may use spot machines leaves the others to what may not.
        coming.sort_by(|a: &PendingCapacity, b: &PendingCapacity| {
            (!a.spot, &a.machine_type, &a.zone).cmp(&(!b.spot, &b.machine_type, &b.zone))
        });
        coming
    }

    /// The cheapest kind of machine, per task, that the cloud may have; for a job that
    /// avoids spot machines, an ordinary one if there is any.
    fn cheapest_kind<'a>(
        &self,
        spec: &JobSpec,
        zones: &[String],
        avoids_spot: bool,
        types: &'a MachineTypes,
    ) -> Option<(&'a MachineType, bool, Vec<String>)> {
        let mut best = None;
        let mut least = (true, f64::INFINITY);
        for machine_type in types.values() {
            for spot in [true, false] {
                let open: Vec<String> = zones
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
                if open.is_empty() {
                    continue;
                }
                let per_machine = spec.needs.instances_in(&machine_type.resources()).max(1.0);
                let price = if spot {
                    machine_type.spot_price
                } else {
                    machine_type.price
                };
                let cost = (spot && avoids_spot, price / per_machine);
                if cost < least {
                    least = cost;
                    best = Some((machine_type, spot, open));
                }
            }
        }
        best
    }

    /// Spreads `count` machines over the zones with the fewest of the site's.
    fn create_requests(&mut self, name: &str, spot: bool, zones: &[String], count: u32) {
        let mut have: BTreeMap<&String, u32> = zones.iter().map(|zone| (zone, 0)).collect();
        for machine in self.machines.values() {
            if let Some(count) = have.get_mut(&machine.zone) {
                *count += 1;
            }
        }
        for rental in self.autoscaler.open_requests() {
            if let Some(count) = have.get_mut(&rental.request.zone) {
                *count += rental.request.count;
            }
        }
        let mut share: BTreeMap<&String, u32> = BTreeMap::new();
        for _ in 0..count {
            let Some((zone, at)) = have.iter_mut().min_by_key(|(_, count)| **count) else {
                return;
            };
            *at += 1;
            *share.entry(*zone).or_default() += 1;
        }
        for (zone, mut left) in share {
            log::info!(
                "scale-out requested count={left} type={name} zone={zone}{}",
                if spot { " spot=true" } else { "" }
            );
            while left > 0 {
                let count = left.min(MAX_MACHINES_PER_RENTAL);
                left -= count;
                self.autoscaler.request_count += 1;
                let request = RentalRequest {
                    request: format!(
                        "{}{}",
                        request_prefix(self.first_token),
                        self.autoscaler.request_count
                    ),
                    machine_type: name.to_owned(),
                    zone: zone.clone(),
                    spot,
                    count,
                };
                let key = request.request.clone();
                self.autoscaler
                    .requests
                    .insert(key.clone(), ScaleOutRequest::new(request));
                self.writer.rentals_to_record.insert(key);
            }
        }
    }

    /// Sends the requests that are on record, as far as the budget of calls goes.
    pub(in crate::leader) fn send_scale_out_requests(&mut self, io: &mut Io) {
        let now = io.now;
        let due = |rental: &ScaleOutRequest| {
            rental.persisted && rental.is_open() && !rental.in_flight && now >= rental.retry_at
        };
        if !self.autoscaler.requests.values().any(due) {
            return;
        }
        let Ok(permit) = io.permits.request(GuardedOperation::LaunchMachines, now) else {
            return;
        };
        let mut sends = Vec::new();
        for rental in self.autoscaler.requests.values_mut() {
            if due(rental) && io.cloud_budget.try_take(1.0, RELEASE_CALL_RESERVE, io.now) {
                rental.sent = true;
                rental.in_flight = true;
                sends.push(rental.request.clone());
            }
        }
        for request in sends {
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

    /// Follows the answer to a scale-out request.
    pub(in crate::leader) fn handle_launch_response(&mut self, key: &str, outcome: &Outcome, io: &mut Io) {
        let Some(rental) = self.autoscaler.requests.get_mut(key) else {
            return;
        };
        rental.in_flight = false;
        let request = rental.request.clone();
        let own = request.request.starts_with(&request_prefix(self.first_token));
        if let Some(names) = outcome.read::<MachineNames>(&[200]) {
            rental.answered_at = Some(io.now);
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
                        // A former leader's may have booted for long.
                        machine.rented_at = own.then_some(io.now);
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
            struct Problem {
                #[serde(default)]
                error: String,
            }
            let problem = outcome
                .read::<Problem>(&[503])
                .map(|problem| problem.error)
                .unwrap_or_default();
            if problem.contains("capacity") {
                self.record_capacity_refusal(&request, io);
            } else {
                self.autoscaler.cloud_retry_at = io.now + CLOUD_RETRY_MS;
            }
            match self.autoscaler.requests.get_mut(key) {
                // An earlier call of it may still be carried out: its record stays, or nobody
                // would know of the machines, and as many would be rented again.
                Some(rental) if rental.outcome_unknown && !problem.contains("capacity") => {
                    rental.retry_at = io.now + CLOUD_RETRY_MS;
                }
                // Nothing was rented, and the need may have changed: decide afresh.
                _ => self.remove_request(key),
            }
        } else if outcome.status() == Some(400) {
            log::error!("scale-out rejected request={key}: the cloud calls it malformed");
            self.remove_request(key);
        } else {
            // Perhaps rented: the request is idempotent, so repeating it shows, and rents nothing twice.
            rental.outcome_unknown |= !outcome.is_safe_to_retry();
            rental.retry_at = io.now + CLOUD_RETRY_MS;
        }
    }

    /// The cloud has too few machines of this kind: none are asked for during a while.
    fn record_capacity_refusal(&mut self, request: &RentalRequest, io: &Io) {
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
        // What has not been sent of the same kind would be refused too, a call each.
        let in_vain: Vec<String> = self
            .autoscaler
            .requests
            .values()
            .filter(|rental| !rental.sent && rental.request.kind() == kind)
            .map(|rental| rental.request.request.clone())
            .collect();
        for key in in_vain {
            self.remove_request(&key);
        }
    }
}

/// The zone with the most of the site's machines, the first of several.
fn fullest_zone(zones: Vec<String>, machines: &HashMap<&str, usize>) -> Vec<String> {
    let fullest = zones
        .into_iter()
        .min_by_key(|zone| std::cmp::Reverse(machines.get(zone.as_str()).copied().unwrap_or(0)));
    fullest.into_iter().collect()
}
