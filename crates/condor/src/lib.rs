//! HTCondor submit files, without input or output: the submit language, what its commands
//! mean to the scheduler, and which kinds of machines do for what they ask.
//!
//! ```
//! use indigopath_condor::{CondorSettings, Files, Kinds, MachineType, Matching, Site, Verdict};
//!
//! struct Nothing;
//! impl Files for Nothing {
//!     fn read(&self, _: &str) -> Result<String, String> { Err("no files".into()) }
//!     fn matching(&self, _: &str, _: Matching) -> Result<Vec<String>, String> { Ok(Vec::new()) }
//!     fn variable(&self, _: &str) -> Option<String> { None }
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
//!     kinds: Kinds::new(&[g8], &["a".into()], &settings),
//!     settings,
//!     ..Site::default()
//! };
//! let text = "request_gpus = 2\nrequirements = TARGET.Memory > 500 * 1024\nqueue 3\n";
//! let submission = indigopath_condor::read(text, "scan.sub", 1, 0, &Nothing)?;
//! let judged = indigopath_condor::judge(&submission, 1, 0, &site);
//! assert_eq!(judged.of.len(), 3);
//! assert_eq!(judged.outcomes[0].verdict, Verdict::Match);
//! # Ok::<(), indigopath_condor::SubmitError>(())
//! ```
#![forbid(unsafe_code)]

pub mod cluster;
mod commands;
pub mod constants;
mod judge;
mod macros;
mod printf;
mod queue;
mod request;
mod site;
mod source;
mod submit;
mod template;

pub use cluster::{Bundle, Hold, KindSet, Part, Procs, Recorder, Why};
pub use judge::{Judged, Outcome, Verdict, judge, judge_at_most, notes};
pub use request::{Asked, Level, Problem, Request};
pub use site::{
    CondorSettings, CondorSettingsError, Declared, Kind, Kinds, MACHINE_ATTRIBUTES, MachineType, Site,
    SiteFile, Team,
};
pub use source::{Files, Matching, Place, SubmitError};
pub use submit::{Batch, Key, Note, Proc, Submission, What, read};
