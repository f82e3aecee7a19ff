//! Operators' definitions of window schedules (`shift` in the settings), and their validation.

use crate::constants::{MAX_LEAD_S, MAX_NAME_BYTES, MAX_RANK, MAX_SCHEDULES};
use crate::timetable::{Timetable, WindowSchedule};
use crate::{Day, Name};
use jiff::civil::{Time, Weekday};
use jiff::tz::TimeZone;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use thiserror::Error;

/// One `shift "NAME" { … }` block of the operators' settings.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Definition {
    /// Name in the time zone database, such as `Australia/Perth`.
    pub time_zone: String,
    /// Days on which a window opens, as `mon` to `sun`; all days if not set.
    #[serde(default)]
    pub days: Option<Vec<String>>,
    /// Local time at which the window opens, as `HH:MM`.
    pub from: String,
    /// Local time at which the window closes; on the next day if not after `from`.
    pub to: String,
    /// Days on which no window opens, as `YYYY-MM-DD`.
    #[serde(default)]
    pub closed: Vec<String>,
    /// Classes whose services are protected.
    pub classes: Vec<String>,
    /// Teams whose services are protected; all teams if not set.
    #[serde(default)]
    pub teams: Option<Vec<String>>,
    /// Rank of the protected services; lower ranks are served first.
    pub rank: i64,
    /// Lead time in s by which protection starts before the window opens.
    #[serde(default)]
    pub lead_s: f64,
    /// Spare capacity to keep free, as a fraction of what is protected, from 0 to 1.
    #[serde(default)]
    pub spare: f64,
}

/// All definitions of a site by name.
pub type Definitions = BTreeMap<Name, Definition>;

/// Why a definition is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{field}: {problem}")]
pub struct DefinitionError {
    /// Path to the field, such as `shift.perth-trading.time_zone`.
    pub field: String,
    /// What is wrong with the field.
    pub problem: String,
}

const DAYS: [(&str, Weekday); 7] = [
    ("mon", Weekday::Monday),
    ("tue", Weekday::Tuesday),
    ("wed", Weekday::Wednesday),
    ("thu", Weekday::Thursday),
    ("fri", Weekday::Friday),
    ("sat", Weekday::Saturday),
    ("sun", Weekday::Sunday),
];

/// Validates all definitions; `is_team` returns whether a team exists.
///
/// # Errors
/// Returns the first invalid field and what is wrong with it.
pub fn check(
    definitions: &Definitions,
    is_team: impl Fn(&str) -> bool,
) -> Result<Timetable, DefinitionError> {
    if definitions.len() > MAX_SCHEDULES {
        return Err(DefinitionError {
            field: "shift".to_owned(),
            problem: format!("more than {MAX_SCHEDULES} are defined"),
        });
    }
    let schedules = definitions.iter().map(|(name, definition)| {
        let schedule = check_definition(name, definition, &is_team).map_err(|error| DefinitionError {
            field: format!("shift.{name}{}", error.field),
            problem: error.problem,
        })?;
        Ok((name.clone(), Arc::new(schedule)))
    });
    Ok(Timetable::new(schedules.collect::<Result<_, _>>()?))
}

/// An invalid field of a definition.
struct FieldProblem {
    /// Path to the field within the definition, such as `.time_zone`; empty for the name.
    field: &'static str,
    problem: String,
}

impl FieldProblem {
    fn new(field: &'static str, problem: impl Into<String>) -> FieldProblem {
        FieldProblem {
            field,
            problem: problem.into(),
        }
    }
}

/// Validates one definition and reports its first invalid field, in the order of the checks.
fn check_definition(
    name: &str,
    definition: &Definition,
    is_team: impl Fn(&str) -> bool,
) -> Result<WindowSchedule, FieldProblem> {
    check_name(name)?;
    let time_zone = TimeZone::get(&definition.time_zone).map_err(|_| {
        let problem = format!("there is no time zone {}", definition.time_zone);
        FieldProblem::new(".time_zone", problem)
    })?;
    let days = parse_days(definition)?;
    let closed_days = parse_closed_days(definition)?;
    let (from, _) = parse_time(".from", &definition.from)?;
    let (to, is_end_of_day) = parse_time(".to", &definition.to)?;
    if definition.from == "24:00" {
        return Err(FieldProblem::new(".from", invalid_time(&definition.from)));
    }
    check_classes(definition)?;
    check_teams(definition, is_team)?;
    let rank = check_rank(definition)?;
    check_numbers(definition)?;
    Ok(WindowSchedule {
        time_zone,
        days,
        from,
        to,
        overnight: is_end_of_day || to <= from,
        closed_days,
        classes: definition.classes.iter().cloned().collect(),
        teams: definition.teams.clone().map(BTreeSet::from_iter),
        rank,
        lead_ms: (definition.lead_s * 1_000.0) as u64,
        spare_share: definition.spare,
    })
}

fn check_name(name: &str) -> Result<(), FieldProblem> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    if (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_allowed) {
        return Ok(());
    }
    let problem = format!("a name has 1 to {MAX_NAME_BYTES} letters, digits, dots, dashes or underscores");
    Err(FieldProblem::new("", problem))
}

/// Days of the week, with Monday as 0.
fn parse_days(definition: &Definition) -> Result<BTreeSet<i8>, FieldProblem> {
    let Some(names) = &definition.days else {
        return Ok((0..7).collect());
    };
    if names.is_empty() {
        return Err(FieldProblem::new(".days", "must not be empty"));
    }
    let days = names.iter().map(|day| {
        let known = DAYS.iter().find(|(name, _)| name == day);
        let (_, weekday) =
            known.ok_or_else(|| FieldProblem::new(".days", format!("{day} is not one of mon to sun")))?;
        Ok(weekday.to_monday_zero_offset())
    });
    days.collect()
}

fn parse_closed_days(definition: &Definition) -> Result<BTreeSet<Day>, FieldProblem> {
    let days = definition.closed.iter().map(|day| {
        let date = (day.len() == 10).then(|| day.parse::<Day>().ok()).flatten();
        date.ok_or_else(|| FieldProblem::new(".closed", format!("{day} is not a date such as 2026-12-25")))
    });
    days.collect()
}

/// Parses the time of day in a field. The second value is whether it is `24:00`.
fn parse_time(field: &'static str, text: &str) -> Result<(Time, bool), FieldProblem> {
    parse_time_of_day(text).ok_or_else(|| FieldProblem::new(field, invalid_time(text)))
}

fn check_classes(definition: &Definition) -> Result<(), FieldProblem> {
    if definition.classes.is_empty() {
        return Err(FieldProblem::new(".classes", "must not be empty"));
    }
    if definition.classes.iter().any(String::is_empty) {
        return Err(FieldProblem::new(".classes", "a class must not be empty"));
    }
    Ok(())
}

fn check_teams(definition: &Definition, is_team: impl Fn(&str) -> bool) -> Result<(), FieldProblem> {
    let Some(teams) = &definition.teams else {
        return Ok(());
    };
    if teams.is_empty() {
        let problem = "must not be empty; leave it out for all teams";
        return Err(FieldProblem::new(".teams", problem));
    }
    match teams.iter().find(|team| !is_team(team)) {
        Some(team) => Err(FieldProblem::new(".teams", format!("there is no team {team}"))),
        None => Ok(()),
    }
}

fn check_rank(definition: &Definition) -> Result<u16, FieldProblem> {
    let rank = u16::try_from(definition.rank).ok();
    let rank = rank.filter(|rank| i64::from(*rank) <= MAX_RANK);
    rank.ok_or_else(|| {
        let problem = format!("must be between 0 and {MAX_RANK}, is {}", definition.rank);
        FieldProblem::new(".rank", problem)
    })
}

fn check_numbers(definition: &Definition) -> Result<(), FieldProblem> {
    let is_within = |value: f64, max: f64| value.is_finite() && (0.0..=max).contains(&value);
    if !is_within(definition.lead_s, MAX_LEAD_S) {
        let problem = format!("must be between 0 and {MAX_LEAD_S} s, is {}", definition.lead_s);
        return Err(FieldProblem::new(".lead_s", problem));
    }
    if !is_within(definition.spare, 1.0) {
        let problem = format!("must be between 0 and 1, is {}", definition.spare);
        return Err(FieldProblem::new(".spare", problem));
    }
    Ok(())
}

fn invalid_time(text: &str) -> String {
    format!("{text} is not a time of day such as 06:00")
}

/// Parses a time of day. The second value is whether it is `24:00`.
fn parse_time_of_day(text: &str) -> Option<(Time, bool)> {
    let (hour, minute) = text.split_once(':')?;
    let number = |digits: &str| {
        let is_valid = digits.len() == 2 && digits.bytes().all(|byte| byte.is_ascii_digit());
        is_valid.then(|| digits.parse::<i8>().ok()).flatten()
    };
    let (hour, minute) = (number(hour)?, number(minute)?);
    if (hour, minute) == (24, 0) {
        return Some((Time::midnight(), true));
    }
    Some((Time::new(hour, minute, 0, 0).ok()?, false))
}

/// Classes in definitions that are not known otherwise and may be misspelt, as pairs of the
/// definition's name and the class.
pub fn unknown_classes<'a>(
    definitions: &'a Definitions,
    is_known: impl Fn(&str) -> bool + 'a,
) -> impl Iterator<Item = (&'a str, &'a str)> {
    definitions.iter().flat_map(move |(name, definition)| {
        let classes: Vec<&str> = definition
            .classes
            .iter()
            .map(String::as_str)
            .filter(|class| !is_known(class))
            .collect();
        classes.into_iter().map(move |class| (&**name, class))
    })
}

#[cfg(test)]
mod tests;
