//! The statistics of image fetches and machine losses that placement uses, as measured by the leader.

use indigopath_image_locality::FetchRates;

/// Measured statistics of image fetches and machine losses.
pub trait ImageStatistics {
    /// Whether the operators enabled placement by the expected downtime of replicas.
    fn is_enabled(&self) -> bool;

    /// Returns the measured fetch rates, by machine type.
    fn rates(&self) -> &FetchRates;

    /// Returns the recent rate of replica starts with the image, per s.
    fn starts_per_s(&self, image: &str) -> f64;

    /// Returns the rate of losses per machine, spot or on-demand, per s.
    fn loss_rate(&self, spot: bool) -> f64;
}
