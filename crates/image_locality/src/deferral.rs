//! Starts in a crowd: many replicas wait, and few machines are up.

use crate::Choice;

/// Whether a task had better wait, although there is room: its fetch would share the machine's
/// rate with others, and one after the other holds nobody up for longer than it waits itself.
/// What is there keeps its room meanwhile.
///
/// Where a rate is shared wholly, the second of two equal fetches is there as soon in either case,
/// and the first in half the time. A short fetch goes beside a long one unless many wait for that.
/// `weight`: what a second of others counts against one of the task's own.
pub fn waits_for_others(choice: &Choice<'_>, weight: f64) -> bool {
    if choice.under_way_s.is_some() {
        return false;
    }
    let left = |other: &crate::Fetching| other.left_s.max(0.0);
    let longest = choice.others.iter().map(left).fold(0.0, f64::max);
    let all: f64 = choice.others.iter().map(left).sum();
    // When the others are through, and what of that its own fetch would have taken anyway.
    let through_s = longest + choice.sharing * (all - longest);
    let beside = choice.others.iter().map(|other| left(other).min(choice.alone_s));
    let own_s = through_s - choice.sharing * beside.sum::<f64>();
    let held_up = choice
        .others
        .iter()
        .map(|other| other.waiting * left(other).min(choice.alone_s));
    let others_s = choice.sharing * held_up.sum::<f64>();
    let missing = 1.0 - choice.cache_state.chance();
    missing * others_s * weight > own_s + crate::constants::WAIT_MARGIN_S
}

#[cfg(test)]
mod tests;
