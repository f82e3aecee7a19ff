//! Accounting of ended jobs by team, access checks on jobs, and fair shares between teams.
//!
//! ```
//! use indigopath_accounting::{
//!     Access, EndedJob, Entry, ExecutionStats, JobAccounting, Owner, Position, Team,
//! };
//! use std::sync::Arc;
//!
//! // The owner of a job is recorded when the job is accepted.
//! let owner = Owner::from_record(&Arc::from("wk-7"), "red");
//! // Requests of other teams are denied as if the job did not exist.
//! assert!(Access::for_team(&owner, &Team::named("blue")).is_err());
//! let access = Access::for_team(&owner, &Team::named("red")).expect("the job is red's");
//! assert_eq!(&**access.job(), "wk-7");
//!
//! // The record of an ended job contains its entry. Entries are appended in the order of their
//! // positions.
//! let ended = EndedJob { class: "batch", accepted_ms: 1_000, ended_ms: 61_000, tasks: 4 };
//! let entry = Entry::finished(&Access::for_service(&owner), &ended, ExecutionStats::default());
//! let mut accounting = JobAccounting::new(14_000);
//! let position = Position { revision: 412, job: Arc::from("wk-7") };
//! assert!(accounting.append(position.clone(), Some(entry.clone())));
//! // An entry that is delivered twice is counted once.
//! assert!(!accounting.append(position, Some(entry)));
//! let changes = accounting.begin_write(12, 56_000).expect("a page and the head");
//! assert_eq!(changes[0].0, "b/red/0000000000");
//! ```
//!
//! Each team has its own account: pages of its latest ended jobs and totals over older ones, which
//! bounds its size. The accounts are derived from the records of ended jobs:
//! [`JobAccounting::repair`] compares the two and rewrites accounts that differ.
//!
//! The crate does no I/O and reads no clock: records, keys and times are plain values.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod access;
mod constants;
mod entry;
mod fair;
mod history;
mod job_accounting;
mod position;
mod queue;
mod records;
mod team_account;
mod totals;

pub use access::{Access, Hidden, Owner, Team, VisibleJob};
pub use constants::MAX_LANE_WEIGHT;
pub use entry::{EndedBy, EndedJob, Entry, ExecutionStats, LossCause, LostSeconds};
pub use fair::{FairQueue, QueueFull};
pub use history::{OlderJobs, TeamHistory, read_history};
pub use job_accounting::{Difference, JobAccounting, Rebuild, RecordChange};
pub use position::Position;
pub use queue::{Queue, WaitReason};
pub use records::{HEAD_KEY, KEY_PREFIX, RecordError, team_key_prefix};
pub use totals::JobTotals;
