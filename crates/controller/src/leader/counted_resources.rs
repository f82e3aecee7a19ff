//! Counted resources in a leader's term: units that linger, licence servers and plain warnings.

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

/// What can be wrong with a count, for its warnings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Trouble {
    Silent,
    Over,
    Undefined,
    TooFew,
}

/// Since when something is wrong, and when operators were last told.
#[derive(Debug, Clone, Copy)]
struct Lasting {
    since: Timestamp,
    told: Option<Timestamp>,
}

/// What a term knows of counted resources beyond the attempts that hold them.
#[derive(Debug, Default)]
pub(super) struct Counted {
    feeds: BTreeMap<Name, UsageFeed>,
    /// For how long units of each count linger.
    linger_ms: HashMap<Name, u64>,
    /// Demands of jobs and attempts, each once.
    demands: DemandInterner,
    /// Units that linger, as at the last pass or look.
    lingers: Vec<Linger>,
    /// Who waited for units after the last pass, in the order of service.
    pub(super) short: Vec<UnsatisfiedDemand>,
    /// Units that it kept for requests that have waited for long.
    kept: BTreeMap<Name, u32>,
    /// For which jobs, and since when: what a new leader does not know, it counts anew.
    keepers: BTreeMap<JobId, Timestamp>,
    /// How often more was held than there was.
    oversubscribed: BTreeMap<Name, u64>,
    over: BTreeSet<Name>,
    troubles: BTreeMap<(Name, Trouble), Lasting>,
    /// Starts with units since they were last taken: count, and the job's age in s.
    waits: Vec<(Name, f64)>,
    looked_at: Timestamp,
}

impl Counted {
    /// For the counts that operators have defined.
    pub(super) fn new(definitions: &Definitions) -> Counted {
        let linger_ms = definitions
            .iter()
            .map(|(name, definition)| (name.clone(), definition.linger_ms()));
        let asked = definitions
            .iter()
            .filter(|(_, definition)| definition.server.is_some());
        Counted {
            feeds: asked
                .map(|(name, _)| (name.clone(), UsageFeed::default()))
                .collect(),
            linger_ms: linger_ms.collect(),
            ..Counted::default()
        }
    }
}

impl LeaderTerm {
    /// What a pass needs to know of counted resources.
    pub(super) fn units<'a>(&'a self, definitions: &'a Definitions) -> CountedUnits<'a> {
        CountedUnits {
            definitions,
            policy: ReservationPolicy::default(),
            reserved_since: &self.counted_resources.keepers,
            feeds: &self.counted_resources.feeds,
            lingers: &self.counted_resources.lingers,
            recently_released: self.machines.recently_released(),
        }
    }

    /// Shares a demand with its equals.
    pub(super) fn share_demand(&mut self, demand: &mut Demand) {
        if !demand.is_empty() {
            *demand = self.counted_resources.demands.intern(std::mem::take(demand));
        }
    }

    /// Brings what lingers up to date, before a pass or a look.
    pub(super) fn settle_lingers(&mut self, now: Timestamp) {
        let before = self.counted_resources.lingers.len();
        self.counted_resources.lingers = self.writer.active_lingers(now);
        // Units that have come free are a reason to place.
        self.scheduler
            .request_pass_if(self.counted_resources.lingers.len() < before);
    }

    /// Notes what a pass says of units.
    pub(super) fn note_units(
        &mut self,
        short: Vec<UnsatisfiedDemand>,
        kept: BTreeMap<Name, u32>,
        keepers: BTreeSet<JobId>,
        now: Timestamp,
    ) {
        let before = std::mem::take(&mut self.counted_resources.keepers);
        let since = |job: JobId| {
            let since = before.get(&job).copied().unwrap_or(now);
            (job, since)
        };
        self.counted_resources.keepers = keepers.into_iter().map(since).collect();
        self.counted_resources.short = short;
        self.counted_resources.kept = kept;
    }

    /// An attempt holds its units no longer.
    pub(super) fn freed(&mut self, shard: Option<u32>, team: &Arc<str>, counts: &Demand, now: Timestamp) {
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
                // What is said of the count before the next pass must not lack it.
                self.counted_resources.lingers.push(linger.clone());
                self.writer.add_linger(shard, linger);
            }
        }
    }

    /// A machine is gone. For as long as units linger that its attempts may have held, a licence server
    /// may name its clients, which are ours then, also to the next leader.
    pub(super) fn remember_clients(&mut self, machine: &Machine) {
        let named_until = machine
            .shard
            .and_then(|shard| self.writer.on_machine_released(shard, &machine.id));
        if let Some(until) = named_until {
            // A server that falls silent then is believed for a while.
            self.machines
                .remember_released(&machine.id, until + SERVER_USAGE_VALID_MS);
        }
    }

    /// A machine that is gone, as a former leader recorded it: its clients are ours.
    pub(super) fn adopt_released(
        &mut self,
        shard: u32,
        released: &ReleasedMachine,
        clock_off_ms: u64,
        io: &Io,
    ) {
        // As with lingering units: this clock may be late, the other may have been early.
        let named_until_ms = released.until_ms.saturating_add(2 * clock_off_ms);
        let left_ms = named_until_ms.saturating_sub(io.wall_ms);
        let longest_ms = self
            .counted_resources
            .linger_ms
            .values()
            .max()
            .copied()
            .unwrap_or(0);
        let until = io.now + left_ms.min(longest_ms);
        if io.now < until {
            let id = MachineId(released.name.clone());
            self.machines
                .remember_released(&id, until + SERVER_USAGE_VALID_MS);
            self.writer.load_released_machine(shard, id, until);
        }
    }

    /// A task with units is placed: how long its job waited.
    pub(super) fn note_wait(&mut self, counts: &Demand, age_ms: u64) {
        let age_s = age_ms as f64 / SECOND_MS as f64;
        let waits = counts.iter().map(|(count, _)| (count.clone(), age_s));
        self.counted_resources.waits.extend(waits);
    }

    /// Waits of tasks placed since this was last asked: count, and the job's age in s.
    pub fn take_waits(&mut self) -> Vec<(Name, f64)> {
        std::mem::take(&mut self.counted_resources.waits)
    }

    // ---- licence servers -----------------------------------------------------

    /// Asks the licence servers that are due for their usage.
    pub(super) fn poll_servers(&mut self, definitions: &Definitions, io: &mut Io) {
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

    /// Follows the answer of a licence server.
    pub(super) fn licences_told(
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

    /// Looks at all counts for what operators should know.
    pub(super) fn look_at_counts(&mut self, definitions: &Definitions, io: &mut Io) {
        if io.now < self.counted_resources.looked_at + FORECAST_INTERVAL_MS {
            return;
        }
        self.counted_resources.looked_at = io.now;
        self.settle_lingers(io.now);
        let units = self.units(definitions);
        let book = placement::unit_ledger(self.machines.as_map(), &units, io.now);
        let mut found: Vec<(Name, Trouble, String)> = Vec::new();
        let mut over = BTreeSet::new();
        for pool in book.pools() {
            let name: Name = Arc::from(pool.name);
            let waiting = waiting_for(pool.name, &self.counted_resources.short);
            match pool.closed {
                Some(ClosedReason::Undefined) => found.push((
                    name.clone(),
                    Trouble::Undefined,
                    format!(
                        "it is not defined any more, but {} of its units are held",
                        pool.held
                    ),
                )),
                Some(ClosedReason::Silent) => {
                    let server = pool.definition.and_then(|definition| definition.server);
                    found.push((
                        name.clone(),
                        Trouble::Silent,
                        format!(
                            "its licence server {} is silent: nothing new starts on it, and {waiting} tasks wait",
                            server.map_or_else(String::new, |server| server.to_string()),
                        ),
                    ));
                }
                None if pool.excess() > 0 => {
                    over.insert(name.clone());
                    if !self.counted_resources.over.contains(&name) {
                        log::warn!(
                            "counted resource oversubscribed {}",
                            self.oversubscription(pool, io.now)
                        );
                    }
                    found.push((
                        name.clone(),
                        Trouble::Over,
                        format!(
                            "{} units are held, {} linger and {} are others', of {}: nothing is stopped, and \
                             nothing starts on it until enough of them end; {waiting} tasks wait",
                            pool.held, pool.lingering, pool.external, pool.units
                        ),
                    ));
                }
                None => (),
            }
        }
        for (name, wanted, job) in too_large(self.jobs.as_map(), definitions) {
            found.push((
                name,
                Trouble::TooFew,
                format!(
                    "job={job} needs {wanted} of its units at once, and there are too few: it cannot start"
                ),
            ));
        }
        drop(book);
        for name in &over {
            if !self.counted_resources.over.contains(name) {
                *self
                    .counted_resources
                    .oversubscribed
                    .entry(name.clone())
                    .or_default() += 1;
            }
        }
        self.counted_resources.over = over;
        self.tell_troubles(found, io);
    }

    /// Where the units of a pool come from of which more are taken than there are.
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
        let is_ours = |host: &str| {
            self.machines.as_map().contains_key(host) || self.machines.recently_released().contains_key(host)
        };
        let server = feed.and_then(|feed| UsageReport::of(feed, is_ours, now));
        Oversubscription::new(pool, attempts, lingers.collect(), server)
    }

    fn tell_troubles(&mut self, found: Vec<(Name, Trouble, String)>, io: &mut Io) {
        self.counted_resources.troubles.retain(|(name, trouble), _| {
            found
                .iter()
                .any(|(other, kind, _)| other == name && kind == trouble)
        });
        for (name, trouble, text) in found {
            let key = (name.clone(), trouble);
            let lasting = self.counted_resources.troubles.entry(key).or_insert(Lasting {
                since: io.now,
                told: None,
            });
            let due = match lasting.told {
                None => io.now >= lasting.since + COUNT_WARNING_AFTER_MS,
                Some(at) => io.now >= at + WARNING_REPEAT_MS,
            };
            if due {
                lasting.told = Some(io.now);
                io.effects.push(Effect::Warning(format!("count={name}: {text}")));
            }
        }
    }
}

/// Tasks that wait for a count.
fn waiting_for(count: &str, short: &[UnsatisfiedDemand]) -> u64 {
    short
        .iter()
        .filter(|short| &*short.shortage.count == count)
        .map(|short| u64::from(short.tasks))
        .sum()
}

/// For each count, the live job that needs the most of its units at once, if that is more
/// than there is: it was accepted when there were more.
fn too_large<'a>(jobs: &'a BTreeMap<JobId, Job>, definitions: &Definitions) -> Vec<(Name, u64, &'a JobId)> {
    let mut largest: BTreeMap<&Name, (u64, &JobId)> = BTreeMap::new();
    for job in jobs.values().filter(|job| !job.parked && !job.waiting.is_empty()) {
        for (count, units) in job.spec.counts.iter() {
            let wanted = u64::from(units) * u64::from(job.gang_size());
            let there = definitions.get(count).map_or(0, |definition| definition.units);
            let known = largest.get(count).map_or(0, |(most, _)| *most);
            if wanted > u64::from(there) && wanted > known {
                largest.insert(count, (wanted, &job.spec.id));
            }
        }
    }
    largest
        .into_iter()
        .map(|(name, (wanted, job))| (name.clone(), wanted, job))
        .collect()
}
