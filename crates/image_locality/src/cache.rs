//! An estimate of the contents of a machine's image cache, based on task starts and reports.

use crate::ImageName;
use std::collections::VecDeque;

/// Whether an image is in the cache of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum CacheState {
    /// It is not: the contents are completely known and do not include it.
    #[default]
    Absent,
    /// Not known, for example because the machine was up before this process learned of it.
    Unknown,
    /// A record or an unconfirmed start says so, and by the order of use it has not been evicted.
    Likely,
    /// A task was observed to have it, and nothing fetched since could have evicted it.
    Certain,
}

impl CacheState {
    /// Returns the probability that the image is cached.
    pub fn cached_probability(self) -> f64 {
        match self {
            CacheState::Absent => 0.0,
            CacheState::Unknown => crate::constants::UNKNOWN_CACHED_PROBABILITY,
            CacheState::Likely => crate::constants::LIKELY_CACHED_PROBABILITY,
            CacheState::Certain => 1.0,
        }
    }
}

/// One image in a cache.
#[derive(Debug, Clone, PartialEq)]
pub struct CachedImage {
    /// Name of the image.
    pub image: ImageName,
    /// Size of the image, in GB.
    pub gb: f64,
    /// Whether a task was observed to have it since the contents last became uncertain.
    pub confirmed: bool,
}

/// The images on a machine, the most recently used last. A worker evicts the least recently used
/// images. It doesn't report its cache contents, so they are inferred from starts and reports.
#[derive(Debug, Clone, PartialEq)]
pub struct Cache {
    cached: VecDeque<CachedImage>,
    /// Capacity, in GB.
    cache_gb: f64,
    /// Whether the cache is known to contain no other images.
    complete: bool,
}

impl Default for Cache {
    /// Returns the cache of a machine of which nothing is known.
    fn default() -> Cache {
        Cache::from_record([])
    }
}

impl Cache {
    /// Returns the cache of a machine that has just booted.
    pub fn empty() -> Cache {
        Cache {
            complete: true,
            ..Cache::from_record([])
        }
    }

    /// Returns the cache as recorded by a previous leader, the most recently used image last. The
    /// contents count as unconfirmed, since the record may be out of date.
    pub fn from_record(images: impl IntoIterator<Item = (ImageName, f64)>) -> Cache {
        let cached = images.into_iter().map(|(image, gb)| CachedImage {
            image,
            gb,
            confirmed: false,
        });
        Cache {
            cached: cached.collect(),
            cache_gb: f64::INFINITY,
            complete: false,
        }
    }

    /// Sets the capacity, in GB. Until it is known, nothing is evicted.
    pub fn set_cache_gb(&mut self, cache_gb: f64) {
        self.cache_gb = cache_gb;
    }

    /// Returns the capacity in GB, infinite while it is unknown.
    pub fn cache_gb(&self) -> f64 {
        self.cache_gb
    }

    /// Returns the images presumed to be cached or being fetched, the most recently used last.
    pub fn contents(&self) -> impl Iterator<Item = &CachedImage> {
        self.cached.iter()
    }

    /// Returns whether an image is cached.
    pub fn cache_state(&self, image: &str) -> CacheState {
        match self.cached.iter().find(|cached| &*cached.image == image) {
            Some(cached) if cached.confirmed => CacheState::Certain,
            Some(_) => CacheState::Likely,
            None if self.complete => CacheState::Absent,
            None => CacheState::Unknown,
        }
    }

    /// Records that a task start with the image was sent, which makes it the most recently used
    /// unless the start is abandoned. Nothing is evicted until the fetch completes.
    pub fn on_start_sent(&mut self, image: &ImageName, gb: f64) {
        let confirmed = self.cache_state(image) == CacheState::Certain;
        self.touch(image, gb, confirmed);
    }

    /// Records that a task was observed to have the image, and evicts what no longer fits.
    pub fn on_image_seen(&mut self, image: &ImageName, gb: f64) {
        self.touch(image, gb, true);
        self.evict_excess();
    }

    /// Evicts what no longer fits, the least recently used first.
    pub fn evict_excess(&mut self) {
        // The most recently used image stays while it is in use, whatever its size.
        while self.cached.len() > 1 && self.cached.iter().map(|cached| cached.gb).sum::<f64>() > self.cache_gb
        {
            self.cached.pop_front();
        }
    }

    /// Records that a task fetches an image that was presumed to be cached. The assumed order of use
    /// is wrong, or the cache contains unknown images, so that all contents become uncertain.
    pub fn on_unexpected_miss(&mut self) {
        for cached in &mut self.cached {
            cached.confirmed = false;
        }
        self.complete = false;
    }

    /// Removes an image, for example because no task waits for its fetch any more.
    pub fn remove(&mut self, image: &str) {
        self.cached.retain(|cached| &*cached.image != image);
    }

    /// Returns the images that fetching `image` of `gb` GB would evict, the least recently used first.
    pub fn evicted_by(&self, image: &str, gb: f64) -> impl Iterator<Item = &CachedImage> {
        let others = || self.cached.iter().filter(move |cached| &*cached.image != image);
        let is_cached = self.cached.len() > others().count();
        let mut excess_gb = if is_cached {
            // It is counted already.
            0.0
        } else {
            others().map(|cached| cached.gb).sum::<f64>() + gb.max(0.0) - self.cache_gb
        };
        others().take_while(move |cached| {
            let is_evicted = excess_gb > 0.0;
            excess_gb -= cached.gb;
            is_evicted
        })
    }

    fn touch(&mut self, image: &ImageName, gb: f64, confirmed: bool) {
        self.remove(image);
        self.cached.push_back(CachedImage {
            image: image.clone(),
            gb: gb.max(0.0),
            confirmed,
        });
    }
}

#[cfg(test)]
mod tests;
