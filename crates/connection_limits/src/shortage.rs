//! Counts of the connections affected by a shortage of sockets, and the events that report it to
//! operators.

use crate::constants::SHORTAGE_QUIET_MS;
use crate::{ConnectionClass, PerClass, Timestamp};

/// Connections that were refused or closed because sockets were short.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ShortageCounts {
    /// Connections that were not opened or not accepted.
    pub refused: PerClass<u64>,
    /// Connections that were closed with a response.
    pub closed_by_response: PerClass<u64>,
    /// Idle connections that were closed before the usual timeout.
    pub idle_closed: PerClass<u64>,
}

impl ShortageCounts {
    fn since(&self, before: &ShortageCounts) -> ShortageCounts {
        let difference =
            |now: PerClass<u64>, before: PerClass<u64>| PerClass::from_fn(|class| now[class] - before[class]);
        ShortageCounts {
            refused: difference(self.refused, before.refused),
            closed_by_response: difference(self.closed_by_response, before.closed_by_response),
            idle_closed: difference(self.idle_closed, before.idle_closed),
        }
    }

    /// Returns the number of refused connections of all classes.
    pub fn total_refused(&self) -> u64 {
        self.refused.sum()
    }
}

/// A change in a shortage to be reported to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShortageEvent {
    /// Sockets have become short: responses close their connections from now on.
    Short,
    /// Connections are being refused, the first of them of this class.
    Refusing(ConnectionClass),
    /// The shortage has ended.
    Ended {
        /// How long it lasted, in ms.
        lasted_ms: Timestamp,
        /// Connections refused and closed in that time.
        counts: ShortageCounts,
    },
}

/// A shortage that is not over yet.
#[derive(Debug, Clone, Copy)]
struct Episode {
    since: Timestamp,
    /// When sockets were last short.
    last_short_at: Timestamp,
    /// The counts at its start.
    counts_before: ShortageCounts,
    /// The class of the first connection that was refused.
    first_refused: Option<ConnectionClass>,
    reported: Reported,
}

/// The events of an episode that have been reported to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reported {
    Nothing,
    Short,
    Refusing,
}

/// Counts refusals and closures, and groups them into episodes.
#[derive(Debug, Default)]
pub(crate) struct ShortageTracker {
    counts: ShortageCounts,
    episode: Option<Episode>,
}

impl ShortageTracker {
    /// Records that sockets are short now, which starts or prolongs an episode.
    pub(crate) fn record_short(&mut self, now: Timestamp) {
        let counts_before = self.counts;
        let episode = self.episode.get_or_insert(Episode {
            since: now,
            last_short_at: now,
            counts_before,
            first_refused: None,
            reported: Reported::Nothing,
        });
        episode.last_short_at = now;
    }

    pub(crate) fn record_refused(&mut self, class: ConnectionClass, now: Timestamp) {
        self.record_short(now);
        self.counts.refused[class] += 1;
        if let Some(episode) = &mut self.episode {
            episode.first_refused.get_or_insert(class);
        }
    }

    pub(crate) fn record_response_close(&mut self, class: ConnectionClass, now: Timestamp) {
        self.record_short(now);
        self.counts.closed_by_response[class] += 1;
    }

    pub(crate) fn record_idle_close(&mut self, class: ConnectionClass, now: Timestamp) {
        self.record_short(now);
        self.counts.idle_closed[class] += 1;
    }

    pub(crate) fn counts(&self) -> ShortageCounts {
        self.counts
    }

    /// Returns the next event that has not been reported yet, if any.
    pub(crate) fn next_event(&mut self, now: Timestamp) -> Option<ShortageEvent> {
        let episode = self.episode.as_mut()?;
        if episode.reported == Reported::Nothing {
            episode.reported = Reported::Short;
            return Some(ShortageEvent::Short);
        }
        if let Some(class) = episode
            .first_refused
            .filter(|_| episode.reported == Reported::Short)
        {
            episode.reported = Reported::Refusing;
            return Some(ShortageEvent::Refusing(class));
        }
        if now < episode.last_short_at + SHORTAGE_QUIET_MS {
            return None;
        }
        let ended = ShortageEvent::Ended {
            lasted_ms: episode.last_short_at - episode.since,
            counts: self.counts.since(&episode.counts_before),
        };
        self.episode = None;
        Some(ended)
    }
}
