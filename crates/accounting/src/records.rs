//! The accounting records in the state service: keys, serialized form, and strict parsing.

use crate::access::Team;
use crate::constants::MAX_TEAM_KEY_BYTES;
use crate::entry::{EndedBy, EndedJob, Entry, ExecutionStats, digest};
use crate::position::Position;
use crate::team_account::{AccountPart, Page, PageEntry, TeamAccount};
use crate::totals::{JobTotals, TotalsByDay};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::sync::Arc;
use thiserror::Error;

/// Prefix of the keys of all accounts.
pub const KEY_PREFIX: &str = "b/";

/// Key of the record that contains the position up to which the accounts are written.
pub const HEAD_KEY: &str = "b/~";

/// Version of the record format that this build writes.
const FORMAT_VERSION: u16 = 1;

/// Last part of the key of a team's totals.
const TOTALS_KEY_PART: &str = "~";

/// Length of the `%` and the digest at the end of a truncated team key.
const KEY_DIGEST_BYTES: usize = 17;

/// Why an accounting record cannot be used.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum RecordError {
    /// It is truncated or otherwise malformed.
    #[error("unreadable: {0}")]
    Unreadable(String),
    /// A newer build wrote it. This build must not change any accounts.
    #[error("a later build wrote it, in form {0}")]
    NewerFormat(u16),
}

fn unreadable(problem: &str) -> RecordError {
    RecordError::Unreadable(problem.to_owned())
}

/// The record under [`HEAD_KEY`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    #[serde(rename = "v")]
    format: u16,
    /// The position of the last ended job that the accounts contain.
    #[serde(rename = "at")]
    pub(crate) position: Position,
    /// Number of ended jobs whose records name no owner.
    pub(crate) unowned: u64,
}

impl Head {
    /// Creates the head of empty accounts.
    pub(crate) fn new() -> Head {
        Head {
            format: FORMAT_VERSION,
            ..Head::default()
        }
    }
}

/// The serialized form of a [`TotalsRow`]: a tuple of its fields in order.
type TotalsRowForm = (u32, usize, u64, u64, u64, u64, u64, u64);

/// Totals over one day and class.
#[derive(Clone, Serialize, Deserialize)]
#[serde(from = "TotalsRowForm", into = "TotalsRowForm")]
struct TotalsRow {
    day: u32,
    /// Index of the class among the record's classes.
    class: usize,
    totals: JobTotals,
}

impl From<TotalsRowForm> for TotalsRow {
    fn from(form: TotalsRowForm) -> TotalsRow {
        let (day, class, done, cancelled, tasks, attempts, lost_s, checksum) = form;
        let totals = JobTotals {
            done,
            cancelled,
            tasks,
            attempts,
            lost_s,
            checksum,
        };
        TotalsRow { day, class, totals }
    }
}

impl From<TotalsRow> for TotalsRowForm {
    fn from(row: TotalsRow) -> TotalsRowForm {
        let TotalsRow { day, class, totals } = row;
        (
            day,
            class,
            totals.done,
            totals.cancelled,
            totals.tasks,
            totals.attempts,
            totals.lost_s,
            totals.checksum,
        )
    }
}

#[derive(Serialize, Deserialize)]
struct TotalsRecord {
    #[serde(rename = "v")]
    format: u16,
    team: Team,
    classes: Vec<Arc<str>>,
    rows: Vec<TotalsRow>,
}

/// The serialized form of an entry on a page: job, index of the class among the record's classes,
/// how it ended, time of acceptance, time of end, number of tasks, statistics.
#[derive(Serialize, Deserialize)]
#[serde(rename = "Line")]
struct PageEntryForm(Arc<str>, usize, EndedBy, u64, u64, u32, ExecutionStats);

impl PageEntryForm {
    fn new(page_entry: &PageEntry, classes: &mut ClassTable) -> PageEntryForm {
        let PageEntry { job, entry } = page_entry;
        PageEntryForm(
            job.clone(),
            classes.index_of(&entry.class),
            entry.ended_by(),
            entry.accepted_ms,
            entry.ended_ms,
            entry.tasks,
            entry.stats.clone(),
        )
    }

    fn into_entry(self, team: &Team, classes: &ClassTable) -> Result<PageEntry, RecordError> {
        let PageEntryForm(job, class, ended_by, accepted_ms, ended_ms, tasks, stats) = self;
        let ended = EndedJob {
            class: &classes.get(class)?,
            accepted_ms,
            ended_ms,
            tasks,
        };
        let entry = Arc::new(Entry::from_parts(team.clone(), ended_by, &ended, stats));
        Ok(PageEntry { job, entry })
    }
}

#[derive(Serialize, Deserialize)]
struct PageRecord {
    #[serde(rename = "v")]
    format: u16,
    team: Team,
    classes: Vec<Arc<str>>,
    lines: Vec<PageEntryForm>,
}

/// The classes that a record contains. Its rows refer to them by index.
#[derive(Default)]
struct ClassTable(Vec<Arc<str>>);

impl ClassTable {
    fn index_of(&mut self, class: &Arc<str>) -> usize {
        let known = self.0.iter().position(|known| known == class);
        known.unwrap_or_else(|| {
            self.0.push(class.clone());
            self.0.len() - 1
        })
    }

    fn get(&self, index: usize) -> Result<Arc<str>, RecordError> {
        let class = self.0.get(index).cloned();
        class.ok_or_else(|| unreadable("class index out of range"))
    }
}

/// Encodes the record of one part of an account. Returns `None` if the part is empty.
pub(crate) fn encode(account: &TeamAccount, team: &Team, part: AccountPart) -> Option<Value> {
    match part {
        AccountPart::Page(number) => encode_page(account.pages.get(&number)?, team),
        AccountPart::Totals => encode_totals(&account.totals, team),
    }
}

fn encode_page(page: &Page, team: &Team) -> Option<Value> {
    let mut classes = ClassTable::default();
    let lines = page
        .iter()
        .map(|page_entry| PageEntryForm::new(page_entry, &mut classes))
        .collect();
    let record = PageRecord {
        format: FORMAT_VERSION,
        team: team.clone(),
        classes: classes.0,
        lines,
    };
    // Serializing plain data fails only for maps with keys that are not strings; there are none.
    serde_json::to_value(record).ok()
}

fn encode_totals(totals: &TotalsByDay, team: &Team) -> Option<Value> {
    if totals.0.is_empty() {
        return None;
    }
    let mut classes = ClassTable::default();
    let rows = totals
        .0
        .iter()
        .map(|((day, class), totals)| TotalsRow {
            day: *day,
            class: classes.index_of(class),
            totals: *totals,
        })
        .collect();
    let record = TotalsRecord {
        format: FORMAT_VERSION,
        team: team.clone(),
        classes: classes.0,
        rows,
    };
    serde_json::to_value(record).ok()
}

/// Escapes a team's name for use in keys. Letters, digits, `-`, `_` and `.` are kept, other bytes
/// are escaped, and long names are truncated and end in a digest of the whole name.
pub(crate) fn team_key(team: &Team) -> String {
    let mut key = String::new();
    for byte in team.name().bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.') {
            key.push(char::from(byte));
        } else {
            key.push_str(&format!("%{byte:02x}"));
        }
    }
    if key.len() > MAX_TEAM_KEY_BYTES {
        key.truncate(MAX_TEAM_KEY_BYTES - KEY_DIGEST_BYTES);
        key.push_str(&format!("%{:016x}", digest(team.name().bytes())));
    }
    key
}

/// Prefix of the keys of one team's account.
pub fn team_key_prefix(team: &Team) -> String {
    format!("{KEY_PREFIX}{}/", team_key(team))
}

/// Key of the record of one part of a team's account.
pub(crate) fn part_key(team: &Team, part: AccountPart) -> String {
    let prefix = team_key_prefix(team);
    match part {
        AccountPart::Page(number) => format!("{prefix}{number:010}"),
        AccountPart::Totals => format!("{prefix}{TOTALS_KEY_PART}"),
    }
}

/// The content of a record.
#[derive(Debug)]
pub(crate) enum Record {
    /// The position up to which the accounts are written.
    Head(Head),
    /// A page of a team's account.
    Page {
        /// The team that the account belongs to.
        team: Team,
        /// Number of the page.
        number: u32,
        /// Its entries.
        page: Page,
    },
    /// The totals of a team's account.
    Totals {
        /// The team that the account belongs to.
        team: Team,
        /// Its totals.
        totals: TotalsByDay,
    },
}

fn check_format(value: &Value) -> Result<(), RecordError> {
    match value.get("v").and_then(Value::as_u64) {
        Some(format) if format <= u64::from(FORMAT_VERSION) => Ok(()),
        Some(format) => Err(RecordError::NewerFormat(format.min(u64::from(u16::MAX)) as u16)),
        None => Err(unreadable("no format version")),
    }
}

fn deserialize<T: for<'a> Deserialize<'a>>(value: &Value) -> Result<T, RecordError> {
    T::deserialize(value).map_err(|error| RecordError::Unreadable(error.to_string()))
}

/// Parses the record under a key.
pub(crate) fn parse(key: &str, value: &Value) -> Result<Record, RecordError> {
    check_format(value)?;
    if key == HEAD_KEY {
        return Ok(Record::Head(deserialize(value)?));
    }
    let (_, part) = key.rsplit_once('/').ok_or_else(|| unreadable("unexpected key"))?;
    let (team, record) = if part == TOTALS_KEY_PART {
        parse_totals(value)?
    } else {
        let number = part
            .parse()
            .map_err(|_| unreadable("the page key has no number"))?;
        parse_page(number, value)?
    };
    if key.starts_with(&team_key_prefix(&team)) {
        Ok(record)
    } else {
        Err(unreadable("the record belongs to another team than its key"))
    }
}

fn parse_totals(value: &Value) -> Result<(Team, Record), RecordError> {
    let record: TotalsRecord = deserialize(value)?;
    let classes = ClassTable(record.classes);
    let mut totals = TotalsByDay::default();
    for row in record.rows {
        totals.0.insert((row.day, classes.get(row.class)?), row.totals);
    }
    let team = record.team.clone();
    Ok((team.clone(), Record::Totals { team, totals }))
}

fn parse_page(number: u32, value: &Value) -> Result<(Team, Record), RecordError> {
    let record: PageRecord = deserialize(value)?;
    let classes = ClassTable(record.classes);
    let team = record.team;
    let lines = record.lines.into_iter();
    let page = lines
        .map(|page_entry| page_entry.into_entry(&team, &classes))
        .collect::<Result<Page, _>>()?;
    Ok((team.clone(), Record::Page { team, number, page }))
}
