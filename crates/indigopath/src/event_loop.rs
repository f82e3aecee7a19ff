//! The event loop: sockets and timers round the core. One thread owns everything;
//! what the sockets bring is queued, and the core works through it in batches.

use crate::http;
use indigopath_connection_limits::{
    ConnectionClass, ConnectionLimiter, ConnectionSlot, Limits, NoCapacity, PerClass, ShortageEvent,
};
use indigopath_controller::constants::{MAX_CLUSTER_OPERATIONS, MAX_PEER_BACKLOG_BYTES, RETRY_AFTER_S};
use indigopath_controller::io::{CallId, ContentType, Destination, Effect, Outcome, RequestId};
use indigopath_controller::node::{Command, Node};
use indigopath_controller::peers::{Frame, MAX_FRAME_BYTES};
use indigopath_controller::protocol::paths;
use indigopath_controller::settings::Settings;
use indigopath_fencing::Permit;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use slab::Slab;
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longest wait for events, in ms: the grain of the core's timers.
const TICK_MS: u64 = 20;

/// Events taken from the system at once.
const EVENTS: usize = 256;

/// How long a client may take to send a whole request, in ms.
const REQUEST_MS: u64 = 10_000;

/// How long a client may keep an unused connection, in ms, or this many report
/// intervals if that is longer. Users poll every 5 s and workers report every few
/// seconds, so an unused one is forgotten: a machine that is gone often closes
/// nothing, and with fleets of thousands such connections would use up the sockets.
const IDLE_MS: u64 = 30_000;
const IDLE_REPORTS: f64 = 4.0;

/// How long an unused connection to another system is kept, in ms.
const SPARE_MS: u64 = 20_000;

/// Interval of the search for connections that are overdue, in ms.
const SWEEP_MS: u64 = 100;

/// Wait before a peer is connected to again, in ms.
const RECONNECT_MS: u64 = 500;

/// Unused connections to workers that are kept at most.
const SPARE_WORKERS: usize = 100;

/// Bytes read from a socket at once.
const READ_CHUNK: usize = 16 * 1024;

/// Longest wait for events while newcomers wait for room, in ms: the answers of one turn make it.
const HELD_BACK_TICK_MS: u64 = 2;

const CLIENTS: Token = Token(0);
const PEERS: Token = Token(1);
const FIRST: usize = 2;

/// What a connection is for.
enum Role {
    /// Somebody asks this node.
    Client {
        waiting: Option<RequestId>,
        keep_alive: bool,
        closing: bool,
    },
    /// This node asks another system.
    Call {
        to: Destination,
        call: Option<CallId>,
        deadline: u64,
        sent: bool,
        /// Checked again when the first bytes go out.
        permit: Option<Permit>,
    },
    /// A peer sends frames.
    FromPeer,
    /// This node sends frames to a peer.
    ToPeer { peer: usize },
}

struct Connection {
    stream: TcpStream,
    role: Role,
    /// Its place among the process's sockets.
    place: ConnectionSlot,
    connected: bool,
    input: Vec<u8>,
    output: Vec<u8>,
    /// Since when it has been in its present state.
    since: u64,
    interest: Interest,
}

/// What became of a connection after an event.
enum Fate {
    Keep,
    Close,
}

pub struct EventLoop {
    poll: Poll,
    client_listener: TcpListener,
    peer_listener: TcpListener,
    connections: Slab<Connection>,
    sockets: ConnectionLimiter,
    /// Listeners with somebody in the system's queue: clients' and peers'.
    queued: [bool; 2],
    /// Unused connections to workers.
    spare_workers: usize,
    requests: HashMap<RequestId, usize>,
    next_request: u64,
    spare: HashMap<Destination, Vec<usize>>,
    state: SocketAddrV4,
    cloud: SocketAddrV4,
    peers: Vec<Peer>,
    queue: Vec<Command>,
    /// Whether submit files are served.
    submit_files: bool,
    node: Node,
    started: Instant,
    swept: u64,
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
            .register(&mut client_listener, CLIENTS, Interest::READABLE)?;
        poll.registry()
            .register(&mut peer_listener, PEERS, Interest::READABLE)?;
        let started = Instant::now();
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
            idle_ms: IDLE_MS.max((report_ms * IDLE_REPORTS) as u64),
            report_ms: report_ms as u64,
        };
        Ok(EventLoop {
            poll,
            client_listener,
            peer_listener,
            connections: Slab::new(),
            sockets: ConnectionLimiter::new(&limits),
            queued: [false; 2],
            spare_workers: 0,
            requests: HashMap::new(),
            next_request: 1,
            spare: HashMap::new(),
            state: settings.services.state,
            cloud: settings.services.cloud,
            peers,
            queue: Vec::new(),
            submit_files: settings.operator.condor.is_some(),
            node: Node::new(settings, rand::random(), 0, wall_ms()),
            started,
            swept: 0,
        })
    }

    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn run(mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(EVENTS);
        loop {
            self.turn();
            let held_back = self.queued.contains(&true);
            let tick_ms = if held_back { HELD_BACK_TICK_MS } else { TICK_MS };
            match self.poll.poll(&mut events, Some(Duration::from_millis(tick_ms))) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                other => other?,
            }
            for event in events.iter() {
                match event.token() {
                    CLIENTS => self.queued[0] = true,
                    PEERS => self.queued[1] = true,
                    Token(token) => self.ready(token - FIRST, event.is_readable(), event.is_writable()),
                }
            }
            // After the others, which may have closed. The system tells of a queue only as it grows.
            if self.queued[1] {
                self.queued[1] = self.accept(false);
            }
            if self.queued[0] {
                self.queued[0] = self.accept(true);
            }
        }
    }

    /// One batch: the queued commands, what is due, and what follows from both.
    fn turn(&mut self) {
        let now = self.now();
        self.connect_peers(now);
        if now >= self.swept + SWEEP_MS {
            self.swept = now;
            self.sweep(now);
        }
        self.node.set_time(now, wall_ms());
        self.node
            .set_connection_stats(self.sockets.open_counts(), self.sockets.shortage_counts());
        if let Some(event) = self.sockets.next_event(now) {
            tell(event, &self.sockets);
        }
        // Effects may queue further commands: a call that cannot even be sent.
        loop {
            for command in std::mem::take(&mut self.queue) {
                self.node.handle(command);
            }
            self.node.run_due_work();
            crate::TOKEN.store(self.node.token().unwrap_or(0), Ordering::Relaxed);
            for effect in self.node.take_effects() {
                self.carry_out(effect, now);
            }
            if self.queue.is_empty() {
                return;
            }
        }
    }

    fn carry_out(&mut self, effect: Effect, now: u64) {
        match effect {
            Effect::Reply {
                request,
                mut status,
                mut retry_after_s,
                content,
                mut body,
                until,
            } => {
                // The process may have stood still since the core decided.
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
                    waiting,
                    keep_alive,
                    closing,
                } = &mut connection.role
                {
                    *waiting = None;
                    *keep_alive &= !self.sockets.response_closes(&connection.place, now);
                    *closing = !*keep_alive;
                    http::write_answer(
                        &mut connection.output,
                        status,
                        retry_after_s,
                        content,
                        *keep_alive,
                        &body,
                    );
                }
                connection.since = now;
                self.serve(key);
            }
            Effect::Call {
                call,
                to,
                method,
                path,
                body,
                timeout_ms,
                permit,
            } => {
                let Some(addr) = self.address(&to) else {
                    self.queue.push(Command::Answer {
                        call,
                        outcome: Outcome::NotSent,
                    });
                    return;
                };
                let bytes = http::write_request(method.as_str(), &path, &addr.to_string(), &body);
                match self.call_connection(&to, addr, now) {
                    Ok(key) => {
                        let connection = &mut self.connections[key];
                        connection.output = bytes;
                        connection.since = now;
                        connection.role = Role::Call {
                            to,
                            call: Some(call),
                            deadline: now + timeout_ms,
                            sent: false,
                            permit,
                        };
                        if connection.connected {
                            self.serve(key);
                        }
                    }
                    Err(error) => {
                        // Want of room is told for all of them at once.
                        log::debug!("connection failed address={addr}: {error}");
                        self.queue.push(Command::Answer {
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
                        self.serve(key);
                    }
                }
            }
        }
    }

    fn address(&self, to: &Destination) -> Option<SocketAddrV4> {
        match to {
            Destination::State => Some(self.state),
            Destination::Cloud => Some(self.cloud),
            Destination::Worker(addr) => addr.parse().ok(),
            Destination::Licences(addr) => Some(*addr),
        }
    }

    // ---- connections ---------------------------------------------------------

    fn call_connection(&mut self, to: &Destination, addr: SocketAddrV4, now: u64) -> io::Result<usize> {
        while let Some(key) = self.spare.get_mut(to).and_then(Vec::pop) {
            self.spare_workers -= usize::from(matches!(to, Destination::Worker(_)));
            if self.connections.contains(key) {
                return Ok(key);
            }
        }
        let class = class_of(to);
        let place = match self.sockets.open(class, now) {
            Ok(place) => place,
            Err(full) => self.make_room(full, now)?,
        };
        let stream = match TcpStream::connect(SocketAddr::V4(addr)) {
            Ok(stream) => stream,
            Err(error) => {
                self.sockets.close(place);
                return Err(error);
            }
        };
        let role = Role::Call {
            to: to.clone(),
            call: None,
            deadline: now,
            sent: false,
            permit: None,
        };
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.register(stream, role, place, interest, false)
    }

    /// A place for a call that found none: an unused connection to a worker gives way to it.
    fn make_room(&mut self, full: NoCapacity, now: u64) -> io::Result<ConnectionSlot> {
        let unused = self
            .spare
            .iter()
            .find(|(to, keys)| matches!(to, Destination::Worker(_)) && !keys.is_empty())
            .and_then(|(_, keys)| keys.first().copied());
        if let Some(key) = unused {
            self.close(key);
        }
        self.sockets.open(full.0, now).map_err(|full| {
            self.sockets.refuse(full, now);
            io::Error::other(full)
        })
    }

    fn register(
        &mut self,
        mut stream: TcpStream,
        role: Role,
        place: ConnectionSlot,
        interest: Interest,
        connected: bool,
    ) -> io::Result<usize> {
        let since = self.now();
        let entry = self.connections.vacant_entry();
        let key = entry.key();
        let registry = self.poll.registry();
        if let Err(error) = registry.register(&mut stream, Token(key + FIRST), interest) {
            self.sockets.close(place);
            return Err(error);
        }
        let _ = stream.set_nodelay(true);
        entry.insert(Connection {
            stream,
            role,
            place,
            connected,
            input: Vec::new(),
            output: Vec::new(),
            since,
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
            self.peers[index].retry_at = now + RECONNECT_MS;
            let place = match self.sockets.open(ConnectionClass::Peer, now) {
                Ok(place) => place,
                Err(full) => {
                    self.sockets.refuse(full, now);
                    continue;
                }
            };
            let connected = match TcpStream::connect(addr) {
                Ok(stream) => {
                    let role = Role::ToPeer { peer: index };
                    let interest = Interest::READABLE | Interest::WRITABLE;
                    self.register(stream, role, place, interest, false)
                }
                Err(error) => {
                    self.sockets.close(place);
                    Err(error)
                }
            };
            match connected {
                Ok(key) => self.peers[index].connection = Some(key),
                Err(error) => log::debug!("peer connection failed address={addr}: {error}"),
            }
        }
    }

    /// Accepts whoever has come. True: some still wait in the system's queue.
    fn accept(&mut self, clients: bool) -> bool {
        let now = self.now();
        let class = if clients {
            ConnectionClass::Unidentified
        } else {
            ConnectionClass::Peer
        };
        loop {
            // Those who find no room wait for the answers of this turn, which close connections; only
            // whoever waits in vain is refused, so that a load balancer moves on to another node.
            let place = self.sockets.open(class, now);
            if place.is_err() && clients && self.sockets.may_wait(now) {
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
                    if let Ok(place) = place {
                        self.sockets.close(place);
                    }
                    match error.kind() {
                        io::ErrorKind::WouldBlock => {
                            if clients {
                                self.sockets.listen_queue_empty();
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
            let place = match place {
                Ok(place) => place,
                Err(full) => {
                    self.sockets.refuse(full, now);
                    continue;
                }
            };
            let role = if clients {
                Role::Client {
                    waiting: None,
                    keep_alive: true,
                    closing: false,
                }
            } else {
                Role::FromPeer
            };
            if let Err(error) = self.register(stream, role, place, Interest::READABLE, true) {
                log::info!("poll registration failed: {error}");
            }
        }
    }

    /// Closes what takes too long, and spare connections nobody needs.
    fn sweep(&mut self, now: u64) {
        let overdue: Vec<usize> = self
            .connections
            .iter()
            .filter(|(_, connection)| match &connection.role {
                Role::Client { waiting: Some(_), .. } => false,
                Role::Client { waiting: None, .. } => {
                    let busy = !connection.input.is_empty() || !connection.output.is_empty();
                    let most_ms = if busy {
                        REQUEST_MS
                    } else {
                        self.sockets.idle_ms(&connection.place)
                    };
                    now >= connection.since + most_ms
                }
                Role::Call {
                    call: Some(_),
                    deadline,
                    ..
                } => now >= *deadline,
                Role::Call { call: None, .. } => now >= connection.since + SPARE_MS,
                Role::FromPeer => now >= connection.since + SPARE_MS,
                Role::ToPeer { .. } => {
                    (!connection.connected || !connection.output.is_empty())
                        && now >= connection.since + REQUEST_MS / 4
                }
            })
            .map(|(key, _)| key)
            .collect();
        for key in overdue {
            if let Some(connection) = self.connections.get(key)
                && matches!(connection.role, Role::Client { .. })
                && connection.input.is_empty()
                && connection.output.is_empty()
            {
                let unused_ms = now - connection.since;
                self.sockets.idle_closed(&connection.place, unused_ms, now);
            }
            self.close(key);
        }
    }

    fn close(&mut self, key: usize) {
        let Some(mut connection) = self.connections.try_remove(key) else {
            return;
        };
        let _ = self.poll.registry().deregister(&mut connection.stream);
        self.sockets.close(connection.place);
        match connection.role {
            Role::Client { waiting, .. } => {
                if let Some(request) = waiting {
                    self.requests.remove(&request);
                }
            }
            Role::Call {
                call: Some(call),
                sent,
                ..
            } => {
                // Unless a byte of it has left, it was certainly not carried out.
                let outcome = if sent { Outcome::NoAnswer } else { Outcome::NotSent };
                self.queue.push(Command::Answer { call, outcome });
            }
            Role::Call { call: None, to, .. } => {
                if let Some(spare) = self.spare.get_mut(&to) {
                    let before = spare.len();
                    spare.retain(|other| *other != key);
                    if matches!(to, Destination::Worker(_)) {
                        self.spare_workers -= before - spare.len();
                    }
                    if spare.is_empty() {
                        self.spare.remove(&to);
                    }
                }
            }
            Role::FromPeer => (),
            Role::ToPeer { peer } => self.peers[peer].connection = None,
        }
    }

    // ---- reading and writing -------------------------------------------------

    fn ready(&mut self, key: usize, readable: bool, writable: bool) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if writable && !connection.connected {
            match connection.stream.take_error() {
                Ok(None) if connection.stream.peer_addr().is_ok() => {
                    connection.connected = true;
                    connection.since = self.started.elapsed().as_millis() as u64;
                    if let Role::ToPeer { peer } = connection.role {
                        self.queue.push(Command::PeerConnected { peer });
                    }
                }
                Ok(None) => (),
                _ => {
                    self.close(key);
                    return;
                }
            }
        }
        if readable && matches!(self.read(key), Fate::Close) {
            self.close(key);
            return;
        }
        if writable {
            self.serve(key);
        }
    }

    /// Writes what waits; closes what is to be closed after it.
    fn serve(&mut self, key: usize) {
        match self.write(key) {
            Fate::Keep => (),
            Fate::Close => self.close(key),
        }
    }

    fn write(&mut self, key: usize) -> Fate {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(key) else {
            return Fate::Keep;
        };
        if !connection.connected {
            return Fate::Keep;
        }
        // Minutes may have passed since the core allowed it: in a queue, in a connection that took
        // long, in a process that stood still. Another may hold the duty by now.
        if let Role::Call {
            sent: false,
            permit: Some(permit),
            ..
        } = &connection.role
            && !connection.output.is_empty()
            && !permit.allows(now)
        {
            self.node.on_operation_dropped(permit);
            return Fate::Close;
        }
        let mut written = 0;
        while written < connection.output.len() {
            match connection.stream.write(&connection.output[written..]) {
                Ok(0) => return Fate::Close,
                Ok(count) => {
                    written += count;
                    connection.since = now;
                    if let Role::Call { sent, .. } = &mut connection.role {
                        *sent = true;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => (),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => return Fate::Close,
            }
        }
        connection.output.drain(..written);
        let done = connection.output.is_empty();
        if done && matches!(connection.role, Role::Client { closing: true, .. }) {
            return Fate::Close;
        }
        let interest = if done {
            Interest::READABLE
        } else {
            Interest::READABLE | Interest::WRITABLE
        };
        if interest != connection.interest {
            connection.interest = interest;
            if self
                .poll
                .registry()
                .reregister(&mut connection.stream, Token(key + FIRST), interest)
                .is_err()
            {
                return Fate::Close;
            }
        }
        Fate::Keep
    }

    fn read(&mut self, key: usize) -> Fate {
        let mut chunk = [0; READ_CHUNK];
        let mut closed = false;
        {
            let Some(connection) = self.connections.get_mut(key) else {
                return Fate::Keep;
            };
            loop {
                match connection.stream.read(&mut chunk) {
                    Ok(0) => {
                        closed = true;
                        break;
                    }
                    Ok(count) => {
                        if connection.input.is_empty() {
                            connection.since = self.started.elapsed().as_millis() as u64;
                        }
                        connection.input.extend_from_slice(&chunk[..count]);
                    }
                    Err(error) if error.kind() == io::ErrorKind::Interrupted => (),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                    Err(_) => return Fate::Close,
                }
            }
        }
        let fate = match &self.connections[key].role {
            Role::Client { .. } => self.read_request(key),
            Role::Call { .. } => self.read_answer(key, closed),
            Role::FromPeer => self.read_frames(key),
            Role::ToPeer { .. } => Fate::Keep,
        };
        if closed { Fate::Close } else { fate }
    }

    fn read_request(&mut self, key: usize) -> Fate {
        let connection = &mut self.connections[key];
        let Role::Client {
            waiting,
            keep_alive,
            closing,
        } = &mut connection.role
        else {
            return Fate::Keep;
        };
        if waiting.is_some() || *closing {
            // Requests are not sent pipelined; whoever does gets no second buffer.
            return if connection.input.len() > READ_CHUNK {
                Fate::Close
            } else {
                Fate::Keep
            };
        }
        match http::parse_request(&connection.input, self.submit_files) {
            Ok(None) if connection.input.len() > http::MAX_ORDINARY => self.wait_for_file(key),
            Ok(None) => Fate::Keep,
            Ok(Some(request)) => {
                connection.input.drain(..request.length);
                let id = RequestId(self.next_request);
                self.next_request += 1;
                *waiting = Some(id);
                *keep_alive = request.keep_alive;
                let class = match request.path.split('?').next() {
                    Some(paths::REPORT) => ConnectionClass::Worker,
                    _ => ConnectionClass::User,
                };
                self.sockets.identify(&mut connection.place, class);
                self.requests.insert(id, key);
                self.queue.push(Command::Request {
                    request: id,
                    method: request.method,
                    path: request.path,
                    body: request.body,
                });
                Fate::Keep
            }
            Err(broken) => self.refuse(key, broken.status(), None, &broken.to_string()),
        }
    }

    /// Only so many submit files come in at a time: what bounds memory. Others are told at
    /// once to come back.
    fn wait_for_file(&mut self, key: usize) -> Fate {
        let large = self
            .connections
            .iter()
            .filter(|(_, other)| matches!(other.role, Role::Client { .. }))
            .filter(|(_, other)| other.input.len() > http::MAX_ORDINARY);
        if large.count() <= MAX_CLUSTER_OPERATIONS {
            return Fate::Keep;
        }
        let problem = "too many submit files at once, come back later";
        self.refuse(key, 503, Some(RETRY_AFTER_S), problem)
    }

    /// Answers a request that is not taken, and closes after it.
    fn refuse(&mut self, key: usize, status: u16, retry_after_s: Option<u64>, problem: &str) -> Fate {
        let connection = &mut self.connections[key];
        if let Role::Client { closing, .. } = &mut connection.role {
            *closing = true;
        }
        connection.input = Vec::new();
        let body = format!("{{\"error\":\"{problem}\"}}");
        let output = &mut connection.output;
        http::write_answer(
            output,
            status,
            retry_after_s,
            ContentType::Json,
            false,
            body.as_bytes(),
        );
        self.write(key)
    }

    fn read_answer(&mut self, key: usize, closed: bool) -> Fate {
        let now = self.now();
        let connection = &mut self.connections[key];
        let Role::Call { to, call, .. } = &mut connection.role else {
            return Fate::Keep;
        };
        let Some(id) = *call else {
            // Nothing was asked.
            return if connection.input.is_empty() {
                Fate::Keep
            } else {
                Fate::Close
            };
        };
        match http::parse_answer(&connection.input, closed) {
            Ok(None) => Fate::Keep,
            Ok(Some(answer)) => {
                connection.input.drain(..answer.length);
                *call = None;
                connection.since = now;
                let to = to.clone();
                let reusable = answer.keep_alive
                    && !closed
                    && connection.input.is_empty()
                    && connection.output.is_empty();
                let outcome = Outcome::Answer {
                    status: answer.status,
                    body: answer.body,
                };
                self.queue.push(Command::Answer { call: id, outcome });
                let worker = matches!(to, Destination::Worker(_));
                let (unused, most) = if worker {
                    (self.spare_workers, SPARE_WORKERS)
                } else {
                    (0, 1)
                };
                if reusable && self.sockets.keeps_idle(&connection.place, unused, most) {
                    self.spare_workers += usize::from(worker);
                    self.spare.entry(to).or_default().push(key);
                    Fate::Keep
                } else {
                    Fate::Close
                }
            }
            Err(broken) => {
                log::info!("response unusable from={to:?}: {broken}");
                Fate::Close
            }
        }
    }

    fn read_frames(&mut self, key: usize) -> Fate {
        let connection = &mut self.connections[key];
        let mut at = 0;
        let fate = loop {
            match Frame::decode(&connection.input[at..]) {
                Ok(Some((frame, length))) => {
                    at += length;
                    self.queue.extend(frame.map(Command::Frame));
                }
                Ok(None) => break Fate::Keep,
                Err(error) => {
                    log::info!("peer connection closed: {error}");
                    break Fate::Close;
                }
            }
        };
        connection.input.drain(..at);
        connection.since = self.started.elapsed().as_millis() as u64;
        if connection.input.len() > MAX_FRAME_BYTES {
            Fate::Close
        } else {
            fate
        }
    }
}

/// Whose room a connection to another system takes.
fn class_of(to: &Destination) -> ConnectionClass {
    match to {
        Destination::Worker(_) => ConnectionClass::WorkerCall,
        Destination::State | Destination::Cloud | Destination::Licences(_) => ConnectionClass::ExternalCall,
    }
}

/// Tells of a shortage of sockets as it begins, gets worse and ends.
fn tell(event: ShortageEvent, sockets: &ConnectionLimiter) {
    let open = sockets.open_counts();
    let list = |counts: PerClass<u64>| {
        let counts = ConnectionClass::ALL.map(|class| format!("{}={}", class.name(), counts[class]));
        counts.join(" ")
    };
    match event {
        ShortageEvent::Short => log::info!(
            "sockets run short: answers to workers close their connections from now on; open: {}",
            list(open)
        ),
        ShortageEvent::Refusing(class) => log::warn!(
            "sockets run out: connections are refused, first a {}; open: {}",
            class.name(),
            list(open)
        ),
        ShortageEvent::Over { lasted_ms, counts } => log::info!(
            "sockets suffice again: they ran short for {:.1} s; closed with an answer: {}; unused and closed: {}; refused: {}",
            lasted_ms as f64 / 1_000.0,
            list(counts.closed_by_response),
            list(counts.idle_closed),
            list(counts.refused)
        ),
    }
}

fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
