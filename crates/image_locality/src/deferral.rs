//! Deferral of fetches that would delay others, for when many replicas wait and few machines are up.

use crate::Candidate;

/// Whether a task should wait although the machine has capacity, because its fetch would share the
/// bandwidth with other fetches and delay them by more than the task gains. Cached images and other
/// tasks keep their capacity meanwhile.
///
/// If the bandwidth is shared completely, the second of two equal fetches completes at the same time
/// either way, and the first in half the time if the second waits. A short fetch runs concurrently
/// with a long one unless many replicas wait for the long one. `weight` is the value of a second of
/// the others' time relative to one of the task's own.
pub fn should_defer_fetch(candidate: &Candidate<'_>, weight: f64) -> bool {
    if candidate.own_fetch_remaining_s.is_some() {
        return false;
    }
    let remaining_s = |fetch: &crate::OngoingFetch| fetch.remaining_s.max(0.0);
    let longest_s = candidate
        .concurrent_fetches
        .iter()
        .map(remaining_s)
        .fold(0.0, f64::max);
    let total_s: f64 = candidate.concurrent_fetches.iter().map(remaining_s).sum();
    // When the other fetches complete, less the part by which they would slow down its own anyway.
    let others_done_s = longest_s + candidate.sharing * (total_s - longest_s);
    let overlaps_s = candidate
        .concurrent_fetches
        .iter()
        .map(|fetch| remaining_s(fetch).min(candidate.uncontended_fetch_s));
    let own_delay_s = others_done_s - candidate.sharing * overlaps_s.sum::<f64>();
    let delays = candidate
        .concurrent_fetches
        .iter()
        .map(|fetch| fetch.waiting_replicas * remaining_s(fetch).min(candidate.uncontended_fetch_s));
    let others_delay_s = candidate.sharing * delays.sum::<f64>();
    let miss_probability = 1.0 - candidate.cache_state.cached_probability();
    miss_probability * others_delay_s * weight > own_delay_s + crate::constants::DEFERRAL_MARGIN_S
}

#[cfg(test)]
mod tests;
