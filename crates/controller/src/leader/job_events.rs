//! Handling of accepted, changed and ended jobs, as reported by users' requests, peers and the
//! watch.

use super::LeaderTerm;
use crate::io::Io;
use crate::model::{Job, JobId, JobSpec, Timestamp};
use crate::protocol::Shape;
use crate::storage::records;

impl LeaderTerm {
    /// Handles a job that was accepted by this node or another.
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
            // The service may be protected, which must be known before it is placed.
            self.protection_windows.request_update();
        }
        self.jobs.insert(job);
        self.scheduler.request_pass();
    }

    /// Handles a peer's notice that it is about to report the job as ended to a user. The watch may
    /// report the end much later if the state service is slow or rejects this node's calls. Starts
    /// of the job's tasks that no worker has confirmed yet are withheld until the job's record has
    /// been read again; later writes are conditional on the job being live.
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

    /// Handles a read of the job's record that found it live. Releases the starts withheld by
    /// notices up to `end_notices`, the latest one when the read was sent.
    pub(super) fn on_job_reread(&mut self, id: &JobId, end_notices: u64) {
        let mut still_awaiting = false;
        self.machines.for_each_attempt(id, |host, attempt| {
            if attempt
                .awaiting_reread
                .take_if(|notice| *notice <= end_notices)
                .is_some()
            {
                self.commands.mark_due(host.clone());
            }
            still_awaiting |= attempt.awaiting_reread.is_some();
        });
        if still_awaiting {
            self.writer.queue_reread(records::job_key(&id.0));
        }
    }

    /// Handles the end of a job: stops all attempts of it that may be running.
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
                // An earlier stop may have granted a grace period, which is of no use any more.
                self.commands.request_stop(attempt, host, 0.0, now);
            }
        });
    }
}
