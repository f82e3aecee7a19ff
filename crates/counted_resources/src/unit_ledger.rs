//! One scheduling pass's view of all counts: who holds what, what is free, what is kept
//! for whom. It is built anew from the ledger for every pass and keeps nothing itself,
//! so there is no second truth that could differ from the ledger's.

use crate::constants::{BACKFILL_S, BACKFILL_SAFETY_FACTOR, EXPECTED_MACHINE_WAIT_S, RESERVE_AFTER_S};
use crate::licence::{FeedState, UsageFeed};
use crate::{Definition, Definitions, Demand, Name};
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;

/// ShortageReason nothing more of a count may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClosedReason {
    /// Operators do not define it (any more).
    Undefined,
    /// Its licence server has been silent for too long, or was never heard.
    Silent,
}

/// ShortageReason a task cannot have its units now, for people.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShortageReason {
    /// All are held by tasks.
    Held,
    /// Units would be free, but linger after an attempt that did not end by itself.
    Lingering,
    /// Users outside hold them.
    External,
    /// What is free is kept for an older, larger request.
    Reserved,
    /// More is held than there is: the number was lowered, or others took too many.
    Oversubscribed,
    /// Its licence server is silent.
    Silent,
    /// Nobody defines it.
    Undefined,
}

impl ShortageReason {
    /// For a sentence such as "waits for units of seat: …".
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

/// Holders of a count for which room is made at once.
const INITIAL_RELEASE_CAPACITY: u32 = 64;

/// From when on what is free is kept for a request that finds too little.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReservationPolicy {
    /// Age of the request in s; infinite: never.
    pub reserve_after_s: f64,
    /// For how long others may use what is kept, if they are through in time, in s.
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

/// Who asks, as far as it matters for units that are kept for somebody else.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Requester {
    /// Since its submission, in s.
    pub age_s: f64,
    /// Estimated run time of a task, in s; 0 for none.
    pub estimate_s: f64,
    /// For how long units have been kept for it, in s.
    pub reserved_s: f64,
}

/// Units kept for the first request in the order that is old enough.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Reservation {
    units: u32,
    /// Estimated time, in s, until all that it waits for is there; what ends sooner may
    /// use the units meanwhile. Negative once nobody may.
    ready_s: f64,
}

/// What a team has of a count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TeamUsage<'a> {
    pub team: &'a str,
    /// Units that it is guaranteed.
    pub share: u32,
    /// Held and lingering.
    pub used: u32,
    /// Of them, leaving or lingering.
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

/// One count in a pass.
#[derive(Debug)]
pub struct Pool<'a> {
    pub name: &'a str,
    pub definition: Option<&'a Definition>,
    /// What may be held by us and others together.
    pub units: u32,
    pub external: u32,
    /// Units of attempts that may be on a machine, and those started in this pass.
    pub held: u32,
    /// Of them, units of attempts that are being stopped.
    pub leaving: u32,
    pub lingering: u32,
    pub closed: Option<ClosedReason>,
    /// Teams that have a share, or hold or let linger any.
    teams: Vec<TeamUsage<'a>>,
    /// When holders' units come free: seconds left, units.
    expected_releases: Vec<(f64, u32)>,
    /// Leaving or lingering units that nobody in this pass counts on yet.
    unclaimed_releases: u32,
    /// Units that come free by themselves before a stopped one's would, and that nobody
    /// counts on yet.
    unclaimed_completions: u32,
    reservation: Option<Reservation>,
    /// Units that requests have claimed for which others are being stopped.
    claimed: u32,
    /// Units for which this pass asks machines.
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

    /// Units taken, in whatever way.
    pub fn taken(&self) -> u64 {
        u64::from(self.held) + u64::from(self.lingering) + u64::from(self.external)
    }

    /// Units that may be taken now, whoever asks.
    pub fn free(&self) -> u32 {
        if self.closed.is_some() {
            return 0;
        }
        (u64::from(self.units).saturating_sub(self.taken())) as u32
    }

    /// Held and lingering units beyond what there is.
    pub fn excess(&self) -> u32 {
        self.taken()
            .saturating_sub(u64::from(self.units))
            .min(u64::from(u32::MAX)) as u32
    }

    fn team(&self, team: &str) -> Option<&TeamUsage<'a>> {
        self.teams.iter().find(|of| of.team == team)
    }

    /// Units that the team may still take as its own, not borrowed.
    pub fn unused_share(&self, team: &str) -> u32 {
        self.team(team).map_or(0, |of| of.share.saturating_sub(of.used))
    }

    /// Whether any team is guaranteed a part of it.
    pub fn has_shares(&self) -> bool {
        self.definition
            .is_some_and(|definition| !definition.shares.is_empty())
    }

    /// Units kept for requests that wait.
    pub fn reserved(&self) -> u32 {
        self.reservation
            .map_or(0, |kept| kept.units)
            .saturating_add(self.claimed)
    }

    /// Teams that have a share, or hold or let linger any.
    pub fn teams(&self) -> impl Iterator<Item = TeamUsage<'a>> + '_ {
        self.teams.iter().copied()
    }

    /// Units that the team has beyond its share, without those that are going anyway.
    /// None of them may be taken back while nobody is guaranteed any.
    pub fn borrowed(&self, team: &str) -> u32 {
        match self.team(team) {
            Some(of) if self.has_shares() => (of.used - of.releasing).saturating_sub(of.share),
            _ => 0,
        }
    }

    /// Units that somebody may take: what is kept for another only if he is through in
    /// time. Who asks matters, and is asked, only then.
    fn available_to(&self, asker: impl FnOnce() -> Requester) -> u32 {
        let open = self.free().saturating_sub(self.claimed);
        match self.reservation {
            Some(kept) if !asker().finishes_within(kept.ready_s) => open.saturating_sub(kept.units),
            _ => open,
        }
    }

    /// Units for which machines may be asked: not promised yet.
    fn unpromised(&self) -> u32 {
        self.free().saturating_sub(self.promised)
    }

    /// Units are held from now on, and come free in so many seconds.
    fn hold(&mut self, team: &'a str, units: u32, left_s: f64, going: bool) {
        self.held = self.held.saturating_add(units);
        self.add_usage(team, units, going);
        self.expected_releases.push((left_s, units));
    }

    fn add_usage(&mut self, team: &'a str, units: u32, going: bool) {
        let at = self.teams.iter().position(|of| of.team == team);
        let at = at.unwrap_or_else(|| {
            self.teams.push(TeamUsage::unused(team));
            self.teams.len() - 1
        });
        let of = &mut self.teams[at];
        of.used = of.used.saturating_add(units);
        if going {
            of.releasing = of.releasing.saturating_add(units);
        }
    }

    /// Estimated time, in s, until so many units are free.
    fn ready_s(&mut self, units: u32) -> f64 {
        self.expected_releases.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut free = u64::from(self.free());
        for (left_s, ended) in &self.expected_releases {
            if free >= u64::from(units) {
                return *left_s;
            }
            free += u64::from(*ended);
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

/// What a task lacks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shortage {
    pub count: Name,
    pub reason: ShortageReason,
}

/// The one count of a demand, as a book has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SingleCount {
    at: u32,
    units: u32,
}

/// What a request lacks beyond what comes to it anyway.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Deficit {
    /// Units that something must be stopped for.
    pub units: Vec<(Name, u32)>,
    /// It counts on tasks that are about to end by themselves.
    pub awaits_completions: bool,
}

/// All counts in one pass.
#[derive(Debug, Default)]
pub struct UnitLedger<'a> {
    pools: Vec<Pool<'a>>,
    index: FxHashMap<&'a str, usize>,
    policy: ReservationPolicy,
}

impl<'a> UnitLedger<'a> {
    /// Nothing is held yet.
    pub fn new(definitions: &'a Definitions) -> UnitLedger<'a> {
        UnitLedger::with_policy(definitions, ReservationPolicy::default())
    }

    /// The same, with other bounds on waiting than the usual ones.
    pub fn with_policy(definitions: &'a Definitions, policy: ReservationPolicy) -> UnitLedger<'a> {
        let mut book = UnitLedger {
            pools: Vec::with_capacity(definitions.len()),
            index: FxHashMap::with_capacity_and_hasher(definitions.len(), Default::default()),
            policy,
        };
        for (name, definition) in definitions {
            book.pool(name, Some(definition));
        }
        book
    }

    /// Takes in what licence servers say, once all that is held is noted. `is_ours` says
    /// whether a host is a machine of ours.
    pub fn apply_server_usage(
        &mut self,
        feeds: &BTreeMap<Name, UsageFeed>,
        now: u64,
        is_ours: impl Fn(&str) -> bool,
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
                    let ours = pool.held.saturating_add(pool.lingering);
                    pool.external = usage.external_seats(&is_ours, ours);
                }
                Some(FeedState::Silent) | None => pool.closed = Some(ClosedReason::Silent),
            }
        }
    }

    fn pool(&mut self, name: &'a str, definition: Option<&'a Definition>) -> usize {
        if let Some(at) = self.index.get(name) {
            return *at;
        }
        self.pools.push(Pool::new(name, definition));
        self.index.insert(name, self.pools.len() - 1);
        self.pools.len() - 1
    }

    pub fn pools(&self) -> impl Iterator<Item = &Pool<'a>> {
        self.pools.iter()
    }

    pub fn get(&self, count: &str) -> Option<&Pool<'a>> {
        self.index.get(count).map(|at| &self.pools[*at])
    }

    /// An attempt that may be on a machine holds its units. `left_s` is how long it goes
    /// on, by its owner's estimate; infinite if nobody knows.
    pub fn hold(&mut self, team: &'a str, demand: &'a Demand, left_s: f64, leaving: bool) {
        for (name, units) in demand.iter() {
            let at = self.pool(name, None);
            let pool = &mut self.pools[at];
            let linger_s = pool.definition.map_or(0.0, |definition| definition.linger_s);
            if leaving {
                pool.leaving = pool.leaving.saturating_add(units);
                pool.unclaimed_releases = pool.unclaimed_releases.saturating_add(units);
                pool.hold(team, units, linger_s, true);
            } else {
                // What ends by itself before a stopped one's unit would be free needs no
                // stop.
                if left_s <= linger_s {
                    pool.unclaimed_completions = pool.unclaimed_completions.saturating_add(units);
                }
                pool.hold(team, units, left_s, false);
            }
        }
    }

    /// Units of an attempt that is gone, but did not end by itself.
    pub fn linger(&mut self, team: &'a str, count: &'a str, units: u32, left_s: f64) {
        let at = self.pool(count, None);
        let pool = &mut self.pools[at];
        pool.lingering = pool.lingering.saturating_add(units);
        pool.unclaimed_releases = pool.unclaimed_releases.saturating_add(units);
        pool.add_usage(team, units, true);
        pool.expected_releases.push((left_s, units));
    }

    /// Where the one count of a demand stands, and its units; `None` if it names several,
    /// or one that nobody defines or holds. A pass asks after thousands of jobs, one after
    /// the other: their demands lie all over memory, and are read once this way.
    pub fn single_count(&self, demand: &Demand) -> Option<SingleCount> {
        let mut parts = demand.iter();
        let (name, units) = parts.next()?;
        let at = u32::try_from(*self.index.get(&**name)?).ok()?;
        parts.next().is_none().then_some(SingleCount { at, units })
    }

    /// The pool of such a demand.
    fn single_count_pool(&self, only: SingleCount) -> &Pool<'a> {
        &self.pools[only.at as usize]
    }

    /// As `room`, for a demand of one count.
    pub fn startable_tasks_of(&self, only: SingleCount, most: u32, asker: impl FnOnce() -> Requester) -> u32 {
        most.min(self.single_count_pool(only).available_to(asker) / only.units.max(1))
    }

    /// Whether units may be kept for a request of this age, in s.
    pub fn may_reserve_at(&self, age_s: f64) -> bool {
        age_s >= self.policy.reserve_after_s
    }

    /// As `owed`, for a demand of one count.
    pub fn tasks_within_share_of(&self, only: SingleCount, team: &str, most: u32) -> Option<u32> {
        let pool = self.single_count_pool(only);
        pool.has_shares()
            .then(|| most.min(pool.unused_share(team) / only.units.max(1)))
    }

    /// As `promise`, for a demand of one count.
    pub fn promise_of(&mut self, only: SingleCount, most: u32) -> u32 {
        let pool = &mut self.pools[only.at as usize];
        let count = most.min(pool.unpromised() / only.units.max(1));
        pool.promised += only.units * count;
        count
    }

    /// How many of `most` tasks may have their units now.
    pub fn startable_tasks(&self, demand: &Demand, most: u32, asker: &Requester) -> u32 {
        let mut room = most;
        for (name, units) in demand.iter() {
            let open = self.get(name).map_or(0, |pool| pool.available_to(|| *asker));
            room = room.min(open / units.max(1));
        }
        room
    }

    /// How many of `most` tasks, lacking machines, could use them once they come: units
    /// promised to others before are not promised twice.
    pub fn promise(&mut self, demand: &Demand, most: u32) -> u32 {
        let mut count = most;
        for (name, units) in demand.iter() {
            let open = self.get(name).map_or(0, Pool::unpromised);
            count = count.min(open / units.max(1));
        }
        for (name, units) in demand.iter() {
            if let Some(at) = self.index.get(&**name) {
                self.pools[*at].promised += units * count;
            }
        }
        count
    }

    /// One task starts in this pass.
    pub fn allocate(&mut self, team: &'a str, demand: &Demand, left_s: f64) {
        for (name, units) in demand.iter() {
            let Some(at) = self.index.get(&**name) else {
                continue;
            };
            self.pools[*at].hold(team, units, left_s, false);
        }
    }

    /// How many of `most` tasks the team may still run with units of its own. `None`
    /// where no team is guaranteed any of these counts.
    pub fn tasks_within_share(&self, team: &str, demand: &Demand, most: u32) -> Option<u32> {
        let mut owed = most;
        let mut shared = false;
        for (name, units) in demand.iter() {
            let Some(pool) = self.get(name).filter(|pool| pool.has_shares()) else {
                continue;
            };
            shared = true;
            owed = owed.min(pool.unused_share(team) / units.max(1));
        }
        shared.then_some(owed)
    }

    /// So many tasks of a job, which start at once or not at all, find too few units. Keeps
    /// what is free if the job is old enough, and says what it lacks first, and whether
    /// anything is kept for it.
    pub fn handle_shortage(
        &mut self,
        demand: &Demand,
        together: u32,
        asker: &Requester,
    ) -> (Option<Shortage>, bool) {
        let mut lack = None;
        for (name, units) in demand.iter() {
            let Some(at) = self.index.get(&**name) else {
                lack = Some(Shortage {
                    count: name.clone(),
                    reason: ShortageReason::Undefined,
                });
                continue;
            };
            let pool = &self.pools[*at];
            let needed = units.saturating_mul(together);
            if lack.is_none() && pool.available_to(|| *asker) < needed {
                lack = Some(Shortage {
                    count: name.clone(),
                    reason: pool.shortage_reason(needed),
                });
            }
        }
        let kept = self.reserve(demand, together, asker, None);
        (lack, kept)
    }

    /// Keeps what is free for a request: nobody after it in the order takes it. SingleCount the
    /// first request that is old enough has any of a count kept. All requests before it
    /// in the order may still take everything, so what is kept is held by nobody, and the
    /// first in the order gets all that it asks for in the end.
    fn reserve(&mut self, demand: &Demand, tasks: u32, asker: &Requester, ready_s: Option<f64>) -> bool {
        if !self.may_reserve_at(asker.age_s) {
            return false;
        }
        let mut latest: f64 = 0.0;
        for (name, units) in demand.iter() {
            if let Some(at) = self.index.get(&**name) {
                latest = latest.max(self.pools[*at].ready_s(units.saturating_mul(tasks)));
            }
        }
        let ready_s = if asker.reserved_s < self.policy.backfill_s {
            ready_s.unwrap_or(latest)
        } else {
            -1.0
        };
        let mut first = false;
        for (name, units) in demand.iter() {
            if let Some(at) = self.index.get(&**name)
                && self.pools[*at].reservation.is_none()
            {
                first = true;
                self.pools[*at].reservation = Some(Reservation {
                    units: units.saturating_mul(tasks),
                    ready_s,
                });
            }
        }
        first
    }

    /// `tasks` of a job have their units and lack machines only. Whether any are kept.
    pub fn reserve_for_machines(&mut self, demand: &Demand, tasks: u32, asker: &Requester) -> bool {
        self.reserve(demand, tasks, asker, Some(EXPECTED_MACHINE_WAIT_S))
    }

    /// What such a request still lacks when all that is leaving, lingering or about to end,
    /// and counted on by nobody before, has come to it. Counts on that. `None` where more
    /// is held than there is, or nothing may start: then no stop would help.
    pub fn deficit(&mut self, demand: &Demand, tasks: u32) -> Option<Deficit> {
        let mut missing = Deficit::default();
        for (name, units) in demand.iter() {
            let pool = &mut self.pools[*self.index.get(&**name)?];
            if pool.closed.is_some() || pool.excess() > 0 {
                return None;
            }
            let needed = units.saturating_mul(tasks);
            let short = needed.saturating_sub(pool.free().saturating_sub(pool.claimed));
            let coming = short.min(pool.unclaimed_releases);
            pool.unclaimed_releases -= coming;
            let ending = (short - coming).min(pool.unclaimed_completions);
            pool.unclaimed_completions -= ending;
            missing.awaits_completions |= ending > 0;
            let left = short - coming - ending;
            if left > 0 {
                missing.units.push((name.clone(), left));
            }
        }
        Some(missing)
    }

    /// What such a request needs is all free, or coming to it: until it has come, nobody
    /// after it in the order takes any. Without that, a task of two counts stopped others
    /// for the one, lost it again while it waited for the other, and so on for ever.
    pub fn claim(&mut self, demand: &Demand, tasks: u32) {
        for (name, units) in demand.iter() {
            if let Some(at) = self.index.get(&**name) {
                let pool = &mut self.pools[*at];
                pool.claimed = pool.claimed.saturating_add(units.saturating_mul(tasks));
            }
        }
    }

    /// Attempts of a team are to be stopped in this pass for a request that lacks so much
    /// (`missing`). What of them it does not need, others may count on.
    pub fn record_stops(&mut self, team: &str, demand: &Demand, missing: &mut [(Name, u32)]) {
        for (name, units) in demand.iter() {
            let Some(at) = self.index.get(&**name) else {
                continue;
            };
            let pool = &mut self.pools[*at];
            pool.leaving = pool.leaving.saturating_add(units);
            if let Some(of) = pool.teams.iter_mut().find(|of| of.team == team) {
                of.releasing = of.releasing.saturating_add(units).min(of.used);
            }
            let mut rest = units;
            if let Some((_, lacked)) = missing.iter_mut().find(|(count, _)| count == name) {
                let used = units.min(*lacked);
                *lacked -= used;
                rest -= used;
            }
            pool.unclaimed_releases = pool.unclaimed_releases.saturating_add(rest);
        }
    }
}

#[cfg(test)]
mod tests;
