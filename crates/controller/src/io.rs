//! Interface between the deterministic core and the outside: replies to requests, calls to other
//! systems and frames to peers are recorded as effects. This module performs no I/O itself.

mod call;
mod effect;
mod starts_in_flight;

pub use call::{CallId, Destination, FencedDestination, Method, Outcome, PendingCalls, SendCondition};
pub use effect::{ContentType, Effect, RequestId};
pub use starts_in_flight::StartsInFlight;

use crate::allocations::StartLimits;
use crate::constants::{
    CLOUD_SHARE, CLOUD_TIMEOUT_MS, DIRECT_COMMAND_TIMEOUT_MS, FOLLOWERS_STATE_SHARE, LEADER_STATE_SHARE,
    LEADER_WRITE_SHARE, MAX_ERROR_CHARS, NEW_LEADER_WRITE_BURST, NODE_WARMUP_MS,
};
use crate::model::Timestamp;
use crate::peers::Frame;
use crate::protocol::{ErrorResponse, paths};
use crate::settings::Settings;
use crate::token_bucket::TokenBucket;
use indigopath_fencing::{Permit, Permits};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;
use std::collections::BTreeMap;

/// Time, randomness, rate budgets and effects of the command being handled.
#[derive(Debug)]
pub struct Io {
    /// Monotonic time.
    pub now: Timestamp,
    /// Wall-clock time in ms since 1970.
    pub wall_ms: u64,
    /// Random number generator, seeded by the caller.
    pub rng: SmallRng,
    /// Rate budget of calls to the state service.
    pub state_budget: TokenBucket,
    /// Rate budget of changes that the leader writes to the state service.
    pub write_budget: TokenBucket,
    /// Rate budget of calls to the cloud.
    pub cloud_budget: TokenBucket,
    /// Effects of the command so far, in order.
    pub effects: Vec<Effect>,
    /// Permits for guarded operations on other systems, which only a leader has.
    pub permits: Permits,
    /// Direct commands with starts that the host may not have sent yet.
    pub starts_in_flight: StartsInFlight,
    /// Requests rejected with `Retry-After`, by reason, since they were last logged.
    pub rejections: BTreeMap<String, u32>,
    /// End of this node's startup phase: see [`NODE_WARMUP_MS`].
    startup_until: Timestamp,
    state_rate: f64,
    follower_share: f64,
    next_call: u64,
}

impl Io {
    /// Creates an `Io` with full budgets and no effects.
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
            state_budget: TokenBucket::new(rate, rate, now),
            write_budget: TokenBucket::new(writes, writes, now),
            cloud_budget: TokenBucket::new(cloud, cloud.max(1.0), now),
            effects: Vec::new(),
            permits: Permits::default(),
            starts_in_flight: StartsInFlight::default(),
            rejections: BTreeMap::new(),
            startup_until: now + NODE_WARMUP_MS,
            state_rate: deployment.state.rps,
            follower_share,
            next_call: 1,
        }
    }

    /// Adjusts this node's share of the state service's rate when it becomes leader or steps down.
    pub fn set_leader(&mut self, is_leader: bool) {
        let share = if is_leader {
            LEADER_STATE_SHARE
        } else {
            self.follower_share
        };
        self.state_budget.set_rate(self.state_rate * share, self.now);
        if is_leader {
            self.write_budget.drain_to(NEW_LEADER_WRITE_BURST, self.now);
        }
    }

    /// Sends a frame to all peers.
    pub fn broadcast(&mut self, peers: usize, frame: &Frame) {
        self.broadcast_bytes(peers, &frame.encode());
    }

    /// Sends encoded frames to all peers.
    pub fn broadcast_bytes(&mut self, peers: usize, bytes: &[u8]) {
        for peer in 0..peers {
            let bytes = bytes.to_vec();
            self.effects.push(Effect::Frame { peer, bytes });
        }
    }

    /// Calls a system other than the cloud; for the cloud see [`Io::cloud_call`].
    pub fn call(
        &mut self,
        to: FencedDestination,
        method: Method,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
    ) -> CallId {
        self.send(
            to.into(),
            method,
            path,
            body,
            timeout_ms,
            SendCondition::Unconditional,
        )
    }

    /// Calls the cloud to rent, return or list machines. The cloud compares no fencing token, so each
    /// such call requires a permit.
    pub fn cloud_call(&mut self, permit: Permit, method: Method, path: String, body: Vec<u8>) -> CallId {
        let to = Destination::Cloud;
        let condition = SendCondition::Permitted(permit);
        self.send(to, method, path, body, CLOUD_TIMEOUT_MS, condition)
    }

    /// Sends direct commands to the worker at this address. Starts among them are sent before a certain time or not at
    /// all.
    pub fn direct_command_call(
        &mut self,
        addr: String,
        body: Vec<u8>,
        starts: Option<StartLimits>,
    ) -> CallId {
        let path = paths::DIRECT_COMMANDS.to_owned();
        let to = Destination::Worker(addr);
        let condition = starts.as_ref().map_or(SendCondition::Unconditional, |starts| {
            SendCondition::Before(starts.send_before)
        });
        let call = self.send(to, Method::Post, path, body, DIRECT_COMMAND_TIMEOUT_MS, condition);
        if let Some(starts) = starts {
            self.starts_in_flight
                .insert(call, starts.jobs, starts.send_before);
        }
        call
    }

    /// Reads the machine types from the cloud. Any node may call this, because it changes nothing.
    pub fn machine_types_call(&mut self) -> CallId {
        let path = paths::MACHINE_TYPES.to_owned();
        self.send(
            Destination::Cloud,
            Method::Get,
            path,
            Vec::new(),
            CLOUD_TIMEOUT_MS,
            SendCondition::Unconditional,
        )
    }

    fn send(
        &mut self,
        to: Destination,
        method: Method,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
        condition: SendCondition,
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
            condition,
        });
        call
    }

    /// Calls the state service and charges its budget.
    pub fn state_call(&mut self, method: Method, path: String, body: Vec<u8>, timeout_ms: u64) -> CallId {
        self.state_budget.force_take(1.0, self.now);
        self.call(FencedDestination::State, method, path, body, timeout_ms)
    }

    fn push_reply(
        &mut self,
        request: RequestId,
        status: u16,
        retry_after_s: Option<u64>,
        content: ContentType,
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

    /// Answers with JSON unless the reply cannot be sent before `until`, after which other nodes may
    /// have given a newer answer.
    pub fn reply_until(&mut self, request: RequestId, status: u16, body: &impl Serialize, until: Timestamp) {
        self.effects.push(Effect::Reply {
            request,
            status,
            retry_after_s: None,
            content: ContentType::Json,
            body: json(body),
            until: Some(until),
        });
    }

    /// Answers a request with a serialized body.
    pub fn reply_bytes(&mut self, request: RequestId, status: u16, content: ContentType, body: Vec<u8>) {
        self.push_reply(request, status, None, content, body);
    }

    /// Answers a request with JSON.
    pub fn reply(&mut self, request: RequestId, status: u16, body: &impl Serialize) {
        self.reply_bytes(request, status, ContentType::Json, json(body));
    }

    /// Rejects a request with status 503 and `Retry-After`. During startup, every second request is told
    /// to wait 1 s longer, so that the retries do not all arrive at once.
    pub fn reply_retry_later(&mut self, request: RequestId, retry_after_s: u64, problem: &str) {
        match self.rejections.get_mut(problem) {
            Some(count) => *count += 1,
            None => {
                self.rejections.insert(problem.to_owned(), 1);
            }
        }
        let extra_delay_s = if self.now < self.startup_until {
            request.0 % 2
        } else {
            0
        };
        let body = json(&ErrorResponse { error: problem });
        self.push_reply(
            request,
            503,
            Some(retry_after_s + extra_delay_s),
            ContentType::Json,
            body,
        );
    }

    /// Rejects a request. The problem may quote the request, so it is truncated to
    /// [`MAX_ERROR_CHARS`] to stay within the length of a line.
    pub fn reply_error(&mut self, request: RequestId, status: u16, problem: &str) {
        let problem = truncated(problem);
        self.reply(request, status, &ErrorResponse { error: &problem });
    }

    /// Rejects a request as [`Io::reply_error`] does, unless the reply cannot be sent before `until`, after which
    /// other nodes may have given a newer answer.
    pub fn reply_error_until(&mut self, request: RequestId, status: u16, problem: &str, until: Timestamp) {
        let problem = truncated(problem);
        self.reply_until(request, status, &ErrorResponse { error: &problem }, until);
    }
}

fn truncated(problem: &str) -> String {
    problem.chars().take(MAX_ERROR_CHARS).collect()
}

/// Serializes plain data as JSON. This fails only for maps with non-string keys, of which there are none.
pub fn json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
