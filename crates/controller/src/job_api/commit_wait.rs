//! Commit wait: which ends of jobs users may see. A node that learns that a job has ended notifies its
//! peers, and answers no user with it while one of them can still answer "live". That is so until each
//! peer has acknowledged the notice, and gives no older reading of the job any more, or until
//! [`COMMIT_WAIT_MS`] have passed, after which whatever was read before the end was committed is too old
//! to be given (see `docs/design/commit-wait.md`).

use crate::constants::{COMMIT_WAIT_MS, MAX_COMMIT_WAITS};
use crate::model::{JobId, Timestamp};
use std::collections::BTreeMap;

/// When users may see an end that has just been learned.
#[derive(Debug, PartialEq, Eq)]
pub enum Visibility {
    /// No peer can answer with anything older.
    Immediate,
    /// Each peer is to be sent its nonce, and to acknowledge it.
    AwaitingPeers(Vec<u64>),
    /// Too many ends wait: this one is not kept, and no user may see it.
    Overloaded,
}

/// An end that users may not see yet.
#[derive(Debug)]
struct OpenWait<T> {
    /// From then on users may see it although peers are silent.
    until: Timestamp,
    /// Nonces that peers have not acknowledged.
    unacknowledged: Vec<u64>,
    waiting: Vec<T>,
}

/// Ends that this node knows and users may not see yet, with the requests that wait for them.
#[derive(Debug)]
pub struct CommitWait<T> {
    peers: usize,
    next_nonce: u64,
    open: BTreeMap<JobId, OpenWait<T>>,
    waiting: usize,
}

impl<T> CommitWait<T> {
    /// `first_nonce` is of this process alone, so that no acknowledgement for a former process of this
    /// node counts for this one.
    pub fn new(peers: usize, first_nonce: u64) -> CommitWait<T> {
        CommitWait {
            peers,
            next_nonce: first_nonce,
            open: BTreeMap::new(),
            waiting: 0,
        }
    }

    /// This node knows since `known_at`, by its own clock, that the job's end is committed.
    pub fn begin(&mut self, job: &JobId, known_at: Timestamp, now: Timestamp) -> Visibility {
        let until = known_at + COMMIT_WAIT_MS;
        if self.open.contains_key(job) {
            return Visibility::AwaitingPeers(Vec::new());
        }
        if self.peers == 0 || now >= until {
            return Visibility::Immediate;
        }
        if self.open.len() >= MAX_COMMIT_WAITS {
            return Visibility::Overloaded;
        }
        // Each peer gets its own nonce, which tells the peers apart as well.
        let nonce = |at: usize| self.next_nonce.wrapping_add(at as u64);
        let nonces: Vec<u64> = (0..self.peers).map(nonce).collect();
        self.next_nonce = self.next_nonce.wrapping_add(self.peers as u64);
        let open = OpenWait {
            until,
            unacknowledged: nonces.clone(),
            waiting: Vec::new(),
        };
        self.open.insert(job.clone(), open);
        Visibility::AwaitingPeers(nonces)
    }

    /// Whether users may not see the end of this job yet.
    pub fn is_open(&self, job: &str) -> bool {
        self.open.contains_key(job)
    }

    /// Keeps a request until users may see the end of its job. It is given back if the end is not held
    /// back, or if as many requests as `most` wait already.
    pub fn wait(&mut self, job: &JobId, what: T, most: usize) -> Result<(), T> {
        match self.open.get_mut(job) {
            Some(open) if self.waiting < most => {
                open.waiting.push(what);
                self.waiting += 1;
                Ok(())
            }
            _ => Err(what),
        }
    }

    /// A peer acknowledges a nonce. The requests that waited, if it was the last one.
    pub fn acknowledged(&mut self, job: &JobId, nonce: u64) -> Option<Vec<T>> {
        let open = self.open.get_mut(job)?;
        open.unacknowledged
            .retain(|unacknowledged| *unacknowledged != nonce);
        if !open.unacknowledged.is_empty() {
            return None;
        }
        self.close(job)
    }

    /// Ends that users may see by now although peers are silent, with the requests that waited.
    pub fn due(&mut self, now: Timestamp) -> Vec<(JobId, Vec<T>)> {
        let due = self.open.iter().filter(|(_, open)| now >= open.until);
        let due: Vec<JobId> = due.map(|(job, _)| job.clone()).collect();
        let closed = due.into_iter().filter_map(|job| {
            let waiting = self.close(&job)?;
            Some((job, waiting))
        });
        closed.collect()
    }

    fn close(&mut self, job: &JobId) -> Option<Vec<T>> {
        let waiting = self.open.remove(job)?.waiting;
        self.waiting -= waiting.len();
        Some(waiting)
    }

    /// Takes out the requests that cannot wait any longer.
    pub fn take_if(&mut self, late: impl Fn(&T) -> bool) -> Vec<T> {
        let mut taken = Vec::new();
        for open in self.open.values_mut() {
            taken.extend(open.waiting.extract_if(.., |what| late(what)));
        }
        self.waiting -= taken.len();
        taken
    }
}

#[cfg(test)]
mod tests;
