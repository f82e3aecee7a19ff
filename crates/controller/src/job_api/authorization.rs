//! Maps requests and jobs to teams, on which the rules of [`indigopath_accounting`] are based.

use crate::model::JobSpec;
use crate::settings::Settings;
use indigopath_accounting::{Access, EndedJob, Hidden, Owner, Team};

/// Resolves a team name to its spelling in the settings. Names in submit files are not case-sensitive,
/// and an empty name means the operators' default team.
fn resolve_team(name: &str, settings: &Settings) -> Team {
    let condor = settings.operator.condor.as_ref();
    let default = condor.and_then(|condor| condor.default_team.as_deref());
    let name = if name.is_empty() {
        default.unwrap_or("")
    } else {
        name
    };
    let teams = &settings.deployment.teams;
    // An exact match wins where two teams' names differ only in case.
    let known = teams
        .iter()
        .find(|team| team.name == name)
        .or_else(|| teams.iter().find(|team| team.name.eq_ignore_ascii_case(name)));
    Team::named(known.map_or(name, |team| &team.name))
}

/// The team that sends a request, which may be stated by `?team=` or, in a submit file, by
/// `accounting_group`.
pub fn requesting_team(stated: Option<&str>, settings: &Settings) -> Team {
    resolve_team(stated.unwrap_or(""), settings)
}

/// The owner recorded for a job.
pub fn job_owner(spec: &JobSpec) -> Owner {
    Owner::from_record(&spec.id.0, &spec.team)
}

/// Permission of the requesting team to see and change a job.
///
/// # Errors
/// Another team owns the job.
pub fn access(spec: &JobSpec, requester: &Team, settings: &Settings) -> Result<Access, Hidden> {
    let team = resolve_team(&spec.team, settings);
    Access::for_team(&Owner::from_record(&spec.id.0, team.name()), requester)
}

/// Whether the name `team` resolves to the requesting team.
pub fn is_same_team(team: &str, requester: &Team, settings: &Settings) -> bool {
    resolve_team(team, settings) == *requester
}

/// Facts of an ended job for its team's accounting entry.
pub fn ended_job(spec: &JobSpec, wall_ms: u64) -> EndedJob<'_> {
    EndedJob {
        class: &spec.class,
        accepted_ms: spec.submitted_ms,
        ended_ms: wall_ms,
        tasks: spec.tasks,
    }
}

/// The percent-decoded `team` parameter of a URL query.
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
