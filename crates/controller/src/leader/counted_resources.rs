//! The leader's view of counted resources: lingering units, licence servers, and warnings to
//! operators.

mod status;

use super::LeaderTerm;
use super::calls::TermCall;
use super::oversubscription::{HeldUnits, LingeringUnits, Oversubscription, UsageReport};
use crate::allocations::Machine;
use crate::constants::{COUNT_WARNING_AFTER_MS, FORECAST_INTERVAL_MS, SECOND_MS, WARNING_REPEAT_MS};
use crate::io::{Effect, FencedDestination, Io, Method, Outcome};
use crate::model::{Job, JobId, MachineId, Timestamp};
use crate::protocol::paths;
use crate::scheduling::placement::{self, CountedUnits, UnsatisfiedDemand};
use crate::storage::records::ReleasedMachine;
use indigopath_counted_resources::constants::{
    MAX_SERVER_ANSWER_BYTES, SERVER_TIMEOUT_MS, SERVER_USAGE_VALID_MS,
};
use indigopath_counted_resources::{
    ClosedReason, Definitions, Demand, DemandInterner, Linger, Name, Pool, ReservationPolicy, UsageFeed,
    parse_usage,
};
use status::holder_state;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::sync::Arc;

/// A problem with a counted resource of which operators are warned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CountProblem {
    Silent,
    Oversubscribed,
    Undefined,
    Unsatisfiable,
}

/// Since when a problem has lasted, and when operators were last warned of it.
#[derive(Debug, Clone, Copy)]
struct OngoingProblem {
    since: Timestamp,
    warned_at: Option<Timestamp>,
}

/// The leader's state of counted resources, apart from the attempts that hold units.
#[derive(Debug, Default)]
pub(super) struct CountedResources {
    feeds: BTreeMap<Name, UsageFeed>,
    /// How long units of each counted resource linger.
    linger_ms: HashMap<Name, u64>,
    /// Interned demands of jobs and attempts.
    demand_interner: DemandInterner,
    /// Lingering units as of the last pass or check.
    lingers: Vec<Linger>,
    /// Demand that lacked units in the last pass, in queue order.
    pub(super) unsatisfied: Vec<UnsatisfiedDemand>,
    /// Units that the last pass reserved for requests that have waited for long.
    reserved: BTreeMap<Name, u32>,
    /// The jobs with reserved units, and since when. A new leader does not know the start of a
    /// reservation and counts from its own first pass.
    reserved_since: BTreeMap<JobId, Timestamp>,
    /// How often each counted resource became oversubscribed.
    oversubscription_counts: BTreeMap<Name, u64>,
    oversubscribed_now: BTreeSet<Name>,
    problems: BTreeMap<(Name, CountProblem), OngoingProblem>,
    /// Job age in s at each start of a task with units, by counted resource, since last taken.
    unit_waits: Vec<(Name, f64)>,
    checked_at: Timestamp,
}

impl CountedResources {
    /// Creates the state for the counted resources that the operators defined.
    pub(super) fn new(definitions: &Definitions) -> CountedResources {
        let linger_ms = definitions
            .iter()
            .map(|(name, definition)| (name.clone(), definition.linger_ms()));
        let with_server = definitions
            .iter()
            .filter(|(_, definition)| definition.server.is_some());
        CountedResources {
            feeds: with_server
                .map(|(name, _)| (name.clone(), UsageFeed::default()))
                .collect(),
            linger_ms: linger_ms.collect(),
            ..CountedResources::default()
        }
    }
}

impl LeaderTerm {
    /// The counted resources as input of a scheduling pass.
    pub(super) fn counted_units<'a>(&'a self, definitions: &'a Definitions) -> CountedUnits<'a> {
        CountedUnits {
            definitions,
            policy: ReservationPolicy::default(),
            reserved_since: &self.counted_resources.reserved_since,
            feeds: &self.counted_resources.feeds,
            lingers: &self.counted_resources.lingers,
            recently_released: self.machines.recently_released(),
        }
    }

    /// Replaces a demand by a shared copy of an equal one.
    pub(super) fn intern_demand(&mut self, demand: &mut Demand) {
        if !demand.is_empty() {
            *demand = self
                .counted_resources
                .demand_interner
                .intern(std::mem::take(demand));
        }
    }

    /// Updates the lingering units before a pass or a check.
    pub(super) fn update_lingers(&mut self, now: Timestamp) {
        let before = self.counted_resources.lingers.len();
        self.counted_resources.lingers = self.writer.active_lingers(now);
        // Units that became free allow further placements.
        self.scheduler
            .request_pass_if(self.counted_resources.lingers.len() < before);
    }

    /// Records the unsatisfied demand and the reservations of a pass.
    pub(super) fn record_unit_reservations(
        &mut self,
        unsatisfied: Vec<UnsatisfiedDemand>,
        reserved: BTreeMap<Name, u32>,
        reserved_for: BTreeSet<JobId>,
        now: Timestamp,
    ) {
        let previous = std::mem::take(&mut self.counted_resources.reserved_since);
        let since = |job: JobId| {
            let since = previous.get(&job).copied().unwrap_or(now);
            (job, since)
        };
        self.counted_resources.reserved_since = reserved_for.into_iter().map(since).collect();
        self.counted_resources.unsatisfied = unsatisfied;
        self.counted_resources.reserved = reserved;
    }

    /// Starts the linger time of the units of an attempt that no longer holds them.
    pub(super) fn on_units_released(
        &mut self,
        shard: Option<u32>,
        team: &Arc<str>,
        counts: &Demand,
        now: Timestamp,
    ) {
        for (count, units) in counts.iter() {
            let linger_ms = self.counted_resources.linger_ms.get(count).copied().unwrap_or(0);
            if linger_ms > 0 {
                log::debug!("units linger count={count} team={team} units={units} linger_ms={linger_ms}");
                let linger = Linger {
                    count: count.clone(),
                    team: team.clone(),
                    units,
                    until: now + linger_ms,
                };
                // Status requests before the next pass must include these units.
                self.counted_resources.lingers.push(linger.clone());
                self.writer.add_linger(shard, linger);
            }
        }
    }

    /// Remembers a machine that is gone for as long as units that its attempts may have held
    /// linger. Until then a licence server may still list its clients, which count as the cluster's
    /// own, also for the next leader.
    pub(super) fn remember_licence_clients(&mut self, machine: &Machine) {
        let listed_until = machine
            .shard
            .and_then(|shard| self.writer.on_machine_released(shard, &machine.id));
        if let Some(until) = listed_until {
            // The last usage reported by an unresponsive server remains valid for this much longer.
            self.machines
                .remember_released(&machine.id, until + SERVER_USAGE_VALID_MS);
        }
    }

    /// Restores a machine that is gone from the record of an earlier leader. Its clients count as
    /// the cluster's own.
    pub(super) fn restore_released_machine(
        &mut self,
        shard: u32,
        released: &ReleasedMachine,
        clock_skew_ms: u64,
        io: &Io,
    ) {
        // As for lingering units: this clock may be behind, and the writer's may have been ahead.
        let listed_until_ms = released.until_ms.saturating_add(2 * clock_skew_ms);
        let left_ms = listed_until_ms.saturating_sub(io.wall_ms);
        let max_linger_ms = self
            .counted_resources
            .linger_ms
            .values()
            .max()
            .copied()
            .unwrap_or(0);
        let until = io.now + left_ms.min(max_linger_ms);
        if io.now < until {
            let id = MachineId(released.name.clone());
            self.machines
                .remember_released(&id, until + SERVER_USAGE_VALID_MS);
            self.writer.load_released_machine(shard, id, until);
        }
    }

    /// Records how long the job of a placed task with units has waited.
    pub(super) fn record_unit_wait(&mut self, counts: &Demand, age_ms: u64) {
        let age_s = age_ms as f64 / SECOND_MS as f64;
        let waits = counts.iter().map(|(count, _)| (count.clone(), age_s));
        self.counted_resources.unit_waits.extend(waits);
    }

    /// Returns and clears the recorded waits: counted resource, and the job's age in s.
    pub fn take_unit_waits(&mut self) -> Vec<(Name, f64)> {
        std::mem::take(&mut self.counted_resources.unit_waits)
    }

    // ---- licence servers -----------------------------------------------------

    /// Polls the licence servers that are due.
    pub(super) fn poll_licence_servers(&mut self, definitions: &Definitions, io: &mut Io) {
        let mut due: BTreeSet<SocketAddrV4> = BTreeSet::new();
        for (name, feed) in &mut self.counted_resources.feeds {
            if feed.start_poll(io.now) {
                due.extend(definitions.get(name).and_then(|definition| definition.server));
            }
        }
        for server in due {
            let call = io.call(
                FencedDestination::Licences(server),
                Method::Get,
                paths::LICENCES.to_owned(),
                Vec::new(),
                SERVER_TIMEOUT_MS,
            );
            self.calls.insert(call, TermCall::LicenceUsage { server });
        }
    }

    /// Handles the answer of a licence server.
    pub(super) fn handle_licence_response(
        &mut self,
        server: SocketAddrV4,
        outcome: &Outcome,
        definitions: &Definitions,
        now: Timestamp,
    ) {
        let text = match outcome {
            Outcome::Answer { status: 200, body } if body.len() <= MAX_SERVER_ANSWER_BYTES => {
                std::str::from_utf8(body).map_err(|_| "its answer is no text".to_owned())
            }
            Outcome::Answer { status: 200, .. } => Err("its answer is too long".to_owned()),
            Outcome::Answer { status, .. } => Err(format!("it answers {status}")),
            Outcome::NotSent => Err("nobody listens there".to_owned()),
            Outcome::NoAnswer => Err("it does not answer".to_owned()),
        };
        for (name, feed) in &mut self.counted_resources.feeds {
            if definitions.get(name).and_then(|definition| definition.server) != Some(server) {
                continue;
            }
            let before = feed.last_usage(now).map(|(usage, _)| (usage.total, usage.in_use));
            feed.record_answer(match &text {
                Ok(text) => parse_usage(text, name).map_err(|error| error.to_string()),
                Err(problem) => Err(problem.clone()),
            });
            self.scheduler.request_pass_if(
                before != feed.last_usage(now).map(|(usage, _)| (usage.total, usage.in_use)),
            );
        }
    }

    // ---- warnings ------------------------------------------------------------

    /// Checks all counted resources for problems of which operators should know.
    pub(super) fn update_count_warnings(&mut self, definitions: &Definitions, io: &mut Io) {
        if io.now < self.counted_resources.checked_at + FORECAST_INTERVAL_MS {
            return;
        }
        self.counted_resources.checked_at = io.now;
        self.update_lingers(io.now);
        let units = self.counted_units(definitions);
        let unit_ledger = placement::unit_ledger(self.machines.as_map(), &units, io.now);
        let mut problems_found: Vec<(Name, CountProblem, String)> = Vec::new();
        let mut over = BTreeSet::new();
        for pool in unit_ledger.pools() {
            let name: Name = Arc::from(pool.name);
            let waiting = tasks_waiting_for(pool.name, &self.counted_resources.unsatisfied);
            match pool.closed {
                Some(ClosedReason::Undefined) => problems_found.push((
                    name.clone(),
                    CountProblem::Undefined,
                    format!(
                        "it is not defined any more, but {} of its units are held",
                        pool.held
                    ),
                )),
                Some(ClosedReason::Silent) => {
                    let server = pool.definition.and_then(|definition| definition.server);
                    problems_found.push((
                        name.clone(),
                        CountProblem::Silent,
                        format!(
                            "its licence server {} is silent: nothing new starts on it, and {waiting} tasks wait",
                            server.map_or_else(String::new, |server| server.to_string()),
                        ),
                    ));
                }
                None if pool.excess() > 0 => {
                    over.insert(name.clone());
                    if !self.counted_resources.oversubscribed_now.contains(&name) {
                        log::warn!(
                            "counted resource oversubscribed {}",
                            self.oversubscription(pool, io.now)
                        );
                    }
                    problems_found.push((
                        name.clone(),
                        CountProblem::Oversubscribed,
                        format!(
                            "{} units are held, {} linger and {} are used by clients outside the cluster, of {}: no \
                             task is stopped, and none starts until units are free again; {waiting} tasks wait",
                            pool.held, pool.lingering, pool.external, pool.units
                        ),
                    ));
                }
                None => (),
            }
        }
        for (name, wanted, job) in unsatisfiable_jobs(self.jobs.as_map(), definitions) {
            problems_found.push((
                name,
                CountProblem::Unsatisfiable,
                format!(
                    "job={job} needs {wanted} of its units at once, and there are too few: it cannot start"
                ),
            ));
        }
        drop(unit_ledger);
        for name in &over {
            if !self.counted_resources.oversubscribed_now.contains(name) {
                *self
                    .counted_resources
                    .oversubscription_counts
                    .entry(name.clone())
                    .or_default() += 1;
            }
        }
        self.counted_resources.oversubscribed_now = over;
        self.emit_count_warnings(problems_found, io);
    }

    /// Details of an oversubscribed pool: the holders of its units.
    fn oversubscription(&self, pool: &Pool<'_>, now: Timestamp) -> Oversubscription {
        let mut attempts = Vec::new();
        for machine in self.machines.values() {
            let held = machine.attempts.iter().filter_map(|attempt| {
                let state = holder_state(machine, attempt);
                HeldUnits::of(attempt, &machine.id, pool.name, state)
            });
            attempts.extend(held);
        }
        let lingers = self
            .writer
            .shard_lingers()
            .filter(|entry| &*entry.linger.count == pool.name && now < entry.linger.until)
            .map(|entry| LingeringUnits::of(&entry, now));
        let feed = self.counted_resources.feeds.get(pool.name);
        let is_own_machine = |host: &str| {
            self.machines.as_map().contains_key(host) || self.machines.recently_released().contains_key(host)
        };
        let server = feed.and_then(|feed| UsageReport::of(feed, is_own_machine, now));
        Oversubscription::new(pool, attempts, lingers.collect(), server)
    }

    fn emit_count_warnings(&mut self, problems_found: Vec<(Name, CountProblem, String)>, io: &mut Io) {
        self.counted_resources.problems.retain(|(name, problem), _| {
            problems_found
                .iter()
                .any(|(found_name, found_problem, _)| found_name == name && found_problem == problem)
        });
        for (name, problem, text) in problems_found {
            let key = (name.clone(), problem);
            let ongoing = self
                .counted_resources
                .problems
                .entry(key)
                .or_insert(OngoingProblem {
                    since: io.now,
                    warned_at: None,
                });
            let due = match ongoing.warned_at {
                None => io.now >= ongoing.since + COUNT_WARNING_AFTER_MS,
                Some(at) => io.now >= at + WARNING_REPEAT_MS,
            };
            if due {
                ongoing.warned_at = Some(io.now);
                io.effects.push(Effect::Warning(format!("count={name}: {text}")));
            }
        }
    }
}

/// Number of tasks that wait for units of a counted resource.
fn tasks_waiting_for(count: &str, unsatisfied: &[UnsatisfiedDemand]) -> u64 {
    unsatisfied
        .iter()
        .filter(|demand| &*demand.shortage.count == count)
        .map(|demand| u64::from(demand.tasks))
        .sum()
}

/// For each counted resource, the live job that needs the most units at once, if it needs more than
/// are defined. Such a job was accepted when more units were defined.
fn unsatisfiable_jobs<'a>(
    jobs: &'a BTreeMap<JobId, Job>,
    definitions: &Definitions,
) -> Vec<(Name, u64, &'a JobId)> {
    let mut largest: BTreeMap<&Name, (u64, &JobId)> = BTreeMap::new();
    for job in jobs.values().filter(|job| !job.parked && !job.waiting.is_empty()) {
        for (count, units) in job.spec.counts.iter() {
            let wanted = u64::from(units) * u64::from(job.gang_size());
            let available = definitions.get(count).map_or(0, |definition| definition.units);
            let known = largest.get(count).map_or(0, |(units, _)| *units);
            if wanted > u64::from(available) && wanted > known {
                largest.insert(count, (wanted, &job.spec.id));
            }
        }
    }
    largest
        .into_iter()
        .map(|(name, (wanted, job))| (name.clone(), wanted, job))
        .collect()
}
