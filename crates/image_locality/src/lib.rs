//! Where the weights of models lie, and what it costs to run a replica in one place rather than
//! another: one unit for all of it, the *expected seconds in which a replica is not up*.
//!
//! ```
//! use indigopath_image_locality::{Cache, Choice, CacheState, cost};
//!
//! // A machine whose cache holds 50 GB had two models, the first of them long ago.
//! let mut cache = Cache::empty();
//! cache.sized(50.0);
//! cache.seen(&"prices".into(), 24.0);
//! cache.seen(&"routes".into(), 24.0);
//! assert_eq!(cache.cache_state("prices"), CacheState::Certain);
//! let evicted: Vec<_> = cache.evicted_by("labels", 10.0).collect();
//! assert_eq!(&*evicted[0].image, "prices");
//!
//! // A replica of `routes` starts there at once; one of `labels` waits for its fetch.
//! let there = Choice { cache_state: cache.cache_state("routes"), alone_s: 24.0, ..Choice::default() };
//! let fetched = Choice { cache_state: cache.cache_state("labels"), alone_s: 10.0, ..Choice::default() };
//! assert!(cost(&there).total_s() < cost(&fetched).total_s());
//! ```
//!
//! Without input or output, and without a clock: times are arguments, in ms, durations in s.
//! Nothing here decides who may run where: what rules forbid stays forbidden at any cost.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod cache;
pub mod constants;
mod cost;
mod deferral;
mod error;
mod fetch_rates;
mod image_replicas;

pub use cache::{Cache, CacheState, Held};
pub use cost::{Choice, Cost, Evicted, Fetching, cost};
pub use deferral::waits_for_others;
pub use error::WeightsError;
pub use fetch_rates::{Fetched, Rates};
pub use image_replicas::{Idle, ImageReplicas, Spread};

/// Name of an image. Shared, as every machine holds some.
pub type Name = std::sync::Arc<str>;

/// Steady time, in ms.
pub type Timestamp = u64;
