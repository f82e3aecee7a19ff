//! The event loop: drives the sockets and timers around the controller node. A single thread owns all
//! state; input from sockets is queued as commands, which the node handles in batches.

use crate::http;
use indigopath_connection_limits::{
    ConnectionClass, ConnectionLimiter, ConnectionSlot, Limits, NoCapacity, PerClass, ShortageEvent,
};
use indigopath_controller::constants::{MAX_CLUSTER_OPERATIONS, MAX_PEER_BACKLOG_BYTES, RETRY_AFTER_S};
use indigopath_controller::io::{
    CallId, ContentType, Destination, Effect, Outcome, RequestId, SendCondition,
};
use indigopath_controller::node::{Command, Node};
use indigopath_controller::peers::{Frame, MAX_FRAME_BYTES};
use indigopath_controller::protocol::paths;
use indigopath_controller::settings::Settings;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use slab::Slab;
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longest wait for events, in ms, which is the resolution of the node's timers.
const MAX_POLL_WAIT_MS: u64 = 20;

/// Events read from the operating system in one poll.
const EVENT_CAPACITY: usize = 256;

/// How long a client may take to send a complete request, in ms.
const REQUEST_TIMEOUT_MS: u64 = 10_000;

/// How long a client may keep an idle connection, in ms, or [`IDLE_TIMEOUT_REPORT_INTERVALS`] if that
/// is longer. Users poll every 5 s and workers report every few seconds, so a longer idle connection
/// is abandoned: machines that disappear often don't close theirs, and with thousands of machines such
/// connections would exhaust the sockets.
const IDLE_TIMEOUT_MS: u64 = 30_000;
/// See [`IDLE_TIMEOUT_MS`].
const IDLE_TIMEOUT_REPORT_INTERVALS: f64 = 4.0;

/// How long an idle connection to another system, or one from a peer, is kept, in ms.
const POOL_IDLE_TIMEOUT_MS: u64 = 20_000;

/// Interval between searches for connections that have timed out, in ms.
const SWEEP_INTERVAL_MS: u64 = 100;

/// Delay before reconnecting to a peer, in ms.
const PEER_RECONNECT_MS: u64 = 500;

/// Maximum number of idle connections to workers that are kept for reuse.
const MAX_POOLED_WORKER_CONNECTIONS: usize = 100;

/// Bytes read from a socket in one call.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Longest wait for events while clients in the listen queue wait for a slot, in ms: the responses of
/// one iteration free slots.
const PENDING_ACCEPT_POLL_WAIT_MS: u64 = 2;

const CLIENT_LISTENER: Token = Token(0);
const PEER_LISTENER: Token = Token(1);
const FIRST_CONNECTION_TOKEN: usize = 2;

/// What a connection is for.
enum Role {
    /// A client sends requests to this node.
    Client {
        pending_request: Option<RequestId>,
        keep_alive: bool,
        close_after_write: bool,
    },
    /// This node calls another system.
    Call {
        to: Destination,
        call: Option<CallId>,
        deadline: u64,
        sent: bool,
        /// Checked again whenever bytes of the call are sent.
        condition: SendCondition,
    },
    /// A peer sends frames to this node.
    FromPeer,
    /// This node sends frames to a peer.
    ToPeer { peer: usize },
}

struct Connection {
    stream: TcpStream,
    role: Role,
    /// Its slot among the process's connections.
    slot: ConnectionSlot,
    connected: bool,
    input: Vec<u8>,
    output: Vec<u8>,
    /// Time from which the rest of the output to a client is stale and must not be sent.
    output_until: Option<u64>,
    /// When it entered its current state.
    state_since: u64,
    interest: Interest,
}

impl Connection {
    /// Whether its output must not be sent any more. Minutes may have passed since the node decided: in a queue, in a
    /// slow connection attempt, or while the process was suspended. Another node may hold the lease by now, or have
    /// reported that a job has ended.
    fn is_output_stale(&self, now: u64) -> bool {
        match &self.role {
            Role::Call { condition, .. } => !condition.holds(now),
            _ => self.output_until.is_some_and(|until| now >= until),
        }
    }
}

/// Whether a connection stays open after an event.
enum Disposition {
    Keep,
    Close,
}

pub struct EventLoop {
    poll: Poll,
    client_listener: TcpListener,
    peer_listener: TcpListener,
    connections: Slab<Connection>,
    limiter: ConnectionLimiter,
    /// Whether connections may wait in the listen queues of the client and peer listeners.
    pending_accepts: [bool; 2],
    /// Number of idle connections to workers.
    pooled_worker_connections: usize,
    requests: HashMap<RequestId, usize>,
    next_request: u64,
    idle_pool: HashMap<Destination, Vec<usize>>,
    state_addr: SocketAddrV4,
    cloud_addr: SocketAddrV4,
    peers: Vec<Peer>,
    commands: Vec<Command>,
    /// Whether submit files are accepted.
    accepts_submit_files: bool,
    node: Node,
    started_at: Instant,
    swept_at: u64,
}

struct Peer {
    addr: SocketAddrV4,
    connection: Option<usize>,
    retry_at: u64,
}

impl EventLoop {
    pub fn new(settings: Settings) -> io::Result<EventLoop> {
        let poll = Poll::new()?;
        let mut client_listener = TcpListener::bind(SocketAddr::V4(settings.listen))?;
        let mut peer_listener = TcpListener::bind(SocketAddr::V4(settings.peer_listen))?;
        poll.registry()
            .register(&mut client_listener, CLIENT_LISTENER, Interest::READABLE)?;
        poll.registry()
            .register(&mut peer_listener, PEER_LISTENER, Interest::READABLE)?;
        let started_at = Instant::now();
        let peers = settings
            .peers
            .iter()
            .map(|peer| Peer {
                addr: peer.addr,
                connection: None,
                retry_at: 0,
            })
            .collect();
        let report_ms = settings.deployment.workers.report_s * 1_000.0;
        let limits = Limits {
            sockets: settings.deployment.limits.max_connections,
            peers: settings.peers.len(),
            idle_ms: IDLE_TIMEOUT_MS.max((report_ms * IDLE_TIMEOUT_REPORT_INTERVALS) as u64),
            report_ms: report_ms as u64,
        };
        Ok(EventLoop {
            poll,
            client_listener,
            peer_listener,
            connections: Slab::new(),
            limiter: ConnectionLimiter::new(&limits),
            pending_accepts: [false; 2],
            pooled_worker_connections: 0,
            requests: HashMap::new(),
            next_request: 1,
            idle_pool: HashMap::new(),
            state_addr: settings.services.state,
            cloud_addr: settings.services.cloud,
            peers,
            commands: Vec::new(),
            accepts_submit_files: settings.operator.condor.is_some(),
            node: Node::new(settings, rand::random(), 0, wall_ms()),
            started_at,
            swept_at: 0,
        })
    }

    fn now(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub fn run(mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        loop {
            self.run_iteration();
            let has_pending_accepts = self.pending_accepts.contains(&true);
            let poll_wait_ms = if has_pending_accepts {
                PENDING_ACCEPT_POLL_WAIT_MS
            } else {
                MAX_POLL_WAIT_MS
            };
            match self
                .poll
                .poll(&mut events, Some(Duration::from_millis(poll_wait_ms)))
            {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                other => other?,
            }
            for event in events.iter() {
                match event.token() {
                    CLIENT_LISTENER => self.pending_accepts[0] = true,
                    PEER_LISTENER => self.pending_accepts[1] = true,
                    Token(token) => self.on_ready(
                        token - FIRST_CONNECTION_TOKEN,
                        event.is_readable(),
                        event.is_writable(),
                    ),
                }
            }
            // Accepts last, since the events above may have closed connections. The poll is edge-triggered:
            // it reports a listen queue only when it grows.
            if self.pending_accepts[1] {
                self.pending_accepts[1] = self.accept(false);
            }
            if self.pending_accepts[0] {
                self.pending_accepts[0] = self.accept(true);
            }
        }
    }

    /// Runs one iteration: handles the queued commands and due work, and executes their effects.
    fn run_iteration(&mut self) {
        let now = self.now();
        self.connect_peers(now);
        if now >= self.swept_at + SWEEP_INTERVAL_MS {
            self.swept_at = now;
            self.sweep(now);
        }
        self.node.set_time(now, wall_ms());
        self.node
            .set_connection_stats(self.limiter.open_counts(), self.limiter.shortage_counts());
        if let Some(event) = self.limiter.next_event(now) {
            log_shortage(event, &self.limiter);
        }
        // Effects may queue further commands, such as the failure of a call that cannot be sent.
        loop {
            for command in std::mem::take(&mut self.commands) {
                self.node.handle(command);
            }
            self.node.run_due_work();
            crate::LEADER_TOKEN.store(self.node.token().unwrap_or(0), Ordering::Relaxed);
            for effect in self.node.take_effects() {
                self.execute(effect, now);
            }
            if self.commands.is_empty() {
                return;
            }
        }
    }

    fn execute(&mut self, effect: Effect, now: u64) {
        match effect {
            Effect::Reply {
                request,
                mut status,
                mut retry_after_s,
                content,
                mut body,
                until,
            } => {
                // The process may have been suspended since the node decided.
                if until.is_some_and(|until| self.now() >= until) {
                    (status, retry_after_s, body) = (503, Some(RETRY_AFTER_S), b"{}".to_vec());
                }
                let Some(key) = self.requests.remove(&request) else {
                    return;
                };
                let Some(connection) = self.connections.get_mut(key) else {
                    return;
                };
                if let Role::Client {
                    pending_request,
                    keep_alive,
                    close_after_write,
                } = &mut connection.role
                {
                    *pending_request = None;
                    *keep_alive &= !self.limiter.response_closes(&connection.slot, now);
                    *close_after_write = !*keep_alive;
                    http::write_response(
                        &mut connection.output,
                        status,
                        retry_after_s,
                        content,
                        *keep_alive,
                        &body,
                    );
                }
                connection.output_until = until;
                connection.state_since = now;
                self.flush(key);
            }
            Effect::Call {
                call,
                to,
                method,
                path,
                body,
                timeout_ms,
                condition,
            } => {
                let Some(addr) = self.resolve(&to) else {
                    self.commands.push(Command::Answer {
                        call,
                        outcome: Outcome::NotSent,
                    });
                    return;
                };
                let bytes = http::write_request(method.as_str(), &path, &addr.to_string(), &body);
                match self.connection_for_call(&to, addr, now) {
                    Ok(key) => {
                        let connection = &mut self.connections[key];
                        connection.output = bytes;
                        connection.state_since = now;
                        connection.role = Role::Call {
                            to,
                            call: Some(call),
                            deadline: now + timeout_ms,
                            sent: false,
                            condition,
                        };
                        if connection.connected {
                            self.flush(key);
                        }
                    }
                    Err(error) => {
                        // A shortage of slots is logged once for all connections.
                        log::debug!("connection failed address={addr}: {error}");
                        self.commands.push(Command::Answer {
                            call,
                            outcome: Outcome::NotSent,
                        });
                    }
                }
            }
            Effect::Warning(text) => log::warn!("{text}"),
            Effect::Frame { peer, bytes } => {
                let Some(key) = self.peers.get(peer).and_then(|peer| peer.connection) else {
                    return;
                };
                let connection = &mut self.connections[key];
                if connection.output.len() + bytes.len() <= MAX_PEER_BACKLOG_BYTES {
                    connection.output.extend_from_slice(&bytes);
                    if connection.connected {
                        self.flush(key);
                    }
                }
            }
        }
    }

    fn resolve(&self, to: &Destination) -> Option<SocketAddrV4> {
        match to {
            Destination::State => Some(self.state_addr),
            Destination::Cloud => Some(self.cloud_addr),
            Destination::Worker(addr) => addr.parse().ok(),
            Destination::Licences(addr) => Some(*addr),
        }
    }

    // ---- connections ---------------------------------------------------------

    fn connection_for_call(&mut self, to: &Destination, addr: SocketAddrV4, now: u64) -> io::Result<usize> {
        while let Some(key) = self.idle_pool.get_mut(to).and_then(Vec::pop) {
            self.pooled_worker_connections -= usize::from(matches!(to, Destination::Worker(_)));
            if self.connections.contains(key) {
                return Ok(key);
            }
        }
        let class = connection_class(to);
        let slot = match self.limiter.open(class, now) {
            Ok(slot) => slot,
            Err(no_capacity) => self.reclaim_slot(no_capacity, now)?,
        };
        let stream = match TcpStream::connect(SocketAddr::V4(addr)) {
            Ok(stream) => stream,
            Err(error) => {
                self.limiter.close(slot);
                return Err(error);
            }
        };
        let role = Role::Call {
            to: to.clone(),
            call: None,
            deadline: now,
            sent: false,
            condition: SendCondition::Unconditional,
        };
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.register(stream, role, slot, interest, false)
    }

    /// Opens a slot for a call that found none free, after closing an idle connection to a worker if there
    /// is one.
    fn reclaim_slot(&mut self, no_capacity: NoCapacity, now: u64) -> io::Result<ConnectionSlot> {
        let idle = self
            .idle_pool
            .iter()
            .find(|(to, keys)| matches!(to, Destination::Worker(_)) && !keys.is_empty())
            .and_then(|(_, keys)| keys.first().copied());
        if let Some(key) = idle {
            self.close(key);
        }
        self.limiter.open(no_capacity.0, now).map_err(|no_capacity| {
            self.limiter.refuse(no_capacity, now);
            io::Error::other(no_capacity)
        })
    }

    fn register(
        &mut self,
        mut stream: TcpStream,
        role: Role,
        slot: ConnectionSlot,
        interest: Interest,
        connected: bool,
    ) -> io::Result<usize> {
        let since = self.now();
        let entry = self.connections.vacant_entry();
        let key = entry.key();
        let registry = self.poll.registry();
        if let Err(error) = registry.register(&mut stream, Token(key + FIRST_CONNECTION_TOKEN), interest) {
            self.limiter.close(slot);
            return Err(error);
        }
        let _ = stream.set_nodelay(true);
        entry.insert(Connection {
            stream,
            role,
            slot,
            connected,
            input: Vec::new(),
            output: Vec::new(),
            output_until: None,
            state_since: since,
            interest,
        });
        Ok(key)
    }

    fn connect_peers(&mut self, now: u64) {
        for index in 0..self.peers.len() {
            let peer = &self.peers[index];
            if peer.connection.is_some() || now < peer.retry_at {
                continue;
            }
            let addr = SocketAddr::V4(peer.addr);
            self.peers[index].retry_at = now + PEER_RECONNECT_MS;
            let slot = match self.limiter.open(ConnectionClass::Peer, now) {
                Ok(slot) => slot,
                Err(no_capacity) => {
                    self.limiter.refuse(no_capacity, now);
                    continue;
                }
            };
            let connected = match TcpStream::connect(addr) {
                Ok(stream) => {
                    let role = Role::ToPeer { peer: index };
                    let interest = Interest::READABLE | Interest::WRITABLE;
                    self.register(stream, role, slot, interest, false)
                }
                Err(error) => {
                    self.limiter.close(slot);
                    Err(error)
                }
            };
            match connected {
                Ok(key) => self.peers[index].connection = Some(key),
                Err(error) => log::debug!("peer connection failed address={addr}: {error}"),
            }
        }
    }

    /// Accepts the connections in the listen queue. Returns whether some may still wait there.
    fn accept(&mut self, clients: bool) -> bool {
        let now = self.now();
        let class = if clients {
            ConnectionClass::Unidentified
        } else {
            ConnectionClass::Peer
        };
        loop {
            // Clients that find no slot wait for the responses of this iteration, which close connections.
            // They are refused only after a timeout, so that a load balancer tries another node.
            let slot = self.limiter.open(class, now);
            if slot.is_err() && clients && self.limiter.may_wait(now) {
                return true;
            }
            let listener = if clients {
                &self.client_listener
            } else {
                &self.peer_listener
            };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) => {
                    if let Ok(slot) = slot {
                        self.limiter.close(slot);
                    }
                    match error.kind() {
                        io::ErrorKind::WouldBlock => {
                            if clients {
                                self.limiter.listen_queue_empty();
                            }
                            return false;
                        }
                        io::ErrorKind::Interrupted => continue,
                        _ => {
                            log::info!("accept failed: {error}");
                            return true;
                        }
                    }
                }
            };
            let slot = match slot {
                Ok(slot) => slot,
                Err(no_capacity) => {
                    self.limiter.refuse(no_capacity, now);
                    continue;
                }
            };
            let role = if clients {
                Role::Client {
                    pending_request: None,
                    keep_alive: true,
                    close_after_write: false,
                }
            } else {
                Role::FromPeer
            };
            if let Err(error) = self.register(stream, role, slot, Interest::READABLE, true) {
                log::info!("poll registration failed: {error}");
            }
        }
    }

    /// Closes connections that have timed out or have been idle for too long.
    fn sweep(&mut self, now: u64) {
        let overdue_keys: Vec<usize> = self
            .connections
            .iter()
            .filter(|(_, connection)| match &connection.role {
                Role::Client {
                    pending_request: Some(_),
                    ..
                } => false,
                Role::Client {
                    pending_request: None,
                    ..
                } => {
                    let is_busy = !connection.input.is_empty() || !connection.output.is_empty();
                    let timeout_ms = if is_busy {
                        REQUEST_TIMEOUT_MS
                    } else {
                        self.limiter.idle_ms(&connection.slot)
                    };
                    now >= connection.state_since + timeout_ms
                }
                Role::Call {
                    call: Some(_),
                    deadline,
                    ..
                } => now >= *deadline,
                Role::Call { call: None, .. } => now >= connection.state_since + POOL_IDLE_TIMEOUT_MS,
                Role::FromPeer => now >= connection.state_since + POOL_IDLE_TIMEOUT_MS,
                Role::ToPeer { .. } => {
                    (!connection.connected || !connection.output.is_empty())
                        && now >= connection.state_since + REQUEST_TIMEOUT_MS / 4
                }
            })
            .map(|(key, _)| key)
            .collect();
        for key in overdue_keys {
            if let Some(connection) = self.connections.get(key)
                && matches!(connection.role, Role::Client { .. })
                && connection.input.is_empty()
                && connection.output.is_empty()
            {
                let unused_ms = now - connection.state_since;
                self.limiter.idle_closed(&connection.slot, unused_ms, now);
            }
            self.close(key);
        }
    }

    fn close(&mut self, key: usize) {
        let Some(mut connection) = self.connections.try_remove(key) else {
            return;
        };
        let _ = self.poll.registry().deregister(&mut connection.stream);
        self.limiter.close(connection.slot);
        match connection.role {
            Role::Client { pending_request, .. } => {
                if let Some(request) = pending_request {
                    self.requests.remove(&request);
                }
            }
            Role::Call {
                call: Some(call),
                sent,
                ..
            } => {
                // If no byte of it was sent, it was certainly not executed.
                let outcome = if sent { Outcome::NoAnswer } else { Outcome::NotSent };
                self.commands.push(Command::Answer { call, outcome });
            }
            Role::Call { call: None, to, .. } => {
                if let Some(idle) = self.idle_pool.get_mut(&to) {
                    let before = idle.len();
                    idle.retain(|other| *other != key);
                    if matches!(to, Destination::Worker(_)) {
                        self.pooled_worker_connections -= before - idle.len();
                    }
                    if idle.is_empty() {
                        self.idle_pool.remove(&to);
                    }
                }
            }
            Role::FromPeer => (),
            Role::ToPeer { peer } => self.peers[peer].connection = None,
        }
    }

    // ---- reading and writing -------------------------------------------------

    fn on_ready(&mut self, key: usize, readable: bool, writable: bool) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if writable && !connection.connected {
            match connection.stream.take_error() {
                Ok(None) if connection.stream.peer_addr().is_ok() => {
                    connection.connected = true;
                    connection.state_since = self.started_at.elapsed().as_millis() as u64;
                    if let Role::ToPeer { peer } = connection.role {
                        self.commands.push(Command::PeerConnected { peer });
                    }
                }
                Ok(None) => (),
                _ => {
                    self.close(key);
                    return;
                }
            }
        }
        if readable && matches!(self.read(key), Disposition::Close) {
            self.close(key);
            return;
        }
        if writable {
            self.flush(key);
        }
    }

    /// Writes pending output, and closes the connection if that is due after it.
    fn flush(&mut self, key: usize) {
        match self.write(key) {
            Disposition::Keep => (),
            Disposition::Close => self.close(key),
        }
    }

    fn write(&mut self, key: usize) -> Disposition {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(key) else {
            return Disposition::Keep;
        };
        if !connection.connected {
            return Disposition::Keep;
        }
        if !connection.output.is_empty() && connection.is_output_stale(now) {
            if let Role::Call {
                condition: SendCondition::Permitted(permit),
                ..
            } = &connection.role
            {
                self.node.on_operation_dropped(permit);
            }
            return Disposition::Close;
        }
        let mut written = 0;
        while written < connection.output.len() {
            match connection.stream.write(&connection.output[written..]) {
                Ok(0) => return Disposition::Close,
                Ok(count) => {
                    written += count;
                    connection.state_since = now;
                    if let Role::Call { sent, .. } = &mut connection.role {
                        *sent = true;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => (),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => return Disposition::Close,
            }
        }
        connection.output.drain(..written);
        let is_flushed = connection.output.is_empty();
        if is_flushed {
            connection.output_until = None;
        }
        if is_flushed
            && matches!(
                connection.role,
                Role::Client {
                    close_after_write: true,
                    ..
                }
            )
        {
            return Disposition::Close;
        }
        let interest = if is_flushed {
            Interest::READABLE
        } else {
            Interest::READABLE | Interest::WRITABLE
        };
        if interest != connection.interest {
            connection.interest = interest;
            if self
                .poll
                .registry()
                .reregister(
                    &mut connection.stream,
                    Token(key + FIRST_CONNECTION_TOKEN),
                    interest,
                )
                .is_err()
            {
                return Disposition::Close;
            }
        }
        Disposition::Keep
    }

    fn read(&mut self, key: usize) -> Disposition {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let mut closed = false;
        {
            let Some(connection) = self.connections.get_mut(key) else {
                return Disposition::Keep;
            };
            loop {
                match connection.stream.read(&mut chunk) {
                    Ok(0) => {
                        closed = true;
                        break;
                    }
                    Ok(count) => {
                        if connection.input.is_empty() {
                            connection.state_since = self.started_at.elapsed().as_millis() as u64;
                        }
                        connection.input.extend_from_slice(&chunk[..count]);
                    }
                    Err(error) if error.kind() == io::ErrorKind::Interrupted => (),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                    Err(_) => return Disposition::Close,
                }
            }
        }
        let disposition = match &self.connections[key].role {
            Role::Client { .. } => self.read_request(key),
            Role::Call { .. } => self.read_response(key, closed),
            Role::FromPeer => self.read_frames(key),
            Role::ToPeer { .. } => Disposition::Keep,
        };
        if closed { Disposition::Close } else { disposition }
    }

    fn read_request(&mut self, key: usize) -> Disposition {
        let connection = &mut self.connections[key];
        let Role::Client {
            pending_request,
            keep_alive,
            close_after_write,
        } = &mut connection.role
        else {
            return Disposition::Keep;
        };
        if pending_request.is_some() || *close_after_write {
            // Pipelined requests are not supported: at most one read chunk of them is buffered.
            return if connection.input.len() > READ_CHUNK_BYTES {
                Disposition::Close
            } else {
                Disposition::Keep
            };
        }
        match http::parse_request(&connection.input, self.accepts_submit_files) {
            Ok(None) if connection.input.len() > http::MAX_BUFFERED_REQUEST_BYTES => {
                self.limit_submit_uploads(key)
            }
            Ok(None) => Disposition::Keep,
            Ok(Some(request)) => {
                connection.input.drain(..request.length);
                let id = RequestId(self.next_request);
                self.next_request += 1;
                *pending_request = Some(id);
                *keep_alive = request.keep_alive;
                let class = match request.path.split('?').next() {
                    Some(paths::REPORT) => ConnectionClass::Worker,
                    _ => ConnectionClass::User,
                };
                self.limiter.identify(&mut connection.slot, class);
                self.requests.insert(id, key);
                self.commands.push(Command::Request {
                    request: id,
                    method: request.method,
                    path: request.path,
                    body: request.body,
                });
                Disposition::Keep
            }
            Err(error) => self.reject_request(key, error.status(), None, &error.to_string()),
        }
    }

    /// Limits the submit files received at the same time, which bounds memory. Clients beyond the limit
    /// are told at once to retry.
    fn limit_submit_uploads(&mut self, key: usize) -> Disposition {
        let uploads = self
            .connections
            .iter()
            .filter(|(_, other)| matches!(other.role, Role::Client { .. }))
            .filter(|(_, other)| other.input.len() > http::MAX_BUFFERED_REQUEST_BYTES);
        if uploads.count() <= MAX_CLUSTER_OPERATIONS {
            return Disposition::Keep;
        }
        let problem = "too many submit files at once, come back later";
        self.reject_request(key, 503, Some(RETRY_AFTER_S), problem)
    }

    /// Responds to a rejected request, and closes the connection afterwards.
    fn reject_request(
        &mut self,
        key: usize,
        status: u16,
        retry_after_s: Option<u64>,
        problem: &str,
    ) -> Disposition {
        let connection = &mut self.connections[key];
        if let Role::Client {
            close_after_write, ..
        } = &mut connection.role
        {
            *close_after_write = true;
        }
        connection.input = Vec::new();
        let body = format!("{{\"error\":\"{problem}\"}}");
        let output = &mut connection.output;
        http::write_response(
            output,
            status,
            retry_after_s,
            ContentType::Json,
            false,
            body.as_bytes(),
        );
        self.write(key)
    }

    fn read_response(&mut self, key: usize, closed: bool) -> Disposition {
        let now = self.now();
        let connection = &mut self.connections[key];
        let Role::Call { to, call, .. } = &mut connection.role else {
            return Disposition::Keep;
        };
        let Some(id) = *call else {
            // No call is in progress.
            return if connection.input.is_empty() {
                Disposition::Keep
            } else {
                Disposition::Close
            };
        };
        match http::parse_response(&connection.input, closed) {
            Ok(None) => Disposition::Keep,
            Ok(Some(response)) => {
                connection.input.drain(..response.length);
                *call = None;
                connection.state_since = now;
                let to = to.clone();
                let is_reusable = response.keep_alive
                    && !closed
                    && connection.input.is_empty()
                    && connection.output.is_empty();
                let outcome = Outcome::Answer {
                    status: response.status,
                    body: response.body,
                };
                self.commands.push(Command::Answer { call: id, outcome });
                let is_worker = matches!(to, Destination::Worker(_));
                let (idle, max_idle) = if is_worker {
                    (self.pooled_worker_connections, MAX_POOLED_WORKER_CONNECTIONS)
                } else {
                    (0, 1)
                };
                if is_reusable && self.limiter.keeps_idle(&connection.slot, idle, max_idle) {
                    self.pooled_worker_connections += usize::from(is_worker);
                    self.idle_pool.entry(to).or_default().push(key);
                    Disposition::Keep
                } else {
                    Disposition::Close
                }
            }
            Err(error) => {
                log::info!("response unusable from={to:?}: {error}");
                Disposition::Close
            }
        }
    }

    fn read_frames(&mut self, key: usize) -> Disposition {
        let connection = &mut self.connections[key];
        let mut consumed = 0;
        let disposition = loop {
            match Frame::decode(&connection.input[consumed..]) {
                Ok(Some((frame, length))) => {
                    consumed += length;
                    self.commands.extend(frame.map(Command::Frame));
                }
                Ok(None) => break Disposition::Keep,
                Err(error) => {
                    log::info!("peer connection closed: {error}");
                    break Disposition::Close;
                }
            }
        };
        connection.input.drain(..consumed);
        connection.state_since = self.started_at.elapsed().as_millis() as u64;
        if connection.input.len() > MAX_FRAME_BYTES {
            Disposition::Close
        } else {
            disposition
        }
    }
}

/// Returns the class of a connection to another system.
fn connection_class(to: &Destination) -> ConnectionClass {
    match to {
        Destination::Worker(_) => ConnectionClass::WorkerCall,
        Destination::State | Destination::Cloud | Destination::Licences(_) => ConnectionClass::ExternalCall,
    }
}

/// Logs the start, worsening and end of a shortage of sockets.
fn log_shortage(event: ShortageEvent, limiter: &ConnectionLimiter) {
    let open = limiter.open_counts();
    let format_counts = |counts: PerClass<u64>| {
        let counts = ConnectionClass::ALL.map(|class| format!("{}={}", class.name(), counts[class]));
        counts.join(" ")
    };
    match event {
        ShortageEvent::Short => log::info!(
            "sockets are short: responses to workers close their connections from now on; open: {}",
            format_counts(open)
        ),
        ShortageEvent::Refusing(class) => log::warn!(
            "sockets are exhausted: connections are refused, the first of class {}; open: {}",
            class.name(),
            format_counts(open)
        ),
        ShortageEvent::Ended { lasted_ms, counts } => log::info!(
            "socket shortage over after {:.1} s; closed with a response: {}; closed while idle: {}; refused: {}",
            lasted_ms as f64 / 1_000.0,
            format_counts(counts.closed_by_response),
            format_counts(counts.idle_closed),
            format_counts(counts.refused)
        ),
    }
}

fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
