//! The scheduler of indigopath as a pure state machine: time, randomness and commands are its
//! inputs, and effects its outputs. It performs no I/O itself.
#![forbid(unsafe_code)]

pub mod allocations;
pub mod autoscaling;
pub mod condor;
pub mod constants;
pub mod election;
mod expiring_cache;
pub mod io;
pub mod job_api;
pub mod leader;
pub mod metrics;
pub mod model;
pub mod node;
pub mod peers;
pub mod protocol;
pub mod scheduling;
pub mod settings;
pub mod storage;
pub mod token_bucket;
