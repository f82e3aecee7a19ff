//! Estimates which machines have the images of models in their caches, and what it costs to place a
//! replica on one machine rather than another. All costs are in *expected seconds of replica downtime*.
//!
//! ```
//! use indigopath_image_locality::{Cache, Candidate, CacheState, cost};
//!
//! // A machine with a cache of 50 GB has two models; `prices` was used least recently.
//! let mut cache = Cache::empty();
//! cache.set_cache_gb(50.0);
//! cache.on_image_seen(&"prices".into(), 24.0);
//! cache.on_image_seen(&"routes".into(), 24.0);
//! assert_eq!(cache.cache_state("prices"), CacheState::Certain);
//! let evicted: Vec<_> = cache.evicted_by("labels", 10.0).collect();
//! assert_eq!(&*evicted[0].image, "prices");
//!
//! // A replica of `routes` starts there at once; one of `labels` waits for a fetch.
//! let cached = Candidate { cache_state: cache.cache_state("routes"), uncontended_fetch_s: 24.0, ..Candidate::default() };
//! let fetched = Candidate { cache_state: cache.cache_state("labels"), uncontended_fetch_s: 10.0, ..Candidate::default() };
//! assert!(cost(&cached).total_s() < cost(&fetched).total_s());
//! ```
//!
//! The package does no input or output and reads no clock: times are arguments, in ms; durations are
//! in s. Costs only rank the machines on which placement rules allow a task.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod cache;
pub mod constants;
mod cost;
mod deferral;
mod error;
mod fetch_rates;
mod image_replicas;

pub use cache::{Cache, CacheState, CachedImage};
pub use cost::{Candidate, Cost, EvictedImage, OngoingFetch, cost};
pub use deferral::should_defer_fetch;
pub use error::ImageSizeError;
pub use fetch_rates::{FetchRates, FetchSample};
pub use image_replicas::{IdleMachine, ImageReplicas, Spread};

/// Name of an image, shared because many machines refer to it.
pub type ImageName = std::sync::Arc<str>;

/// Monotonic time, in ms.
pub type Timestamp = u64;
