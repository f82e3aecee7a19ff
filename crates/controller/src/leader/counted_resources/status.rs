//! Status of counted resources for users and operators: an overview, the holders of units, and why
//! a job waits for units.

use crate::allocations::{Attempt, Machine};
use crate::constants::SECOND_MS;
use crate::job_api::authorization;
use crate::leader::LeaderTerm;
use crate::model::{JobId, Timestamp};
use crate::scheduling::placement::{self, UnsatisfiedDemand};
use crate::settings::Settings;
use indigopath_accounting::{Access, Owner, Team};
use indigopath_counted_resources::status::{
    CountStatus, Explanation, Holder, RequestedCount, ServerStatus, TeamStatus,
};
use indigopath_counted_resources::{ClosedReason, Definitions, Pool};

impl LeaderTerm {
    /// Status of all counted resources.
    pub fn count_status(&self, definitions: &Definitions, now: Timestamp) -> Vec<CountStatus> {
        let units = self.counted_units(definitions);
        let unit_ledger = placement::unit_ledger(self.machines.as_map(), &units, now);
        unit_ledger
            .pools()
            .map(|pool| self.pool_status(pool, now))
            .collect()
    }

    fn pool_status(&self, pool: &Pool<'_>, now: Timestamp) -> CountStatus {
        let definition = pool.definition;
        let mut teams: Vec<TeamStatus> = pool
            .teams()
            .map(|team_usage| TeamStatus {
                team: team_usage.team.to_owned(),
                share: team_usage.share,
                used: team_usage.used,
            })
            .collect();
        teams.sort_by(|a, b| a.team.cmp(&b.team));
        let server = definition.and_then(|definition| definition.server).map(|addr| {
            let feed = self.counted_resources.feeds.get(pool.name);
            let last_usage = feed.and_then(|feed| feed.last_usage(now));
            ServerStatus {
                addr: addr.to_string(),
                heard_s: last_usage.map(|(_, age_ms)| age_ms as f64 / SECOND_MS as f64),
                total: last_usage.map(|(usage, _)| usage.total),
                in_use: last_usage.map(|(usage, _)| usage.in_use),
                problem: feed.and_then(|feed| feed.problem.clone()),
            }
        });
        CountStatus {
            name: pool.name.to_owned(),
            units: definition.map(|definition| definition.units),
            usable: pool.units,
            held: pool.held,
            leaving: pool.leaving,
            lingering: pool.lingering,
            others: pool.external,
            free: pool.free(),
            kept: self
                .counted_resources
                .reserved
                .get(pool.name)
                .copied()
                .unwrap_or(0),
            waiting: self.units_waited_for(pool.name, None),
            oversubscribed: self
                .counted_resources
                .oversubscription_counts
                .get(pool.name)
                .copied()
                .unwrap_or(0),
            closed: pool.closed.map(|closed| {
                let text = match closed {
                    ClosedReason::Undefined => "it is not defined any more",
                    ClosedReason::Silent => "its licence server is silent",
                };
                text.to_owned()
            }),
            teams,
            server,
        }
    }

    /// Units of a counted resource for which tasks wait; if a job is given, only tasks of jobs
    /// before it in the queue.
    fn units_waited_for(&self, count: &str, before: Option<&JobId>) -> u64 {
        self.counted_resources
            .unsatisfied
            .iter()
            .take_while(|demand| before != Some(&demand.job))
            .filter_map(|demand| {
                let job = self.jobs.get(&demand.job)?;
                Some(u64::from(job.spec.counts.units(count)) * u64::from(demand.tasks))
            })
            .sum()
    }

    /// All tasks that hold units and all lingering units that the requester may see: those of the
    /// stated team, or those of all teams if the operators set `show_holders`.
    pub fn holders(
        &self,
        requesting_team: Option<&Team>,
        settings: &Settings,
        now: Timestamp,
    ) -> Vec<Holder> {
        let mut holders = Vec::new();
        for machine in self.machines.values() {
            for attempt in machine.attempts.iter().filter(|attempt| attempt.holds_units()) {
                let owner = Owner::from_record(&attempt.task.job.0, &attempt.team);
                let access = match requesting_team {
                    Some(team) => Access::for_team(&owner, team),
                    None => Access::for_any_team(&owner, settings.operator.show_holders),
                };
                if access.is_err() {
                    continue;
                }
                for (count, units) in attempt.counts.iter() {
                    holders.push(Holder {
                        count: count.to_string(),
                        units,
                        team: attempt.team.to_string(),
                        task: Some(attempt.task.to_string()),
                        machine: Some(machine.id.to_string()),
                        state: holder_state(machine, attempt).to_owned(),
                        seconds: now.saturating_sub(attempt.planned_at) as f64 / SECOND_MS as f64,
                    });
                }
            }
        }
        let lingering = self.counted_resources.lingers.iter().filter(|linger| {
            now < linger.until
                && requesting_team
                    .is_none_or(|team| authorization::is_same_team(&linger.team, team, settings))
        });
        holders.extend(lingering.map(|linger| Holder {
            count: linger.count.to_string(),
            units: linger.units,
            team: linger.team.to_string(),
            task: None,
            machine: None,
            state: "lingering".to_owned(),
            seconds: (linger.until - now) as f64 / SECOND_MS as f64,
        }));
        holders.sort_by(|a, b| (&a.count, &a.task).cmp(&(&b.count, &b.task)));
        holders
    }

    /// Explains why a job's tasks wait; `None` if the job is not live or not accessible. Where the
    /// operators set `show_holders`, a request need not state a team.
    pub fn explain(
        &self,
        id: &JobId,
        team: Option<&str>,
        settings: &Settings,
        now: Timestamp,
    ) -> Option<Explanation> {
        let job = self.jobs.get(id)?;
        let shown = settings.operator.show_holders && team.is_none();
        let access = Access::for_any_team(&authorization::job_owner(&job.spec), shown).or_else(|_| {
            authorization::access(
                &job.spec,
                &authorization::requesting_team(team, settings),
                settings,
            )
        });
        let job = self.jobs.get(&**access.ok()?.job())?;
        let definitions = &settings.operator.counted_resources;
        let units = self.counted_units(definitions);
        let unit_ledger = placement::unit_ledger(self.machines.as_map(), &units, now);
        let unsatisfied_demand: Vec<&UnsatisfiedDemand> = self
            .counted_resources
            .unsatisfied
            .iter()
            .filter(|demand| demand.job == *id)
            .collect();
        let counts = job.spec.counts.iter().map(|(count, units)| RequestedCount {
            count: count.to_string(),
            needs: u64::from(units) * u64::from(job.gang_size()),
            free: unit_ledger.get(count).map_or(0, |pool| pool.free()),
            kept: self.counted_resources.reserved.get(count).copied().unwrap_or(0),
            ahead: if unsatisfied_demand.is_empty() {
                0
            } else {
                self.units_waited_for(count, Some(id))
            },
            why: unsatisfied_demand
                .iter()
                .find(|demand| demand.shortage.count == *count)
                .map(|demand| demand.shortage.reason.text().to_owned()),
        });
        let waiting = job.waiting.len() as u32;
        let needs_machines = self
            .scheduler
            .unplaced()
            .iter()
            .any(|unplaced| unplaced.job == *id);
        let verdict = if waiting == 0 {
            "all its tasks are done or on machines".to_owned()
        } else if let Some(first) = unsatisfied_demand.first() {
            let tasks: u32 = unsatisfied_demand.iter().map(|demand| demand.tasks).sum();
            format!(
                "{tasks} of its tasks wait for units of {}: {}",
                first.shortage.count,
                first.shortage.reason.text()
            )
        } else if let Some(reason) = job.spec.condor.as_ref().and_then(|origin| origin.hold_text()) {
            format!("it is held: {reason}")
        } else if job.parked {
            "its cluster is not accepted yet".to_owned()
        } else if now < job.backoff_until {
            "it failed on several machines and is tried again in a while".to_owned()
        } else if needs_machines {
            "it has its units and waits for machines".to_owned()
        } else {
            "it waits for its turn, or for its team's limit".to_owned()
        };
        Some(Explanation {
            id: id.to_string(),
            waiting,
            verdict,
            counts: counts.collect(),
        })
    }
}

/// State of an attempt that holds units, as one word.
pub(super) fn holder_state(machine: &Machine, attempt: &Attempt) -> &'static str {
    if attempt.stop.is_some() {
        "stopping"
    } else if attempt.from_previous_leader || attempt.unacknowledged.is_some() || machine.unreachable {
        "uncertain"
    } else {
        match attempt.reported_state {
            None if attempt.durable => "sent",
            None => "planned",
            Some(_) => "running",
        }
    }
}
