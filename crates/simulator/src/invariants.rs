//! Checks of every scenario besides the protocol's rules: no accepted job is forgotten, and the
//! largest jobs of each class are served and start in time. A scenario in which one of these does
//! not hold declares the exception in a line of its own, or fails.

use crate::simulation::{NODES, ObservedJob, Simulation};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Longest time, in ms, without a response about an accepted job once all faults have ended: the
/// bound that the platform states.
const MAX_UNANSWERED_MS: u64 = 75_000;
/// Longest time, in ms, that a scenario continues after its faults have ended: longer than a job may
/// stay unanswered or wait for a machine.
const MAX_SETTLE_MS: u64 = 95_000;
/// Longest time, in ms, from acceptance to start for the largest jobs: the bound that the platform
/// states.
const MAX_START_WAIT_MS: u64 = 240_000;
/// One job of a class in this many counts as one of its largest, but at least one.
const LARGEST_JOBS_DIVISOR: usize = 10;

/// How the largest jobs of a class were served.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct LargestJobs {
    /// Tasks served and requested, of jobs that are old enough: see [`Simulation::served_shares`].
    pub(crate) served: f64,
    pub(crate) requested: f64,
    /// Jobs that started too late or not at all, with the wait in ms.
    pub(crate) late_starts: Vec<(String, u64)>,
}

impl Simulation {
    /// Whether a fault can keep users from being answered: a controller that is down, frozen or
    /// stalled, or a cut or an outage between users, controllers and the state service. Faults of
    /// machines alone never excuse a missing response.
    pub(crate) fn has_control_plane_fault(&self) -> bool {
        let now = self.now;
        let affects_machines =
            |name: &str| name == "workers" || name.starts_with("m-") || name.starts_with("zone:");
        let affects_control_plane =
            |(a, b, _): &(String, String, _)| !affects_machines(a) && !affects_machines(b);
        let is_unavailable = |index: usize| {
            let controller = &self.nodes[index];
            controller.node.is_none() || now < controller.frozen_until.max(controller.stalled_until)
        };
        self.state.outage
            || self.has_node_fault()
            || self.refused_until.values().any(|until| now < *until)
            || self.cuts.iter().any(affects_control_plane)
            || (0..NODES).any(is_unavailable)
    }

    /// Flags accepted jobs about which no node answers although no fault is left. Jobs whose users
    /// never ask again, as those of a flood, are not checked.
    pub(crate) fn check_unanswered_jobs(&mut self) {
        if self.has_control_plane_fault() {
            self.last_control_plane_fault_at = self.now;
        }
        if !self.now.is_multiple_of(1_000) {
            return;
        }
        let since = |observed: &ObservedJob| {
            observed
                .accepted_at
                .max(observed.last_answered_at)
                .map(|at| at.max(self.last_control_plane_fault_at))
        };
        let is_unanswered =
            |observed: &ObservedJob| since(observed).is_some_and(|at| self.now > at + MAX_UNANSWERED_MS);
        let unanswered: Vec<String> = self
            .jobs
            .iter()
            .filter(|(id, observed)| is_unanswered(observed) && self.next_user_request_at.contains_key(*id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in unanswered {
            let observed = self.jobs.get_mut(&id).unwrap();
            // Flag each unanswered period once.
            observed.last_answered_at = Some(self.now);
            self.violation("forgotten", format!("{id} is asked about in vain"));
        }
    }

    /// Ends all faults and continues until every accepted job was asked about and answered or counts
    /// as forgotten, and no job waits beside free capacity or has waited for too long.
    pub(crate) fn run_until_settled(&mut self) {
        if self.state.outage {
            self.state.end_outage(self.now);
        }
        self.cloud.outage = false;
        self.heal_cuts();
        self.refused_until.clear();
        self.message_faults.clear();
        self.faults.clear();
        self.deviation_plan = None;
        for controller in &mut self.nodes {
            controller.frozen_until = controller.frozen_until.min(self.now);
            controller.stalled_until = controller.stalled_until.min(self.now);
            controller.restart_at = controller.restart_at.min(self.now);
        }
        let faults_ended_at = self.now;
        let is_answered = |observed: &ObservedJob| {
            observed.accepted_at.is_none() || observed.last_answered_at > Some(faults_ended_at)
        };
        let all_answered = |simulation: &Simulation| {
            simulation
                .next_user_request_at
                .keys()
                .all(|id| is_answered(&simulation.jobs[id]))
        };
        while self.now <= faults_ended_at + MAX_SETTLE_MS
            && (!all_answered(self) || self.has_wait_beside_capacity())
        {
            self.step();
        }
    }

    /// For each submitted class and shape, the largest tenth of jobs by tasks, the earliest first
    /// among equals. Jobs that can never run or that were cancelled before they had to start do not
    /// count; nor do jobs of submit files, whose own holds and conditions may keep them waiting.
    pub(crate) fn largest_jobs(&self) -> BTreeMap<String, LargestJobs> {
        let mut classes: BTreeMap<String, Vec<(&String, &ObservedJob)>> = BTreeMap::new();
        for (id, observed) in &self.jobs {
            let due_at = observed.accepted_at.map(|at| at + MAX_START_WAIT_MS);
            let cancelled_early = observed
                .cancel_requested_at
                .is_some_and(|at| due_at.is_none_or(|due| at < due));
            if observed.submitted_at.is_some()
                && !observed.rejected
                && !observed.always_fails
                && !cancelled_early
            {
                let class = format!("{}/{}", observed.shape, observed.class);
                classes.entry(class).or_default().push((id, observed));
            }
        }
        let largest_by_class = classes.into_iter().map(|(class, mut jobs)| {
            jobs.sort_by_key(|(id, observed)| (Reverse(observed.tasks), observed.submitted_at, *id));
            let mut largest = LargestJobs::default();
            for (id, observed) in &jobs[..jobs.len().div_ceil(LARGEST_JOBS_DIVISOR)] {
                let (served, requested) = self.job_served(observed).unwrap_or_default();
                largest.served += served;
                largest.requested += requested;
                let waited = observed
                    .accepted_at
                    // A job may start before a slow response to its submission arrives.
                    .map(|at| observed.started_at.unwrap_or(self.now).saturating_sub(at));
                if let Some(waited) = waited.filter(|waited| *waited > MAX_START_WAIT_MS) {
                    largest.late_starts.push(((*id).clone(), waited));
                }
            }
            (class, largest)
        });
        largest_by_class.collect()
    }
}

#[cfg(test)]
mod tests;
