//! Commit wait: decides when users may see the end of a job. A node that learns that a job has ended
//! notifies its peers and does not report the end while a peer may still answer "live": until every peer
//! has acknowledged the notice, and so returns no older reading of the job and starts none of its tasks, or until
//! [`COMMIT_WAIT_MS`] have passed, after which any reading made before the end was committed is too old to be used (see
//! `docs/design/commit-wait.md`).

use crate::constants::{COMMIT_WAIT_MS, MAX_COMMIT_WAITS};
use crate::model::{JobId, Timestamp};
use std::collections::BTreeMap;

/// When users may see an end that was just learned.
#[derive(Debug, PartialEq, Eq)]
pub enum Visibility {
    /// Immediately: no peer can answer with an older state.
    Immediate,
    /// Once these nonces have been acknowledged.
    Awaiting(Nonces),
    /// Too many ends are waiting: this one is not recorded and must not be reported.
    Overloaded,
}

/// The nonces of one commit wait. They tell its participants apart.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Nonces {
    /// One for each peer.
    pub peers: Vec<u64>,
    /// One for this node, if it takes part.
    pub own: Option<u64>,
}

/// An end that users may not see yet.
#[derive(Debug)]
struct OpenWait<T> {
    /// When users may see it even if peers have not acknowledged it.
    until: Timestamp,
    /// Nonces that peers have not acknowledged yet.
    unacknowledged: Vec<u64>,
    requests: Vec<T>,
}

/// Ends that this node knows but users may not see yet, with the requests that wait for them.
#[derive(Debug)]
pub struct CommitWait<T> {
    peers: usize,
    next_nonce: u64,
    open: BTreeMap<JobId, OpenWait<T>>,
    /// Number of waiting requests of all ends.
    waiting: usize,
}

impl<T> CommitWait<T> {
    /// `first_nonce` must be unique to this process, so that acknowledgements for an earlier process of
    /// this node do not count.
    pub fn new(peers: usize, first_nonce: u64) -> CommitWait<T> {
        CommitWait {
            peers,
            next_nonce: first_nonce,
            open: BTreeMap::new(),
            waiting: 0,
        }
    }

    /// Starts the wait for a job's end, known to be committed since `known_at` on this node's clock. With `awaits_own`
    /// it also waits for an acknowledgement of this node itself.
    pub fn begin(
        &mut self,
        job: &JobId,
        known_at: Timestamp,
        awaits_own: bool,
        now: Timestamp,
    ) -> Visibility {
        let until = known_at + COMMIT_WAIT_MS;
        if self.open.contains_key(job) {
            return Visibility::Awaiting(Nonces::default());
        }
        if self.peers == 0 && !awaits_own || now >= until {
            return Visibility::Immediate;
        }
        if self.open.len() >= MAX_COMMIT_WAITS {
            return Visibility::Overloaded;
        }
        let nonces = Nonces {
            peers: (0..self.peers).map(|_| self.take_nonce()).collect(),
            own: awaits_own.then(|| self.take_nonce()),
        };
        let open = OpenWait {
            until,
            unacknowledged: nonces.peers.iter().copied().chain(nonces.own).collect(),
            requests: Vec::new(),
        };
        self.open.insert(job.clone(), open);
        Visibility::Awaiting(nonces)
    }

    fn take_nonce(&mut self) -> u64 {
        let nonce = self.next_nonce;
        self.next_nonce = nonce.wrapping_add(1);
        nonce
    }

    /// Whether the end of this job is not visible to users yet.
    pub fn is_open(&self, job: &str) -> bool {
        self.open.contains_key(job)
    }

    /// Queues a request until users may see the end of its job. Returns the request if no wait is open for
    /// the job, or if `max_waiting` requests wait already.
    pub fn wait(&mut self, job: &JobId, request: T, max_waiting: usize) -> Result<(), T> {
        match self.open.get_mut(job) {
            Some(open) if self.waiting < max_waiting => {
                open.requests.push(request);
                self.waiting += 1;
                Ok(())
            }
            _ => Err(request),
        }
    }

    /// Records a peer's acknowledgement. Returns the waiting requests if it was the last one.
    pub fn acknowledged(&mut self, job: &JobId, nonce: u64) -> Option<Vec<T>> {
        let open = self.open.get_mut(job)?;
        open.unacknowledged
            .retain(|unacknowledged| *unacknowledged != nonce);
        if !open.unacknowledged.is_empty() {
            return None;
        }
        self.close(job)
    }

    /// Closes the waits whose time has passed, and returns the jobs with their waiting requests.
    pub fn due(&mut self, now: Timestamp) -> Vec<(JobId, Vec<T>)> {
        let due = self.open.iter().filter(|(_, open)| now >= open.until);
        let due: Vec<JobId> = due.map(|(job, _)| job.clone()).collect();
        let closed = due.into_iter().filter_map(|job| {
            let requests = self.close(&job)?;
            Some((job, requests))
        });
        closed.collect()
    }

    fn close(&mut self, job: &JobId) -> Option<Vec<T>> {
        let requests = self.open.remove(job)?.requests;
        self.waiting -= requests.len();
        Some(requests)
    }

    /// Removes and returns the requests for which the predicate holds.
    pub fn take_if(&mut self, predicate: impl Fn(&T) -> bool) -> Vec<T> {
        let mut taken = Vec::new();
        for open in self.open.values_mut() {
            taken.extend(open.requests.extract_if(.., |request| predicate(request)));
        }
        self.waiting -= taken.len();
        taken
    }
}

#[cfg(test)]
mod tests;
