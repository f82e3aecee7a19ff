//! Which team sends a request, and which team owns a job: what [`indigopath_accounting`] decides by.

use crate::model::JobSpec;
use crate::settings::Settings;
use indigopath_accounting::{Access, EndedJob, Hidden, Owner, Team};

/// A team by its name as the settings write it. Submit files may write it in other letters, and
/// where they name none they mean the operators' default.
fn resolved(name: &str, settings: &Settings) -> Team {
    let condor = settings.operator.condor.as_ref();
    let default = condor.and_then(|condor| condor.default_team.as_deref());
    let name = if name.is_empty() {
        default.unwrap_or("")
    } else {
        name
    };
    let teams = &settings.deployment.teams;
    // Where two teams differ by such letters alone, each is itself.
    let known = teams
        .iter()
        .find(|team| team.name == name)
        .or_else(|| teams.iter().find(|team| team.name.eq_ignore_ascii_case(name)));
    Team::named(known.map_or(name, |team| &team.name))
}

/// The team that sends a request which may state one (`?team=`), as a submit file may by its
/// `accounting_group`.
pub fn requesting_team(stated: Option<&str>, settings: &Settings) -> Team {
    resolved(stated.unwrap_or(""), settings)
}

/// The owner of a job.
pub fn job_owner(spec: &JobSpec) -> Owner {
    Owner::on_record(&spec.id.0, &spec.team)
}

/// Permission to see a job and to alter it.
///
/// # Errors
/// Another team owns the job.
pub fn access(spec: &JobSpec, asks: &Team, settings: &Settings) -> Result<Access, Hidden> {
    let team = resolved(&spec.team, settings);
    Access::stated(&Owner::on_record(&spec.id.0, team.name()), asks)
}

/// Whether the sender may see what this team owns.
pub fn is_same_team(team: &str, asks: &Team, settings: &Settings) -> bool {
    resolved(team, settings) == *asks
}

/// What a job was, for its team's account.
pub fn ended_job(spec: &JobSpec, wall_ms: u64) -> EndedJob<'_> {
    EndedJob {
        class: &spec.class,
        accepted_ms: spec.submitted_ms,
        ended_ms: wall_ms,
        tasks: spec.tasks,
    }
}

/// The team that a query states: `team=red`, escaped as usual.
pub fn team_in_query(query: &str) -> Option<String> {
    let pair = query.split('&').find_map(|pair| pair.strip_prefix("team="))?;
    let mut bytes = Vec::with_capacity(pair.len());
    let mut rest = pair.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'%' => {
                let digits = [rest.next()?, rest.next()?];
                u8::from_str_radix(std::str::from_utf8(&digits).ok()?, 16).ok()?
            }
            b'+' => b' ',
            other => other,
        });
    }
    String::from_utf8(bytes).ok()
}

#[cfg(test)]
mod tests;
