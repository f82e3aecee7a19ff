//! HTCondor submit files, without I/O: parsing the submit language, converting its commands to
//! scheduler requests, and matching the requests with kinds of machines.
//!
//! ```
//! use indigopath_condor::{CondorSettings, SubmitEnvironment, MachineKinds, MachineType, PathKind, Site, Verdict};
//!
//! struct Nothing;
//! impl SubmitEnvironment for Nothing {
//!     fn read_file(&self, _: &str) -> Result<String, String> { Err("no files".into()) }
//!     fn matching_paths(&self, _: &str, _: PathKind) -> Result<Vec<String>, String> { Ok(Vec::new()) }
//!     fn env_var(&self, _: &str) -> Option<String> { None }
//! }
//!
//! let settings = CondorSettings {
//!     default_team: Some("vision".into()),
//!     default_image: Some("scan:1".into()),
//!     ..CondorSettings::default()
//! };
//! let g8 = MachineType {
//!     name: "g8".into(), cpus: 96.0, gpus: 8.0, memory_gb: 768.0,
//!     price: 12.0, spot_price: 4.5, zones: vec!["a".into()],
//! };
//! let site = Site {
//!     kinds: MachineKinds::new(&[g8], &["a".into()], &settings),
//!     settings,
//!     ..Site::default()
//! };
//! let text = "request_gpus = 2\nrequirements = TARGET.Memory > 500 * 1024\nqueue 3\n";
//! let submission = indigopath_condor::read(text, "scan.sub", 1, 0, &Nothing)?;
//! let results = indigopath_condor::match_submission(&submission, 1, 0, &site);
//! assert_eq!(results.outcome_of_proc.len(), 3);
//! assert_eq!(results.outcomes[0].verdict, Verdict::Match);
//! # Ok::<(), indigopath_condor::SubmitError>(())
//! ```
#![forbid(unsafe_code)]

pub mod cluster;
mod commands;
pub mod constants;
mod macros;
mod matchmaking;
mod printf;
mod queue;
mod request;
mod site;
mod source;
mod submit;
mod template;

pub use cluster::{Bundle, Hold, HoldReason, KindSet, ProcSet, Recorder, SubmitOrigin};
pub use matchmaking::{MatchResults, Outcome, Verdict, match_submission, match_submission_at_most, notes};
pub use request::{PriorityBand, Problem, Request, SourceExpr};
pub use site::{
    CondorSettings, CondorSettingsError, DeclaredValue, MACHINE_ATTRIBUTES, MachineKind, MachineKinds,
    MachineType, Site, SiteFile, Team,
};
pub use source::{PathKind, SourceLocation, SubmitEnvironment, SubmitError};
pub use submit::{Batch, EntryKind, Note, Proc, Submission, SubmitEntry, read};
