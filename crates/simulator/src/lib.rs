//! Models of the state service, the cloud, workers, licence servers and users that follow their
//! published protocols, and a deterministic simulation that runs text scenarios with them against
//! real controllers. Tests in real time use the same models.
//!
//! The models panic on a malformed call, as controllers must never send one.
#![forbid(unsafe_code)]

mod accounting_checks;
mod admission_checks;
pub mod cloud;
pub mod controllers;
mod count_checks;
mod effect_digest;
mod fault_combinations;
mod invariants;
mod job_stream;
pub mod licence_server;
pub mod loopback;
mod response_checks;
mod scenario;
mod seeds;
pub mod simulation;
pub mod state;
mod waiting_checks;
mod window_checks;
pub mod worker;
mod zones;

pub use scenario::{run, run_cases, run_with_deviations, run_with_digest};
pub use seeds::{SeedResults, run_seeds, run_variants, time_steps};
pub use simulation::Deviation;
