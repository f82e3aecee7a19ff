//! Metrics of the leader's term.

use super::LeaderTerm;
use crate::metrics::MetricsSnapshot;
use crate::model::Timestamp;

impl LeaderTerm {
    /// A snapshot of the numbers of jobs, machines and placements.
    pub fn metrics_snapshot(&self, now: Timestamp) -> MetricsSnapshot {
        let mut metrics_snapshot = MetricsSnapshot {
            jobs: self.jobs.len(),
            waiting: self.jobs.waiting_tasks(false),
            held: self.jobs.waiting_tasks(true),
            open_launch_requests: self.autoscaler.open_requests().count(),
            models: self.image_locality.by_spread(),
            replicas_placed: self.image_locality.replicas_placed(),
            ..MetricsSnapshot::default()
        };
        for machine in self.machines.values() {
            let state = if machine.releasing {
                &mut metrics_snapshot.releasing
            } else if machine.unreachable {
                &mut metrics_snapshot.unreachable
            } else if !machine.has_been_up() {
                &mut metrics_snapshot.booting
            } else if machine.is_empty() {
                &mut metrics_snapshot.idle
            } else {
                &mut metrics_snapshot.busy
            };
            *state += 1;
            let placed = machine.attempts.iter().filter(|attempt| attempt.may_be_running());
            for attempt in placed {
                metrics_snapshot.placed += 1;
                if attempt.is_unrecorded() {
                    let age_ms = now.saturating_sub(attempt.planned_at);
                    metrics_snapshot.unrecorded += 1;
                    metrics_snapshot.oldest_unrecorded_ms = metrics_snapshot.oldest_unrecorded_ms.max(age_ms);
                }
            }
        }
        metrics_snapshot
    }
}
