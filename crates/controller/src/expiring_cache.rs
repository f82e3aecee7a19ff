//! A bounded cache of values by job, for recently ended jobs; the oldest are evicted first.

use crate::constants::ENDED_JOB_CACHE_SIZE;
use crate::model::JobId;
use std::borrow::Borrow;
use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// Values by job, at most [`ENDED_JOB_CACHE_SIZE`] of them.
#[derive(Debug)]
pub struct ExpiringCache<V> {
    values: HashMap<JobId, V>,
    order: VecDeque<JobId>,
}

impl<V> Default for ExpiringCache<V> {
    fn default() -> Self {
        ExpiringCache {
            values: HashMap::new(),
            order: VecDeque::new(),
        }
    }
}

impl<V> ExpiringCache<V> {
    /// Adds or replaces a job's value. A known job keeps its position in the eviction order.
    pub fn insert(&mut self, job: JobId, value: V) {
        if self.values.insert(job.clone(), value).is_none() {
            self.order.push_back(job);
        }
        while self.order.len() > ENDED_JOB_CACHE_SIZE {
            if let Some(oldest) = self.order.pop_front() {
                self.values.remove(&oldest);
            }
        }
    }

    /// The job's value, unless it was evicted.
    pub fn get<Q: Hash + Eq + ?Sized>(&self, job: &Q) -> Option<&V>
    where
        JobId: Borrow<Q>,
    {
        self.values.get(job)
    }

    /// Whether the job's value is cached.
    pub fn contains_key<Q: Hash + Eq + ?Sized>(&self, job: &Q) -> bool
    where
        JobId: Borrow<Q>,
    {
        self.values.contains_key(job)
    }

    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.values.len()
    }
}
