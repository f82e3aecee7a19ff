//! What reports show about the images that a machine holds and fetches.

use super::attempt::proves_image;
use super::{Attempt, Change, Machine};
use crate::constants::IMAGE_MISS_AFTER_MS;
use crate::model::Timestamp;
use crate::protocol::{TaskState, TaskStatus};
use indigopath_image_locality::{Cache, CacheState};
use std::sync::Arc;

/// A completed fetch of an image.
pub(super) struct CompletedFetch {
    pub(super) image: Arc<str>,
    pub(super) gb: f64,
    /// When the first task that waited for it was placed.
    pub(super) since: Timestamp,
}

impl Machine {
    /// Whether it presumably holds the image and is not still fetching it. A running task with the
    /// image is no proof: the least recently used image is evicted even so, and the next start
    /// fetches it again.
    pub fn has_image(&self, image: &Arc<str>) -> bool {
        if self.images.cache_state(image) < CacheState::Likely {
            return false;
        }
        let mut own = self
            .attempts
            .iter()
            .filter(|attempt| !attempt.exited() && attempt.image.as_ref() == Some(image))
            .peekable();
        own.peek().is_none() || own.any(|attempt| !attempt.is_fetching())
    }

    /// What a completed fetch shows about the machine's speed; `None` if it took no time.
    pub(super) fn on_fetch_completed(&mut self, fetch: &CompletedFetch, now: Timestamp) -> Option<Change> {
        let CompletedFetch { image, gb, since } = fetch;
        let since = *since;
        let before = std::mem::replace(&mut self.last_image_arrival_at, now);
        let took_ms = now.saturating_sub(since);
        if took_ms == 0 {
            return None;
        }
        let ended_overlap_ms = if before > since && before < now {
            before - since
        } else {
            0
        };
        let overlap_ms = self.ongoing_overlap_ms(image, since, now) + ended_overlap_ms;
        Some(Change::Fetched {
            gb: *gb,
            took_ms,
            others: overlap_ms as f64 / took_ms as f64,
        })
    }

    /// Sum of the times, in ms, for which fetches that are still in progress overlap with one since
    /// `since`.
    fn ongoing_overlap_ms(&self, image: &Arc<str>, since: Timestamp, now: Timestamp) -> Timestamp {
        let mut others: Vec<&Arc<str>> = Vec::new();
        let mut overlap_ms = 0;
        for attempt in self.attempts.iter().filter(|attempt| attempt.is_fetching()) {
            if let Some(other) = attempt.image.as_ref().filter(|other| *other != image)
                && !others.contains(&other)
            {
                others.push(other);
                overlap_ms += now.saturating_sub(attempt.planned_at.max(since));
            }
        }
        overlap_ms
    }

    /// A worker aborts a fetch when no task waits for it any more.
    pub(super) fn on_fetch_abandoned(&mut self, image: &Arc<str>) {
        let wanted = |attempt: &Attempt| !attempt.exited() && attempt.image.as_ref() == Some(image);
        if !self.attempts.iter().any(wanted) {
            self.images.remove(image);
        }
    }
}

impl Attempt {
    /// Updates the cache from the status of the attempt, before the status is applied. Returns
    /// whether its image has arrived since the last report.
    pub(super) fn observe_image(
        &mut self,
        reported: &TaskStatus,
        images: &mut Cache,
        now: Timestamp,
    ) -> bool {
        let Some(image) = &self.image else { return false };
        let has_image = match reported.state {
            TaskState::Fetching => {
                // The response to its start may report it as fetching even if the image is cached.
                if !self.needs_image_fetch && now >= self.planned_at + IMAGE_MISS_AFTER_MS {
                    self.needs_image_fetch = true;
                    images.on_unexpected_miss();
                }
                return false;
            }
            TaskState::Exited => proves_image(reported.cause),
            _ => true,
        };
        match self.reported_state {
            Some(TaskState::Fetching) if has_image => {
                images.on_image_seen(image, self.image_gb);
                return self.needs_image_fetch && !self.from_previous_leader;
            }
            // A task started by a previous leader may have had it for a long time.
            None if has_image && self.from_previous_leader => images.evict_excess(),
            None if has_image => images.on_image_seen(image, self.image_gb),
            _ => (),
        }
        false
    }
}
