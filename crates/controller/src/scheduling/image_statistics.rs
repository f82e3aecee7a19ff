//! What placement needs to know of image fetches and machine losses, as measured by whoever leads.

use indigopath_image_locality::Rates;

/// Measured statistics of images and machines.
pub trait ImageStatistics {
    /// Whether places are chosen by the expected downtime of replicas, as the operators set it.
    fn is_enabled(&self) -> bool;

    /// Measured rates of fetches, by type of machine.
    fn rates(&self) -> &Rates;

    /// Replicas started with the image lately, per s.
    fn starts_per_s(&self, image: &str) -> f64;

    /// Losses of a machine, spot or on-demand, per s.
    fn loss_rate(&self, spot: bool) -> f64;
}
