//! Access to jobs: the values that code must hold to show a job to a user or to change it.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;
use thiserror::Error;

/// A team, identified by its name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Team(Arc<str>);

impl Team {
    /// The team of this name.
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

/// The owner of a job, as recorded when the job was accepted. It never changes, so neither part
/// can be set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owner {
    job: Arc<str>,
    team: Team,
}

impl Owner {
    /// The owner that the record of an accepted job names.
    pub fn from_record(job: &Arc<str>, team: &str) -> Owner {
        Owner {
            job: job.clone(),
            team: Team::named(team),
        }
    }

    /// The job.
    pub fn job(&self) -> &Arc<str> {
        &self.job
    }

    /// The team that owns it.
    pub fn team(&self) -> &Team {
        &self.team
    }
}

/// The job belongs to another team: the request is answered as if the job did not exist.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("no such job")]
pub struct Hidden;

/// Permission to see all of one job and to change it. Only the three constructors below make one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Access {
    owner: Owner,
}

impl Access {
    /// Access for a request that states a team, which must be the owner.
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

    /// Access for any request, where the operators' settings show the jobs of all teams to every
    /// client that reaches the node. `shown` is that setting.
    ///
    /// # Errors
    /// The settings do not show them.
    pub fn for_any_team(owner: &Owner, shown: bool) -> Result<Access, Hidden> {
        if shown {
            Ok(Access { owner: owner.clone() })
        } else {
            Err(Hidden)
        }
    }

    /// Access for the service itself, which ends a job once all of its tasks are done.
    pub fn for_service(owner: &Owner) -> Access {
        Access { owner: owner.clone() }
    }

    /// The job that may be seen and changed.
    pub fn job(&self) -> &Arc<str> {
        &self.owner.job
    }

    /// The owner of the job.
    pub fn owner(&self) -> &Owner {
        &self.owner
    }
}

/// Permission to report the state of one job by the protocol and to withdraw it, where requests of
/// the protocol name no team. Neither the team nor the content of the job can be shown with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VisibleJob {
    job: Arc<str>,
    shows_progress: bool,
}

impl VisibleJob {
    /// For a `GET` of the state, or a withdrawal: the answer includes the progress.
    pub fn for_protocol(job: &Arc<str>) -> VisibleJob {
        VisibleJob {
            job: job.clone(),
            shows_progress: true,
        }
    }

    /// For a repeated submission. By the platform's rules, an accepted id is answered with its
    /// state, whoever sends it. Other teams than the owner, and all where the owner is not known
    /// here, get no more than that.
    pub fn for_resubmission(job: &Arc<str>, owner: Option<&Owner>, stated: Option<&Team>) -> VisibleJob {
        let own = owner
            .zip(stated)
            .is_some_and(|(owner, team)| owner.job == *job && Access::for_team(owner, team).is_ok());
        VisibleJob {
            job: job.clone(),
            shows_progress: own,
        }
    }

    /// The job.
    pub fn job(&self) -> &Arc<str> {
        &self.job
    }

    /// Whether the numbers of done and running tasks may be shown.
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
