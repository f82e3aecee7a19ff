//! Responses to users about one job, and the messages that tell users to retry.

use crate::constants::RETRY_AFTER_S;
use crate::io::{Io, RequestId};
use crate::job_api::admission::Refusal;
use crate::job_api::cache::TerminalState;
use crate::job_api::{JobRequest, TaskCounts};
use crate::model::{JobId, Timestamp};
use crate::protocol::{JobStatus, JobStatusResponse};
use crate::storage::records::Ending;
use indigopath_accounting::{Owner, Team, VisibleJob};

/// A peer may have returned a newer answer, and repeated reads were outdated as well.
pub(super) const READ_AGAIN: &str = "another node has told of this job meanwhile, ask again";

/// The end is committed, but a peer may still answer that the job is live.
pub(super) const END_NOT_VISIBLE: &str = "another node may still say something older, ask again";

/// A queue was full, or the request waited too long.
pub(super) const TOO_MANY_REQUESTS: &str = "too many requests, come back later";

/// Answers a rejected submission. If it names a job, that job did not exist when it was read, and the reply must be sent
/// before `until`.
pub fn reply_refusal(request: RequestId, refusal: &Refusal, until: Option<Timestamp>, io: &mut Io) {
    let (status, problem) = match refusal {
        Refusal::Invalid(problem) => (400, problem.as_str()),
        Refusal::Impossible(problem) => (422, problem.as_ref()),
        Refusal::Undecided(problem) => return io.reply_retry_later(request, RETRY_AFTER_S, problem),
    };
    match until {
        Some(until) => io.reply_error_until(request, status, problem, until),
        None => io.reply_error(request, status, problem),
    }
}

/// What the requester may see of a job; `team` is the owner, if it is known.
pub(super) fn visible_job(job: &JobId, kind: &JobRequest, team: Option<&Team>) -> VisibleJob {
    let owner = team.map(|team| Owner::from_record(&job.0, team.name()));
    match kind {
        JobRequest::Poll | JobRequest::Cancel => VisibleJob::for_protocol(&job.0),
        JobRequest::Submit(spec) => {
            let stated = Team::named(&spec.team);
            VisibleJob::for_resubmission(&job.0, owner.as_ref(), Some(&stated))
        }
        JobRequest::Refused(_) => VisibleJob::for_resubmission(&job.0, owner.as_ref(), None),
    }
}

/// Answers that the job is live, unless the reply cannot be sent before `until`.
pub(super) fn reply_live(
    request: RequestId,
    visible: &VisibleJob,
    until: Timestamp,
    counts: &TaskCounts,
    io: &mut Io,
) {
    let (done, running) = counts.get(&**visible.job()).copied().unwrap_or((0, 0));
    let status = if running > 0 {
        JobStatus::Running
    } else {
        JobStatus::Pending
    };
    let response = JobStatusResponse::of(visible, status, Some(done.into()), Some(running.into()));
    io.reply_until(request, 200, &response, until);
}

/// Answers how the job ended.
pub(super) fn reply_ended(request: RequestId, visible: &VisibleJob, ended: &TerminalState, io: &mut Io) {
    let (status, done) = match ended.end {
        Ending::Done => (JobStatus::Done, Some(ended.tasks.into())),
        Ending::Cancelled => (JobStatus::Cancelled, None),
    };
    let response = JobStatusResponse::of(visible, status, done, Some(0));
    io.reply(request, 200, &response);
}
