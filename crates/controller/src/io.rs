//! What the core asks of the outside: answers to requests, calls to other
//! systems, frames to peers. Nothing here does any input or output.

mod call;
mod effect;

pub use call::{CallId, Calls, Destination, FencedDestination, Method, Outcome};
pub use effect::{Content, Effect, RequestId};

use crate::constants::{
    CLOUD_SHARE, CLOUD_TIMEOUT_MS, FOLLOWERS_STATE_SHARE, LEADER_STATE_SHARE, LEADER_WRITE_SHARE,
    MAX_ERROR_CHARS, NEW_LEADER_WRITE_BURST, NODE_WARMUP_MS,
};
use crate::model::Timestamp;
use crate::protocol::{ErrorResponse, paths};
use crate::settings::Settings;
use crate::token_bucket::TokenBucket;
use indigopath_fencing::{Permit, Permits};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;
use std::collections::BTreeMap;

/// Time, randomness, budgets and effects of the command being handled.
#[derive(Debug)]
pub struct Io {
    /// Steady time.
    pub now: Timestamp,
    /// Time of day in ms since 1970.
    pub wall_ms: u64,
    /// Randomness, from a seed that is an input.
    pub rng: SmallRng,
    /// Budget of calls to the state service.
    pub state: TokenBucket,
    /// Budget of changes that the leader writes to the state service.
    pub writes: TokenBucket,
    /// Budget of calls to the cloud.
    pub cloud: TokenBucket,
    /// Effects of the command so far, in order.
    pub effects: Vec<Effect>,
    /// Permission to act on outside systems, which only a leader has.
    pub permits: Permits,
    /// Requests told to come back later, by the reason, since it was last taken.
    pub refusals: BTreeMap<String, u32>,
    /// Until when this node is new: see [`NODE_WARMUP_MS`].
    new_until: Timestamp,
    state_rate: f64,
    follower_share: f64,
    next_call: u64,
}

impl Io {
    /// Full budgets and no effects yet.
    pub fn new(settings: &Settings, seed: u64, now: Timestamp, wall_ms: u64) -> Io {
        let deployment = &settings.deployment;
        let follower_share = FOLLOWERS_STATE_SHARE / settings.peers.len().max(1) as f64;
        let rate = deployment.state.rps * follower_share;
        let writes = deployment.state.write_rps * LEADER_WRITE_SHARE;
        let cloud = deployment.cloud.rps * CLOUD_SHARE;
        Io {
            now,
            wall_ms,
            rng: SmallRng::seed_from_u64(seed),
            state: TokenBucket::new(rate, rate, now),
            writes: TokenBucket::new(writes, writes, now),
            cloud: TokenBucket::new(cloud, cloud.max(1.0), now),
            effects: Vec::new(),
            permits: Permits::default(),
            refusals: BTreeMap::new(),
            new_until: now + NODE_WARMUP_MS,
            state_rate: deployment.state.rps,
            follower_share,
            next_call: 1,
        }
    }

    /// This node leads now, or leads no longer: its share of the state service changes.
    pub fn set_leading(&mut self, leading: bool) {
        let share = if leading {
            LEADER_STATE_SHARE
        } else {
            self.follower_share
        };
        self.state.set_rate(self.state_rate * share, self.now);
        if leading {
            self.writes.drain_to(NEW_LEADER_WRITE_BURST, self.now);
        }
    }

    /// A call to anything but the cloud: see [`Io::cloud_call`].
    pub fn call(
        &mut self,
        to: FencedDestination,
        method: Method,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
    ) -> CallId {
        self.send(to.into(), method, path, body, timeout_ms, None)
    }

    /// A call that rents, returns or lists: the cloud compares no token, so there is none without a
    /// permit.
    pub fn cloud_call(&mut self, permit: Permit, method: Method, path: String, body: Vec<u8>) -> CallId {
        let to = Destination::Cloud;
        self.send(to, method, path, body, CLOUD_TIMEOUT_MS, Some(permit))
    }

    /// Asks the cloud for machine types, which changes nothing, and any node may.
    pub fn types_call(&mut self) -> CallId {
        let path = paths::FLAVORS.to_owned();
        self.send(
            Destination::Cloud,
            Method::Get,
            path,
            Vec::new(),
            CLOUD_TIMEOUT_MS,
            None,
        )
    }

    fn send(
        &mut self,
        to: Destination,
        method: Method,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
        permit: Option<Permit>,
    ) -> CallId {
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.effects.push(Effect::Call {
            call,
            to,
            method,
            path,
            body,
            timeout_ms,
            permit,
        });
        call
    }

    /// A call to the state service, charged to its budget.
    pub fn state_call(&mut self, method: Method, path: String, body: Vec<u8>, timeout_ms: u64) -> CallId {
        self.state.force(1.0, self.now);
        self.call(FencedDestination::State, method, path, body, timeout_ms)
    }

    fn answer(
        &mut self,
        request: RequestId,
        status: u16,
        retry_after_s: Option<u64>,
        content: Content,
        body: Vec<u8>,
    ) {
        self.effects.push(Effect::Reply {
            request,
            status,
            retry_after_s,
            content,
            body,
            until: None,
        });
    }

    /// An answer that must not be given once others may have given a newer one.
    pub fn reply_until(&mut self, request: RequestId, status: u16, body: &impl Serialize, until: Timestamp) {
        self.effects.push(Effect::Reply {
            request,
            status,
            retry_after_s: None,
            content: Content::Json,
            body: json(body),
            until: Some(until),
        });
    }

    /// Answers a request with a body that is serialised already.
    pub fn reply_bytes(&mut self, request: RequestId, status: u16, content: Content, body: Vec<u8>) {
        self.answer(request, status, None, content, body);
    }

    /// Answers a request with JSON.
    pub fn reply(&mut self, request: RequestId, status: u16, body: &impl Serialize) {
        self.reply_bytes(request, status, Content::Json, json(body));
    }

    /// Refuses a request for now. While this node is new, every other request waits a second longer,
    /// so that they do not all come back at once.
    pub fn reply_later(&mut self, request: RequestId, retry_after_s: u64, problem: &str) {
        match self.refusals.get_mut(problem) {
            Some(count) => *count += 1,
            None => {
                self.refusals.insert(problem.to_owned(), 1);
            }
        }
        let later_s = if self.now < self.new_until {
            request.0 % 2
        } else {
            0
        };
        let body = json(&ErrorResponse { error: problem });
        self.answer(request, 503, Some(retry_after_s + later_s), Content::Json, body);
    }

    /// Refuses a request. The problem may quote what was sent: no more of it goes back than fits a
    /// line.
    pub fn reply_error(&mut self, request: RequestId, status: u16, problem: &str) {
        let problem: String = problem.chars().take(MAX_ERROR_CHARS).collect();
        self.reply(request, status, &ErrorResponse { error: &problem });
    }
}

/// Plain data as JSON. It fails only on non-string map keys, which none has.
pub fn json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
