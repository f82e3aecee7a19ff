//! Access control for jobs: the permissions that code must hold to show a job to a user or to
//! change it.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;
use thiserror::Error;

/// A team, identified by its name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Team(Arc<str>);

impl Team {
    /// Creates the team with this name.
    pub fn named(name: &str) -> Team {
        Team(Arc::from(name))
    }

    /// The name of the team.
    pub fn name(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Team {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The owner of a job, as recorded when the job was accepted. The owner never changes, so there are
/// no setters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owner {
    job: Arc<str>,
    team: Team,
}

impl Owner {
    /// Creates the owner that is named in the record of an accepted job.
    pub fn from_record(job: &Arc<str>, team: &str) -> Owner {
        Owner {
            job: job.clone(),
            team: Team::named(team),
        }
    }

    /// The id of the job.
    pub fn job(&self) -> &Arc<str> {
        &self.job
    }

    /// The team that owns the job.
    pub fn team(&self) -> &Team {
        &self.team
    }
}

/// The job belongs to another team. The request is answered as if the job did not exist.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("no such job")]
pub struct Hidden;

/// Permission to read and change a job. It can be created only by the three constructors below.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Access {
    owner: Owner,
}

impl Access {
    /// Grants access to a request that names a team, which must own the job.
    ///
    /// # Errors
    /// The job belongs to another team.
    pub fn for_team(owner: &Owner, team: &Team) -> Result<Access, Hidden> {
        if owner.team == *team {
            Ok(Access { owner: owner.clone() })
        } else {
            Err(Hidden)
        }
    }

    /// Grants access to any request if the operators' settings show the jobs of all teams to every
    /// client that reaches the node. `enabled` is that setting.
    ///
    /// # Errors
    /// The setting is disabled.
    pub fn for_any_team(owner: &Owner, enabled: bool) -> Result<Access, Hidden> {
        if enabled {
            Ok(Access { owner: owner.clone() })
        } else {
            Err(Hidden)
        }
    }

    /// Grants access to the service itself, which ends a job once all of its tasks are done.
    pub fn for_service(owner: &Owner) -> Access {
        Access { owner: owner.clone() }
    }

    /// The id of the job that may be read and changed.
    pub fn job(&self) -> &Arc<str> {
        &self.owner.job
    }

    /// The owner of the job.
    pub fn owner(&self) -> &Owner {
        &self.owner
    }
}

/// Permission to report the state of a job through the protocol and to cancel it. Requests of the
/// protocol name no team, so this permission reveals neither the team nor the content of the
/// job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VisibleJob {
    job: Arc<str>,
    shows_progress: bool,
}

impl VisibleJob {
    /// For a `GET` of the state or a cancellation: the response includes the progress.
    pub fn for_protocol(job: &Arc<str>) -> VisibleJob {
        VisibleJob {
            job: job.clone(),
            shows_progress: true,
        }
    }

    /// For a repeated submission. The platform requires that an accepted id is answered with its
    /// state, whoever submits it. The progress is included only if the submitting team is known to
    /// own the job.
    pub fn for_resubmission(job: &Arc<str>, owner: Option<&Owner>, submitter: Option<&Team>) -> VisibleJob {
        let is_owner = owner
            .zip(submitter)
            .is_some_and(|(owner, team)| owner.job == *job && Access::for_team(owner, team).is_ok());
        VisibleJob {
            job: job.clone(),
            shows_progress: is_owner,
        }
    }

    /// The id of the job.
    pub fn job(&self) -> &Arc<str> {
        &self.job
    }

    /// Whether the response may contain the numbers of done and running tasks.
    pub fn shows_progress(&self) -> bool {
        self.shows_progress
    }
}

impl From<&Access> for VisibleJob {
    fn from(access: &Access) -> VisibleJob {
        VisibleJob::for_protocol(access.job())
    }
}

#[cfg(test)]
mod tests;
