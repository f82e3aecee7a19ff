//! Warnings about images that are too large for the machines' caches.

use thiserror::Error;

/// An image that the caches of the allowed machine types cannot hold well. Its jobs are not rejected;
/// they are placed, and every start may fetch the image.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum ImageSizeError {
    /// The image is larger than the largest cache.
    #[error(
        "image {image} has {gb:.1} GB, more than the largest cache of {cache_gb:.1} GB: every start fetches it"
    )]
    ExceedsLargestCache {
        /// Name of the image.
        image: String,
        /// Size of the image, in GB.
        gb: f64,
        /// Largest cache of the allowed machine types, in GB.
        cache_gb: f64,
    },
    /// The image takes more than half of the largest cache, so that no machine can hold two such images.
    #[error(
        "image {image} has {gb:.1} GB, over half of the largest cache of {cache_gb:.1} GB: no machine can cache two such images"
    )]
    ExceedsHalfOfCache {
        /// Name of the image.
        image: String,
        /// Size of the image, in GB.
        gb: f64,
        /// Largest cache of the allowed machine types, in GB.
        cache_gb: f64,
    },
}

impl ImageSizeError {
    /// Checks an image of this size against a largest cache of `cache_gb`.
    pub fn check(image: &str, gb: f64, cache_gb: f64) -> Option<ImageSizeError> {
        let image = image.to_owned();
        if gb > cache_gb {
            Some(ImageSizeError::ExceedsLargestCache { image, gb, cache_gb })
        } else if gb > cache_gb / 2.0 {
            Some(ImageSizeError::ExceedsHalfOfCache { image, gb, cache_gb })
        } else {
            None
        }
    }

    /// Returns whether no machine can cache the image at all.
    pub fn exceeds_all_caches(&self) -> bool {
        matches!(self, ImageSizeError::ExceedsLargestCache { .. })
    }
}

#[cfg(test)]
mod tests;
