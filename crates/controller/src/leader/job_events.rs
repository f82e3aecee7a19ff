//! Jobs that are accepted, change or end, as users' requests, peers and the watch tell.

use super::LeaderTerm;
use crate::io::Io;
use crate::model::{Job, JobId, JobSpec, Timestamp};
use crate::protocol::Shape;
use crate::storage::records;

impl LeaderTerm {
    /// A job was accepted, by this node or another.
    pub fn on_job_accepted(&mut self, mut spec: JobSpec, version: u64, io: &Io) {
        if !self.recovery.is_complete() || version <= self.writer.ended_version(&spec.id) {
            return;
        }
        self.intern_spec(&mut spec);
        if self.jobs.contains(&spec.id) {
            self.on_job_changed(spec, version, io.now);
            return;
        }
        let mut job = Job::new(spec, version, io.now, io.wall_ms);
        job.parked = self.submit_clusters.is_parked(&job.spec);
        if job.spec.shape == Shape::Service {
            // It may be protected: that must be known before it is placed.
            self.protection_windows.request_update();
        }
        self.jobs.insert(job);
        self.scheduler.request_pass();
    }

    /// A peer is about to tell a user that this job is over, which the watch tells only later where the
    /// state service is slow or refuses this node. What may still start of it waits until its record has
    /// been read; what is recorded from now on needs that the job is live.
    pub fn on_job_ended_elsewhere(&mut self, id: &JobId) {
        if !self.jobs.contains(id) {
            return;
        }
        let notice = self.jobs.next_end_notice();
        let mut awaiting_reread = false;
        self.machines.for_each_attempt(id, |_, attempt| {
            if !attempt.from_previous_leader && attempt.reported_state.is_none() && attempt.stop.is_none() {
                attempt.awaiting_reread = Some(notice);
                awaiting_reread = true;
            }
        });
        if awaiting_reread {
            self.writer.queue_reread(records::job_key(&id.0));
        }
    }

    /// The job's record was read, and asked for after so many notices of peers: it was live.
    pub(super) fn on_job_reread(&mut self, id: &JobId, end_notices: u64) {
        let mut again = false;
        self.machines.for_each_attempt(id, |host, attempt| {
            if attempt
                .awaiting_reread
                .take_if(|notice| *notice <= end_notices)
                .is_some()
            {
                self.commands.mark_due(host.clone());
            }
            again |= attempt.awaiting_reread.is_some();
        });
        if again {
            self.writer.queue_reread(records::job_key(&id.0));
        }
    }

    /// A job is over: whatever of it may be anywhere is stopped.
    pub fn on_job_ended(&mut self, id: &JobId, now: Timestamp) {
        let Some(job) = self.jobs.remove(id) else { return };
        self.accounting.on_job_ended(id, &job.execution_stats);
        self.writer.remove_job(id, &job);
        self.scheduler.request_pass();
        for machine in self.machines.values_mut() {
            machine.failed_jobs.remove(id);
        }
        self.machines.for_each_attempt(id, |host, attempt| {
            if attempt.exited() {
                attempt.end_processed = true;
            } else {
                // Whatever grace an earlier stop had, nobody needs it now.
                self.commands.request_stop(attempt, host, 0.0, now);
            }
        });
    }
}
