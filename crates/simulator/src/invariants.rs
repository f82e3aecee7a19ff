//! What is judged in every scenario besides the rules: that no accepted job is forgotten, and that
//! the largest jobs of each class are served, and soon. A scenario that breaks one says so in a line
//! of its own, or fails.

use crate::simulation::{NODES, ObservedJob, Simulation};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Once all faults are over, an accepted job of which no question is answered for so long, in
/// ms, counts as forgotten: the platform's own bound.
const FORGOTTEN_MS: u64 = 75_000;
/// How long a scenario goes on at most once its faults are over: longer than users may hear nothing,
/// and work wait, in ms.
const RUN_ON_MS: u64 = 95_000;
/// The largest jobs have to begin so soon after acceptance, in ms: the platform's own bound.
const BEGUN_MS: u64 = 240_000;
/// One job in so many of a class is among its largest, at least one.
const LARGEST_OF: usize = 10;

/// How the largest jobs of a class fared.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct Largest {
    /// Tasks served and asked for, of jobs that are old enough: see [`Simulation::served`].
    pub(crate) served: f64,
    pub(crate) asked: f64,
    /// Those that began too late or not at all, with the wait in ms.
    pub(crate) late: Vec<(String, u64)>,
}

impl Simulation {
    /// Whether anything keeps a user from being answered: a controller that is away or stands still, a
    /// cut or an outage between users, controllers and the state service. What befalls machines alone
    /// never excuses silence.
    pub(crate) fn in_trouble(&self) -> bool {
        let now = self.now;
        let of_machines =
            |name: &str| name == "workers" || name.starts_with("m-") || name.starts_with("zone:");
        let cut = |(a, b, _): &(String, String, _)| !of_machines(a) && !of_machines(b);
        let away = |index: usize| {
            let controller = &self.nodes[index];
            controller.node.is_none() || now < controller.frozen_until.max(controller.stalls_until)
        };
        self.state.outage
            || self.nodes_troubled()
            || self.refused.values().any(|until| now < *until)
            || self.cuts.iter().any(cut)
            || (0..NODES).any(away)
    }

    /// Flags accepted jobs of which nobody answers although no fault is left. Whoever never asks again,
    /// as the users of a flood, cannot tell.
    pub(crate) fn check_known(&mut self) {
        if self.in_trouble() {
            self.trouble_at = self.now;
        }
        if !self.now.is_multiple_of(1_000) {
            return;
        }
        let since = |facts: &ObservedJob| {
            facts
                .accepted_at
                .max(facts.last_answered_at)
                .map(|at| at.max(self.trouble_at))
        };
        let silent = |facts: &ObservedJob| since(facts).is_some_and(|at| self.now > at + FORGOTTEN_MS);
        let forgotten: Vec<String> = self
            .jobs
            .iter()
            .filter(|(id, facts)| silent(facts) && self.user_at.contains_key(*id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in forgotten {
            let facts = self.jobs.get_mut(&id).unwrap();
            // Once for each silence.
            facts.last_answered_at = Some(self.now);
            self.violation("forgotten", format!("{id} is asked about in vain"));
        }
    }

    /// Ends all faults and goes on until each accepted job was asked about and told, or is
    /// forgotten, and nobody waits beside room, or has for too long.
    pub(crate) fn run_on(&mut self) {
        if self.state.outage {
            self.state.end_outage(self.now);
        }
        self.cloud.outage = false;
        self.heal();
        self.refused.clear();
        self.message_faults.clear();
        self.faults.clear();
        self.deviation_plan = None;
        for controller in &mut self.nodes {
            controller.frozen_until = controller.frozen_until.min(self.now);
            controller.stalls_until = controller.stalls_until.min(self.now);
            controller.restart_at = controller.restart_at.min(self.now);
        }
        let mended_at = self.now;
        let told =
            |facts: &ObservedJob| facts.accepted_at.is_none() || facts.last_answered_at > Some(mended_at);
        let all_told =
            |simulation: &Simulation| simulation.user_at.keys().all(|id| told(&simulation.jobs[id]));
        while self.now <= mended_at + RUN_ON_MS && (!all_told(self) || self.waits_beside_room()) {
            self.step();
        }
    }

    /// Of each class and shape that users submitted, the largest tenth by tasks, the earliest of those
    /// alike. Jobs that can never run, or were taken back before they had to begin, are not counted;
    /// nor are submit files' jobs, as holds and conditions of their own keep them waiting.
    pub(crate) fn largest(&self) -> BTreeMap<String, Largest> {
        let mut classes: BTreeMap<String, Vec<(&String, &ObservedJob)>> = BTreeMap::new();
        for (id, facts) in &self.jobs {
            let due_at = facts.accepted_at.map(|at| at + BEGUN_MS);
            let back = facts
                .cancel_requested_at
                .is_some_and(|at| due_at.is_none_or(|due| at < due));
            if facts.submitted_at.is_some() && !facts.rejected && !facts.always_fails && !back {
                let class = format!("{}/{}", facts.shape, facts.class);
                classes.entry(class).or_default().push((id, facts));
            }
        }
        let judged = classes.into_iter().map(|(class, mut jobs)| {
            jobs.sort_by_key(|(id, facts)| (Reverse(facts.tasks), facts.submitted_at, *id));
            let mut largest = Largest::default();
            for (id, facts) in &jobs[..jobs.len().div_ceil(LARGEST_OF)] {
                let (served, asked) = self.served_of(facts).unwrap_or_default();
                largest.served += served;
                largest.asked += asked;
                let waited = facts
                    .accepted_at
                    // A start may be sooner than a slow answer to its submission.
                    .map(|at| facts.started_at.unwrap_or(self.now).saturating_sub(at));
                if let Some(waited) = waited.filter(|waited| *waited > BEGUN_MS) {
                    largest.late.push(((*id).clone(), waited));
                }
            }
            (class, largest)
        });
        judged.collect()
    }
}

#[cfg(test)]
mod tests;
