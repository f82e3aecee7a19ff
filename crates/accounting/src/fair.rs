//! A queue with a fair share for each team: requests of a team that floods the queue delay only each
//! other.

use crate::access::Team;
use crate::constants::{MAX_ITEM_COST, MAX_LANE_WEIGHT, QUANTUM};
use std::collections::{BTreeMap, VecDeque};

#[derive(Debug)]
struct QueuedItem<T> {
    cost: u64,
    item: T,
}

/// The items of one team.
#[derive(Debug)]
struct Lane<T> {
    items: VecDeque<QueuedItem<T>>,
    weight: u64,
    /// Cost that the lane may still consume in this turn; negative if its last item exceeded it.
    credit: i64,
}

/// The queue was full: the item was rejected, or another item was evicted in its favour.
#[derive(Debug, PartialEq, Eq)]
pub enum QueueFull<T> {
    /// The item was rejected, as no other team has more than its share of the queue.
    Rejected(T),
    /// The item was accepted, and the newest item of the team with the most items by weight was
    /// evicted.
    Evicted(Team, T),
}

/// A queue over the items of many teams, served by weighted deficit round robin. Unused shares go
/// to the other teams. The capacity is bounded and shared in the same proportions. A team that
/// starts to send gets its first turn ahead of teams that send continuously; these wait for at most
/// one such turn of every other team.
///
/// ```
/// use indigopath_accounting::{FairQueue, Team};
///
/// let mut queue = FairQueue::new(1_000);
/// let (flood, quiet) = (Team::named("flood"), Team::named("quiet"));
/// for item in 0..900 {
///     queue.push(&flood, 1, 1, item).unwrap();
/// }
/// queue.push(&quiet, 1, 1, 7_000).unwrap();
/// assert_eq!(queue.pop(), Some((flood, 0)));
/// assert_eq!(queue.pop(), Some((quiet, 7_000)));
/// ```
#[derive(Debug)]
pub struct FairQueue<T> {
    lanes: BTreeMap<Team, Lane<T>>,
    /// Teams that have just started to send, which are served first.
    new_teams: VecDeque<Team>,
    /// Teams that have had their first turn, in the order of their next turns.
    served_teams: VecDeque<Team>,
    len: usize,
    capacity: usize,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue with this maximum number of items.
    pub fn new(capacity: usize) -> FairQueue<T> {
        FairQueue {
            lanes: BTreeMap::new(),
            new_teams: VecDeque::new(),
            served_teams: VecDeque::new(),
            len: 0,
            capacity,
        }
    }

    /// The number of waiting items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no items are waiting.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The number of waiting items of a team.
    pub fn waiting_items(&self, team: &Team) -> usize {
        self.lanes.get(team).map_or(0, |lane| lane.items.len())
    }

    /// Adds an item with a cost in units of the shared resource.
    ///
    /// # Errors
    /// The queue is full: returns either the rejected item, or the one that was evicted in its
    /// favour.
    pub fn push(&mut self, team: &Team, weight: u64, cost: u64, item: T) -> Result<(), QueueFull<T>> {
        let weight = weight.clamp(1, MAX_LANE_WEIGHT);
        let mut evicted = None;
        if self.len >= self.capacity {
            let Some(longest) = self
                .longest_lane()
                .filter(|longest| self.is_over_share(longest, team, weight))
            else {
                return Err(QueueFull::Rejected(item));
            };
            evicted = self.evict_newest(longest);
        }
        let lane = self.lane_mut(team, weight);
        lane.weight = weight;
        lane.items.push_back(QueuedItem {
            cost: cost.clamp(1, MAX_ITEM_COST),
            item,
        });
        self.len += 1;
        match evicted {
            Some((team, item)) => Err(QueueFull::Evicted(team, item)),
            None => Ok(()),
        }
    }

    /// The team with the most waiting items by weight.
    fn longest_lane(&self) -> Option<Team> {
        self.lanes
            .iter()
            .filter(|(_, lane)| !lane.items.is_empty())
            .max_by(|(_, left), (_, right)| {
                // Compares length divided by weight, without a division.
                let left_share = left.items.len() as u64 * right.weight;
                let right_share = right.items.len() as u64 * left.weight;
                left_share.cmp(&right_share)
            })
            .map(|(team, _)| team.clone())
    }

    /// Whether the lane of `longest` has more items by weight than `team` would have with one more
    /// item.
    fn is_over_share(&self, longest: &Team, team: &Team, weight: u64) -> bool {
        let own_length = self.waiting_items(team) as u64 + 1;
        self.lanes
            .get(longest)
            .is_some_and(|lane| lane.items.len() as u64 * weight > own_length * lane.weight)
    }

    fn evict_newest(&mut self, team: Team) -> Option<(Team, T)> {
        let newest = self.lanes.get_mut(&team)?.items.pop_back()?;
        self.len -= 1;
        Some((team, newest.item))
    }

    /// The lane of a team. Creates a lane and marks the team as new if it has none.
    fn lane_mut(&mut self, team: &Team, weight: u64) -> &mut Lane<T> {
        if !self.lanes.contains_key(team) {
            self.new_teams.push_back(team.clone());
        }
        self.lanes.entry(team.clone()).or_insert_with(|| Lane {
            items: VecDeque::new(),
            weight,
            credit: (weight * QUANTUM) as i64,
        })
    }

    /// The number of items in the longest lane.
    pub fn longest_lane_length(&self) -> usize {
        self.lanes
            .values()
            .map(|lane| lane.items.len())
            .max()
            .unwrap_or(0)
    }

    /// Whether the next item belongs to a team that has just started to send. Capacity may be
    /// reserved for such items, as they are few and quickly served.
    pub fn next_is_new_team(&self) -> bool {
        let mut lanes = self.new_teams.iter().filter_map(|team| self.lanes.get(team));
        lanes.any(|lane| lane.credit > 0 && !lane.items.is_empty())
    }

    /// Removes and returns the next item.
    pub fn pop(&mut self) -> Option<(Team, T)> {
        if self.len == 0 {
            self.lanes.clear();
            self.new_teams.clear();
            self.served_teams.clear();
            return None;
        }
        loop {
            let is_new = !self.new_teams.is_empty();
            let list = if is_new {
                &mut self.new_teams
            } else {
                &mut self.served_teams
            };
            let team = list.front()?.clone();
            let Some(lane) = self.lanes.get_mut(&team) else {
                list.pop_front();
                continue;
            };
            if lane.credit <= 0 {
                lane.credit += (lane.weight * QUANTUM) as i64;
                list.pop_front();
                self.served_teams.push_back(team);
                continue;
            }
            let Some(next) = lane.items.pop_front() else {
                list.pop_front();
                if is_new {
                    // An empty lane is kept for one round. Otherwise the team could return as a new
                    // one immediately and always be served before all others.
                    self.served_teams.push_back(team);
                } else {
                    self.lanes.remove(&team);
                }
                continue;
            };
            lane.credit -= next.cost as i64;
            self.len -= 1;
            return Some((team, next.item));
        }
    }

    /// Removes and returns expired items, in no particular order between teams.
    pub fn take_expired(&mut self, mut expired: impl FnMut(&T) -> bool) -> Vec<(Team, T)> {
        let mut removed = Vec::new();
        for (team, lane) in &mut self.lanes {
            // Items are ordered by age, so checking stops at the first that has not expired.
            while lane.items.front().is_some_and(|queued| expired(&queued.item)) {
                removed.extend(lane.items.pop_front().map(|queued| (team.clone(), queued.item)));
            }
        }
        self.len -= removed.len();
        removed
    }
}

#[cfg(test)]
mod tests;
