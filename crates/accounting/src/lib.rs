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
//! // A request of another team finds nothing, one of the owner gets access.
//! assert!(Access::for_team(&owner, &Team::named("blue")).is_err());
//! let access = Access::for_team(&owner, &Team::named("red")).expect("the job is red's");
//! assert_eq!(&**access.job(), "wk-7");
//!
//! // The record of its end contains an entry, which is added to the accounts in the order of ends.
//! let ended = EndedJob { class: "batch", accepted_ms: 1_000, ended_ms: 61_000, tasks: 4 };
//! let entry = Entry::finished(&Access::for_service(&owner), &ended, ExecutionStats::default());
//! let mut accounting = JobAccounting::new(14_000);
//! let position = Position { revision: 412, job: Arc::from("wk-7") };
//! assert!(accounting.append(position.clone(), Some(entry.clone())));
//! // Delivered twice, it is counted once.
//! assert!(!accounting.append(position, Some(entry)));
//! let changes = accounting.begin_write(12, 56_000).expect("a page and the head");
//! assert_eq!(changes[0].0, "b/red/0000000000");
//! ```
//!
//! Each team has an account of its own: pages of its latest ended jobs, and totals over older ones,
//! so that its size is bounded. The accounts are derived from the records of ended jobs:
//! [`JobAccounting::repair`] compares both and rewrites the accounts that differ.
//!
//! The package does no input or output and reads no clock: records, keys and times are plain values.
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
