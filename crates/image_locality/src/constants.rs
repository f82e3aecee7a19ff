//! Constants of this package, each with its unit and reason.

/// Probability that an image is in a cache of unknown contents. It is low because a machine has
/// used only a few of all images, and a start without the image costs a fetch.
pub const UNKNOWN_CACHED_PROBABILITY: f64 = 0.1;

/// Probability that an image is cached where only a record or an unconfirmed start says so. Records
/// are written with the start, so if a leader fails during a fetch, its successor reads a few
/// images that have not been fetched yet.
pub const LIKELY_CACHED_PROBABILITY: f64 = 0.9;

/// Assumed degree to which concurrent fetches share a machine's bandwidth, before any was measured:
/// completely. If a shared bandwidth were taken for an unshared one, dozens of replicas would wait
/// for each other.
pub const SHARING_PRIOR: f64 = 1.0;

/// Weight of this assumption, as a number of measured concurrent fetches.
pub const SHARING_PRIOR_WEIGHT: f64 = 3.0;

/// Weight of a new sample in the moving average of the slowdown of uncontended fetches.
pub const SLOWDOWN_SMOOTHING: f64 = 0.1;

/// Least ratio of actual to nominal fetch time that is accepted; rates vary by a third.
pub const MIN_SLOWDOWN: f64 = 0.5;

/// Greatest ratio that is accepted. Beyond it, the machine was suspended or unreachable.
pub const MAX_SLOWDOWN: f64 = 4.0;

/// How far ahead the costs of a placement are considered, in s: a few times as long as a leader's
/// information stays valid. What comes later is decided again.
pub const HORIZON_S: f64 = 300.0;

/// Time, in s, until the loss of a replica is detected and its replacement starts on a machine that
/// has the image.
pub const REPLACEMENT_DELAY_S: f64 = 5.0;

/// Share of a fetch time by which each replica of the same service that is lost together with one
/// delays its replacement, because the others take the capacity next to the remaining copies.
pub const REPLACEMENT_CONTENTION_SHARE: f64 = 0.25;

/// Seconds of lost batch work that cost as much as one second of replica downtime.
pub const BATCH_S_PER_DOWNTIME_S: f64 = 3.0;

/// Zones in which the image of a live model should be cached.
pub const MIN_IMAGE_ZONES: usize = 2;

/// Machines on which the image of a live model should be cached.
pub const MIN_IMAGE_MACHINES: u32 = 2;

/// By how many s the gain of others must exceed the delay of a task for it to wait until their
/// fetches complete; the remaining time of a fetch is known to within a second or two.
pub const DEFERRAL_MARGIN_S: f64 = 2.0;
