//! Units of all counted resources as seen by one scheduling pass: which are held, free or reserved.
//! The ledger is rebuilt from the records of attempts for every pass and keeps no state of its own,
//! so it cannot diverge from them.

use crate::constants::{BACKFILL_S, BACKFILL_SAFETY_FACTOR, EXPECTED_MACHINE_WAIT_S, RESERVE_AFTER_S};
use crate::licence::{FeedState, UsageFeed};
use crate::{Definition, Definitions, Demand, Name};
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;

/// Why no further units of a counted resource may be allocated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClosedReason {
    /// The operators do not define it, or no longer do.
    Undefined,
    /// Its licence server has been silent for too long, or has never answered.
    Silent,
}

/// Why a task cannot get its units now, as shown to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShortageReason {
    /// Tasks hold all units.
    Held,
    /// Units would be free, but linger after an attempt that did not exit on its own.
    Lingering,
    /// Clients outside the cluster hold them.
    External,
    /// The free units are reserved for an older, larger request.
    Reserved,
    /// More units are held than exist: the number was lowered, or outside clients took too many.
    Oversubscribed,
    /// Its licence server is silent.
    Silent,
    /// It is not defined.
    Undefined,
}

impl ShortageReason {
    /// Text for a sentence such as "waits for units of seat: …".
    pub fn text(self) -> &'static str {
        match self {
            ShortageReason::Held => "all are held",
            ShortageReason::Lingering => "some linger after attempts that did not end by themselves",
            ShortageReason::External => "users outside hold them",
            ShortageReason::Reserved => "what is free is kept for an older, larger request",
            ShortageReason::Oversubscribed => "more is held than there is",
            ShortageReason::Silent => "its licence server is silent",
            ShortageReason::Undefined => "no count of that name is defined any more",
        }
    }
}

/// Initial capacity of the list of expected releases.
const INITIAL_RELEASE_CAPACITY: u32 = 64;

/// When free units are reserved for a request that finds too few.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReservationPolicy {
    /// Age of the request in s; infinite disables reservations.
    pub reserve_after_s: f64,
    /// How long other tasks may use reserved units if they finish in time, in s.
    pub backfill_s: f64,
}

impl Default for ReservationPolicy {
    fn default() -> Self {
        ReservationPolicy {
            reserve_after_s: RESERVE_AFTER_S,
            backfill_s: BACKFILL_S,
        }
    }
}

/// The properties of a request that matter for units reserved for other requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Requester {
    /// Time since submission, in s.
    pub age_s: f64,
    /// Estimated run time of a task, in s; 0 if there is none.
    pub estimate_s: f64,
    /// How long units have been reserved for it, in s.
    pub reserved_s: f64,
}

/// Units reserved for the first request in queue order that is old enough.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Reservation {
    units: u32,
    /// Estimated time, in s, until the request can start; tasks that end sooner may use the units
    /// meanwhile. Negative once none may.
    ready_s: f64,
}

/// A team's use of a counted resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TeamUsage<'a> {
    pub team: &'a str,
    /// Guaranteed units.
    pub share: u32,
    /// Held and lingering units.
    pub used: u32,
    /// The part of `used` that is being stopped or lingers.
    pub releasing: u32,
}

impl<'a> TeamUsage<'a> {
    fn unused(team: &'a str) -> TeamUsage<'a> {
        TeamUsage {
            team,
            share: 0,
            used: 0,
            releasing: 0,
        }
    }
}

/// The units of one counted resource in a pass.
#[derive(Debug)]
pub struct Pool<'a> {
    pub name: &'a str,
    pub definition: Option<&'a Definition>,
    /// Maximum units that the cluster and outside clients may hold together.
    pub units: u32,
    /// Units in use by clients outside the cluster.
    pub external: u32,
    /// Units of attempts that may be on a machine, including those started in this pass.
    pub held: u32,
    /// The part of `held` whose attempts are being stopped.
    pub leaving: u32,
    /// Units that linger after attempts that are gone.
    pub lingering: u32,
    /// Why no further units may be allocated, if so.
    pub closed: Option<ClosedReason>,
    /// Teams with a share, or with held or lingering units.
    teams: Vec<TeamUsage<'a>>,
    /// When held and lingering units become free: seconds left, and units.
    expected_releases: Vec<(f64, u32)>,
    /// Units being stopped or lingering that no request in this pass counts on yet.
    unclaimed_releases: u32,
    /// Units of tasks that will exit on their own sooner than the units of a stopped task would be
    /// free, and that no request counts on yet.
    unclaimed_completions: u32,
    reservation: Option<Reservation>,
    /// Units claimed by requests for which other tasks are being stopped.
    claimed: u32,
    /// Units for which this pass requests machines.
    promised: u32,
}

impl<'a> Pool<'a> {
    fn new(name: &'a str, definition: Option<&'a Definition>) -> Pool<'a> {
        let shares = definition.into_iter().flat_map(|definition| &definition.shares);
        let teams = shares.map(|(team, share)| TeamUsage {
            share: *share,
            ..TeamUsage::unused(team)
        });
        Pool {
            name,
            definition,
            units: definition.map_or(0, |definition| definition.units),
            external: 0,
            held: 0,
            leaving: 0,
            lingering: 0,
            closed: definition.is_none().then_some(ClosedReason::Undefined),
            teams: teams.collect(),
            expected_releases: Vec::with_capacity(
                definition.map_or(0, |known| known.units.min(INITIAL_RELEASE_CAPACITY)) as usize,
            ),
            unclaimed_releases: 0,
            unclaimed_completions: 0,
            reservation: None,
            claimed: 0,
            promised: 0,
        }
    }

    /// Units held, lingering, or in use by outside clients.
    pub fn taken(&self) -> u64 {
        u64::from(self.held) + u64::from(self.lingering) + u64::from(self.external)
    }

    /// Unused units, including reserved ones.
    pub fn free(&self) -> u32 {
        if self.closed.is_some() {
            return 0;
        }
        (u64::from(self.units).saturating_sub(self.taken())) as u32
    }

    /// Units in use beyond those that exist.
    pub fn excess(&self) -> u32 {
        self.taken()
            .saturating_sub(u64::from(self.units))
            .min(u64::from(u32::MAX)) as u32
    }

    fn team(&self, team: &str) -> Option<&TeamUsage<'a>> {
        self.teams.iter().find(|team_usage| team_usage.team == team)
    }

    /// Units of its share that the team may still take.
    pub fn unused_share(&self, team: &str) -> u32 {
        self.team(team)
            .map_or(0, |team_usage| team_usage.share.saturating_sub(team_usage.used))
    }

    /// Whether any team has a guaranteed share.
    pub fn has_shares(&self) -> bool {
        self.definition
            .is_some_and(|definition| !definition.shares.is_empty())
    }

    /// Units reserved for, or claimed by, waiting requests.
    pub fn reserved(&self) -> u32 {
        self.reservation
            .map_or(0, |reservation| reservation.units)
            .saturating_add(self.claimed)
    }

    /// Teams with a share, or with held or lingering units.
    pub fn teams(&self) -> impl Iterator<Item = TeamUsage<'a>> + '_ {
        self.teams.iter().copied()
    }

    /// Units that the team holds beyond its share, without those already being released. Always 0
    /// if no team has a share, because then no units may be taken back.
    pub fn borrowed(&self, team: &str) -> u32 {
        match self.team(team) {
            Some(usage) if self.has_shares() => (usage.used - usage.releasing).saturating_sub(usage.share),
            _ => 0,
        }
    }

    /// Units that a request may take: reserved units only if it finishes in time. `requester` is
    /// called only if units are reserved.
    fn available_to(&self, requester: impl FnOnce() -> Requester) -> u32 {
        let available = self.free().saturating_sub(self.claimed);
        match self.reservation {
            Some(reservation) if !requester().finishes_within(reservation.ready_s) => {
                available.saturating_sub(reservation.units)
            }
            _ => available,
        }
    }

    /// Free units for which no machines have been requested yet.
    fn unpromised(&self) -> u32 {
        self.free().saturating_sub(self.promised)
    }

    /// Records held units that become free in `left_s` seconds.
    fn hold(&mut self, team: &'a str, units: u32, left_s: f64, releasing: bool) {
        self.held = self.held.saturating_add(units);
        self.add_usage(team, units, releasing);
        self.expected_releases.push((left_s, units));
    }

    fn add_usage(&mut self, team: &'a str, units: u32, releasing: bool) {
        let index = self.teams.iter().position(|team_usage| team_usage.team == team);
        let index = index.unwrap_or_else(|| {
            self.teams.push(TeamUsage::unused(team));
            self.teams.len() - 1
        });
        let team_usage = &mut self.teams[index];
        team_usage.used = team_usage.used.saturating_add(units);
        if releasing {
            team_usage.releasing = team_usage.releasing.saturating_add(units);
        }
    }

    /// Estimated time, in s, until this many units are free.
    fn ready_s(&mut self, units: u32) -> f64 {
        self.expected_releases.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut free = u64::from(self.free());
        for (left_s, released) in &self.expected_releases {
            if free >= u64::from(units) {
                return *left_s;
            }
            free += u64::from(*released);
        }
        if free >= u64::from(units) {
            self.expected_releases.last().map_or(0.0, |(left_s, _)| *left_s)
        } else {
            f64::INFINITY
        }
    }

    fn shortage_reason(&self, units: u32) -> ShortageReason {
        match self.closed {
            Some(ClosedReason::Undefined) => return ShortageReason::Undefined,
            Some(ClosedReason::Silent) => return ShortageReason::Silent,
            None => (),
        }
        if self.excess() > 0 {
            ShortageReason::Oversubscribed
        } else if self.free() >= units {
            ShortageReason::Reserved
        } else if u64::from(self.free()) + u64::from(self.lingering) >= u64::from(units) {
            ShortageReason::Lingering
        } else if self.external > 0 && self.held < units {
            ShortageReason::External
        } else {
            ShortageReason::Held
        }
    }
}

impl Requester {
    fn finishes_within(&self, ready_s: f64) -> bool {
        self.estimate_s > 0.0 && self.estimate_s * BACKFILL_SAFETY_FACTOR <= ready_s
    }
}

/// A counted resource of which a task gets too few units, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shortage {
    pub count: Name,
    pub reason: ShortageReason,
}

/// A demand of one counted resource: the index of its pool, and the units per task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SingleCount {
    index: u32,
    units: u32,
}

/// What a request lacks beyond the units that will become free for it anyway.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Deficit {
    /// Units for which attempts must be stopped.
    pub units: Vec<(Name, u32)>,
    /// Whether the request counts on tasks that are about to exit on their own.
    pub awaits_completions: bool,
}

/// The pools of all counted resources in one pass.
#[derive(Debug, Default)]
pub struct UnitLedger<'a> {
    pools: Vec<Pool<'a>>,
    index_by_name: FxHashMap<&'a str, usize>,
    policy: ReservationPolicy,
}

impl<'a> UnitLedger<'a> {
    /// Creates a ledger in which no units are held.
    pub fn new(definitions: &'a Definitions) -> UnitLedger<'a> {
        UnitLedger::with_policy(definitions, ReservationPolicy::default())
    }

    /// As [`UnitLedger::new`], with another reservation policy than the default.
    pub fn with_policy(definitions: &'a Definitions, policy: ReservationPolicy) -> UnitLedger<'a> {
        let mut book = UnitLedger {
            pools: Vec::with_capacity(definitions.len()),
            index_by_name: FxHashMap::with_capacity_and_hasher(definitions.len(), Default::default()),
            policy,
        };
        for (name, definition) in definitions {
            book.pool(name, Some(definition));
        }
        book
    }

    /// Applies the usage reported by licence servers. Called after all held units are recorded.
    /// `is_own_machine` tells whether a host is a machine of the cluster.
    pub fn apply_server_usage(
        &mut self,
        feeds: &BTreeMap<Name, UsageFeed>,
        now: u64,
        is_own_machine: impl Fn(&str) -> bool,
    ) {
        for pool in &mut self.pools {
            if pool
                .definition
                .is_none_or(|definition| definition.server.is_none())
            {
                continue;
            }
            match feeds.get(pool.name).map(|feed| feed.state(now)) {
                Some(FeedState::Fresh(usage)) => {
                    pool.units = pool.units.min(usage.total);
                    let held = pool.held.saturating_add(pool.lingering);
                    pool.external = usage.external_seats(&is_own_machine, held);
                }
                Some(FeedState::Silent) | None => pool.closed = Some(ClosedReason::Silent),
            }
        }
    }

    /// Index of the pool of a counted resource, which is created if there is none.
    fn pool(&mut self, name: &'a str, definition: Option<&'a Definition>) -> usize {
        if let Some(index) = self.index_by_name.get(name) {
            return *index;
        }
        self.pools.push(Pool::new(name, definition));
        self.index_by_name.insert(name, self.pools.len() - 1);
        self.pools.len() - 1
    }

    /// The pools of all counted resources, whether defined or only held.
    pub fn pools(&self) -> impl Iterator<Item = &Pool<'a>> {
        self.pools.iter()
    }

    /// The pool of one counted resource.
    pub fn get(&self, count: &str) -> Option<&Pool<'a>> {
        self.index_by_name.get(count).map(|index| &self.pools[*index])
    }

    /// Records the units of an attempt that may be on a machine. `left_s` is its remaining run time
    /// by its owner's estimate; infinite if unknown.
    pub fn hold(&mut self, team: &'a str, demand: &'a Demand, left_s: f64, leaving: bool) {
        for (name, units) in demand.iter() {
            let index = self.pool(name, None);
            let pool = &mut self.pools[index];
            let linger_s = pool.definition.map_or(0.0, |definition| definition.linger_s);
            if leaving {
                pool.leaving = pool.leaving.saturating_add(units);
                pool.unclaimed_releases = pool.unclaimed_releases.saturating_add(units);
                pool.hold(team, units, linger_s, true);
            } else {
                // A task that exits on its own before a stopped task's units would be free need not
                // be stopped.
                if left_s <= linger_s {
                    pool.unclaimed_completions = pool.unclaimed_completions.saturating_add(units);
                }
                pool.hold(team, units, left_s, false);
            }
        }
    }

    /// Records lingering units of an attempt that is gone but did not exit on its own.
    pub fn linger(&mut self, team: &'a str, count: &'a str, units: u32, left_s: f64) {
        let index = self.pool(count, None);
        let pool = &mut self.pools[index];
        pool.lingering = pool.lingering.saturating_add(units);
        pool.unclaimed_releases = pool.unclaimed_releases.saturating_add(units);
        pool.add_usage(team, units, true);
        pool.expected_releases.push((left_s, units));
    }

    /// The pool and units of a demand for a single counted resource; `None` if it names several, or
    /// one that is neither defined nor held. A pass checks thousands of jobs one after the other,
    /// and their demands are scattered in memory; this way each is read only once.
    pub fn single_count(&self, demand: &Demand) -> Option<SingleCount> {
        let mut entries = demand.iter();
        let (name, units) = entries.next()?;
        let index = u32::try_from(*self.index_by_name.get(&**name)?).ok()?;
        entries.next().is_none().then_some(SingleCount { index, units })
    }

    /// The pool of a single-count demand.
    fn single_count_pool(&self, single: SingleCount) -> &Pool<'a> {
        &self.pools[single.index as usize]
    }

    /// As [`UnitLedger::available`], for a demand of a single counted resource.
    pub fn available_of(
        &self,
        single: SingleCount,
        max_tasks: u32,
        requester: impl FnOnce() -> Requester,
    ) -> u32 {
        max_tasks.min(self.single_count_pool(single).available_to(requester) / single.units.max(1))
    }

    /// Whether units may be reserved for a request of this age, in s.
    pub fn may_reserve_at(&self, age_s: f64) -> bool {
        age_s >= self.policy.reserve_after_s
    }

    /// As [`UnitLedger::tasks_within_share`], for a demand of a single counted resource.
    pub fn tasks_within_share_of(&self, single: SingleCount, team: &str, max_tasks: u32) -> Option<u32> {
        let pool = self.single_count_pool(single);
        pool.has_shares()
            .then(|| max_tasks.min(pool.unused_share(team) / single.units.max(1)))
    }

    /// As [`UnitLedger::available_later`], for a demand of a single counted resource.
    pub fn available_later_of(&mut self, single: SingleCount, max_tasks: u32) -> u32 {
        let pool = &mut self.pools[single.index as usize];
        let count = max_tasks.min(pool.unpromised() / single.units.max(1));
        pool.promised += single.units * count;
        count
    }

    /// How many of at most `max_tasks` tasks can get their units now.
    pub fn available(&self, demand: &Demand, max_tasks: u32, requester: &Requester) -> u32 {
        let mut tasks = max_tasks;
        for (name, units) in demand.iter() {
            let available = self.get(name).map_or(0, |pool| pool.available_to(|| *requester));
            tasks = tasks.min(available / units.max(1));
        }
        tasks
    }

    /// How many of at most `max_tasks` tasks that lack machines would have units once machines are
    /// available. These units are not promised again in this pass.
    pub fn available_later(&mut self, demand: &Demand, max_tasks: u32) -> u32 {
        let mut count = max_tasks;
        for (name, units) in demand.iter() {
            let available = self.get(name).map_or(0, Pool::unpromised);
            count = count.min(available / units.max(1));
        }
        for (name, units) in demand.iter() {
            if let Some(index) = self.index_by_name.get(&**name) {
                self.pools[*index].promised += units * count;
            }
        }
        count
    }

    /// Records the units of a task that starts in this pass.
    pub fn allocate(&mut self, team: &'a str, demand: &Demand, left_s: f64) {
        for (name, units) in demand.iter() {
            let Some(index) = self.index_by_name.get(&**name) else {
                continue;
            };
            self.pools[*index].hold(team, units, left_s, false);
        }
    }

    /// How many of at most `max_tasks` tasks the team may still run within its shares. `None` if no
    /// team has a share of any of these counted resources.
    pub fn tasks_within_share(&self, team: &str, demand: &Demand, max_tasks: u32) -> Option<u32> {
        let mut tasks = max_tasks;
        let mut has_shares = false;
        for (name, units) in demand.iter() {
            let Some(pool) = self.get(name).filter(|pool| pool.has_shares()) else {
                continue;
            };
            has_shares = true;
            tasks = tasks.min(pool.unused_share(team) / units.max(1));
        }
        has_shares.then_some(tasks)
    }

    /// Handles a request for `concurrent_tasks` tasks, which start together or not at all, that
    /// finds too few units. Reserves the free units if the request is old enough. Returns the first
    /// shortage, and whether any units are reserved for the request.
    pub fn handle_shortage(
        &mut self,
        demand: &Demand,
        concurrent_tasks: u32,
        requester: &Requester,
    ) -> (Option<Shortage>, bool) {
        let mut shortage = None;
        for (name, units) in demand.iter() {
            let Some(index) = self.index_by_name.get(&**name) else {
                shortage = Some(Shortage {
                    count: name.clone(),
                    reason: ShortageReason::Undefined,
                });
                continue;
            };
            let pool = &self.pools[*index];
            let needed = units.saturating_mul(concurrent_tasks);
            if shortage.is_none() && pool.available_to(|| *requester) < needed {
                shortage = Some(Shortage {
                    count: name.clone(),
                    reason: pool.shortage_reason(needed),
                });
            }
        }
        let reserved = self.reserve(demand, concurrent_tasks, requester, None);
        (shortage, reserved)
    }

    /// Reserves free units for a request, so that no later request in queue order takes them. Of
    /// each counted resource, units are reserved only for the first request that is old enough.
    /// Earlier requests may still take all units, so a reservation blocks none of them, and the
    /// first request eventually gets all it needs. Returns whether any units were reserved.
    fn reserve(&mut self, demand: &Demand, tasks: u32, requester: &Requester, ready_s: Option<f64>) -> bool {
        if !self.may_reserve_at(requester.age_s) {
            return false;
        }
        let mut latest_ready_s: f64 = 0.0;
        for (name, units) in demand.iter() {
            if let Some(index) = self.index_by_name.get(&**name) {
                latest_ready_s = latest_ready_s.max(self.pools[*index].ready_s(units.saturating_mul(tasks)));
            }
        }
        let ready_s = if requester.reserved_s < self.policy.backfill_s {
            ready_s.unwrap_or(latest_ready_s)
        } else {
            -1.0
        };
        let mut reserved_any = false;
        for (name, units) in demand.iter() {
            if let Some(index) = self.index_by_name.get(&**name)
                && self.pools[*index].reservation.is_none()
            {
                reserved_any = true;
                self.pools[*index].reservation = Some(Reservation {
                    units: units.saturating_mul(tasks),
                    ready_s,
                });
            }
        }
        reserved_any
    }

    /// Reserves the units of `tasks` tasks that lack only machines. Returns whether any were
    /// reserved.
    pub fn reserve_for_machines(&mut self, demand: &Demand, tasks: u32, requester: &Requester) -> bool {
        self.reserve(demand, tasks, requester, Some(EXPECTED_MACHINE_WAIT_S))
    }

    /// What the request still lacks after all units that are being stopped, linger or are about to
    /// become free, and that no earlier request counts on, are assigned to it. Assigns them. `None`
    /// if units are oversubscribed or closed, in which case stopping attempts would not help.
    pub fn deficit(&mut self, demand: &Demand, tasks: u32) -> Option<Deficit> {
        let mut deficit = Deficit::default();
        for (name, units) in demand.iter() {
            let pool = &mut self.pools[*self.index_by_name.get(&**name)?];
            if pool.closed.is_some() || pool.excess() > 0 {
                return None;
            }
            let needed = units.saturating_mul(tasks);
            let shortfall = needed.saturating_sub(pool.free().saturating_sub(pool.claimed));
            let from_releases = shortfall.min(pool.unclaimed_releases);
            pool.unclaimed_releases -= from_releases;
            let from_completions = (shortfall - from_releases).min(pool.unclaimed_completions);
            pool.unclaimed_completions -= from_completions;
            deficit.awaits_completions |= from_completions > 0;
            let uncovered = shortfall - from_releases - from_completions;
            if uncovered > 0 {
                deficit.units.push((name.clone(), uncovered));
            }
        }
        Some(deficit)
    }

    /// Withholds the units of a request from later requests until all of them have become free.
    /// Otherwise a task that needs two counted resources would have attempts stopped for one, lose
    /// it again while waiting for the other, and repeat this forever.
    pub fn claim(&mut self, demand: &Demand, tasks: u32) {
        for (name, units) in demand.iter() {
            if let Some(index) = self.index_by_name.get(&**name) {
                let pool = &mut self.pools[*index];
                pool.claimed = pool.claimed.saturating_add(units.saturating_mul(tasks));
            }
        }
    }

    /// Records that attempts of a team are stopped in this pass for a request that lacks `missing`.
    /// Units of theirs that it does not need are available to other requests.
    pub fn record_stops(&mut self, team: &str, demand: &Demand, missing: &mut [(Name, u32)]) {
        for (name, units) in demand.iter() {
            let Some(index) = self.index_by_name.get(&**name) else {
                continue;
            };
            let pool = &mut self.pools[*index];
            pool.leaving = pool.leaving.saturating_add(units);
            if let Some(team_usage) = pool.teams.iter_mut().find(|team_usage| team_usage.team == team) {
                team_usage.releasing = team_usage.releasing.saturating_add(units).min(team_usage.used);
            }
            let mut unneeded = units;
            if let Some((_, deficit)) = missing.iter_mut().find(|(count, _)| count == name) {
                let used = units.min(*deficit);
                *deficit -= used;
                unneeded -= used;
            }
            pool.unclaimed_releases = pool.unclaimed_releases.saturating_add(unneeded);
        }
    }
}

#[cfg(test)]
mod tests;
