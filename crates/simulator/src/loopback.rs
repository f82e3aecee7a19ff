//! The models in real time, served on loopback for real controller processes.
//!
//! All models share one clock that advances in equal steps and catches up with real time before each
//! request. A busy machine therefore delays the models but does not make them wrong: a worker whose
//! lease has expired has ended its tasks before any other process can observe it.

use crate::cloud::Cloud;
use crate::licence_server::{ClientState, LicenceServer};
use crate::simulation::{ObservedJob, record_condor_jobs};
use crate::state::{Reply, StateService};
use crate::worker::{Worker, WorkerTimings};
use indigopath_controller::protocol::{TaskEndCause, TaskState};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::Cursor;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use tiny_http::{Method, Request, Response, Server};

/// Resolution of the models' clock, in ms.
const STEP_MS: u64 = 10;

/// Run time of tasks of submit files, in s.
const CONDOR_TASK_RUN_S: f64 = 0.4;

/// Timeout of a heartbeat, in ms.
const HEARTBEAT_TIMEOUT_MS: u64 = 4_000;

/// The state of all models.
pub struct Models {
    pub now: u64,
    pub state: StateService,
    pub cloud: Cloud,
    pub licences: LicenceServer,
    pub workers: BTreeMap<String, Worker>,
    pub jobs: BTreeMap<String, ObservedJob>,
    /// Task starts for which the licence server refused units.
    pub refused_checkouts: Vec<String>,
    /// Tasks that arrived on a machine.
    pub task_starts: u32,
    started: Instant,
    timings: WorkerTimings,
}

impl Models {
    /// Advances the models to the present, step by step.
    fn catch_up(&mut self) {
        let real = self.started.elapsed().as_millis() as u64;
        while self.now + STEP_MS <= real {
            self.now += STEP_MS;
            self.state.expire_leases(self.now);
            // Tasks that end release their units before others start.
            self.update_licences();
            let ids: Vec<String> = self.workers.keys().cloned().collect();
            let mut arrived = Vec::new();
            for id in ids {
                let Some(worker) = self.workers.get_mut(&id) else {
                    continue;
                };
                for task in worker.step(&mut self.jobs, self.now) {
                    arrived.push((id.clone(), task));
                }
            }
            self.update_licences();
            for (host, task) in arrived {
                self.task_starts += 1;
                let Some(observed) = self.jobs.get(&task.job) else {
                    continue;
                };
                let refused = self.licences.check_out_all(&observed.counted_units, &host, &task);
                let lines = refused
                    .iter()
                    .map(|count| format!("{} on {host}: {count} at {} ms", task.name(), self.now));
                self.refused_checkouts.extend(lines);
            }
            self.update_licences();
        }
    }

    /// Updates the licence server with the tasks that have ended.
    fn update_licences(&mut self) {
        let workers = &self.workers;
        self.licences.step(self.now, |client| {
            ClientState::of(workers.get(&client.host), client)
        });
    }

    /// The running tasks: machine and name.
    pub fn running(&self) -> Vec<(String, String)> {
        let tasks = self.workers.values().flat_map(|worker| {
            let running = worker
                .tasks
                .iter()
                .filter(|task| task.state == TaskState::Running);
            running.map(|task| (worker.id.clone(), task.name()))
        });
        tasks.collect()
    }

    /// Kills a task's process; the licence server keeps its units for a while.
    pub fn kill_task(&mut self, host: &str, name: &str) {
        if let Some(worker) = self.workers.get_mut(host) {
            for task in worker.tasks.iter_mut().filter(|task| task.name() == name) {
                task.exit(TaskEndCause::Error);
            }
        }
        self.update_licences();
    }

    /// Kills a machine with everything on it.
    pub fn kill_machine(&mut self, host: &str) {
        self.workers.remove(host);
        self.update_licences();
    }
}

/// The running services, which stop when this is dropped.
pub struct LoopbackServices {
    models: Arc<Mutex<Models>>,
    shutdown: Arc<AtomicBool>,
    pub state: SocketAddrV4,
    pub cloud: SocketAddrV4,
    pub licences: SocketAddrV4,
    servers: Vec<Arc<Server>>,
}

impl Drop for LoopbackServices {
    fn drop(&mut self) {
        self.shutdown.store(true, Ordering::Relaxed);
        for server in &self.servers {
            server.unblock();
        }
    }
}

type SharedModels = Arc<Mutex<Models>>;

/// Status and body.
type HttpResponse = (u16, Vec<u8>);

/// Handles a request: method, path, body.
type Handler = dyn Fn(&str, &str, &[u8]) -> HttpResponse + Send + Sync;

fn lock(models: &SharedModels) -> MutexGuard<'_, Models> {
    let mut models = models.lock().unwrap_or_else(PoisonError::into_inner);
    models.catch_up();
    models
}

impl LoopbackServices {
    /// Starts the services. Workers send heartbeats to `nodes`, which are named n0, n1, …
    pub fn start(
        cloud: Cloud,
        licences: LicenceServer,
        worker_timings: WorkerTimings,
        nodes: Vec<SocketAddrV4>,
    ) -> LoopbackServices {
        let models = Arc::new(Mutex::new(Models {
            now: 0,
            state: StateService::default(),
            cloud,
            licences,
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            refused_checkouts: Vec::new(),
            task_starts: 0,
            started: Instant::now(),
            timings: worker_timings,
        }));
        let shutdown_flag = Arc::new(AtomicBool::new(false));
        let mut servers = Vec::new();
        let mut serve = |handle: fn(&SharedModels, &AtomicBool, &str, &str, &[u8]) -> HttpResponse| {
            let (models, shutdown_flag) = (models.clone(), shutdown_flag.clone());
            let (server, addr) =
                listen(move |method, path, body| handle(&models, &shutdown_flag, method, path, body));
            servers.push(server);
            addr
        };
        let state = serve(serve_state);
        let cloud = serve(|models, _, method, path, body| serve_cloud(models, method, path, body));
        let licences = serve(|models, _, _, path, _| match path {
            "/lmstat" => (200, lock(models).licences.lmstat().into_bytes()),
            _ => (404, Vec::new()),
        });
        thread::spawn({
            let (models, shutdown_flag) = (models.clone(), shutdown_flag.clone());
            move || boot_machines(&models, &shutdown_flag, &nodes)
        });
        LoopbackServices {
            models,
            shutdown: shutdown_flag,
            state,
            cloud,
            licences,
            servers,
        }
    }

    /// Reads or changes the models' state at the present time.
    pub fn with<T>(&self, act: impl FnOnce(&mut Models) -> T) -> T {
        act(&mut lock(&self.models))
    }
}

/// Serves HTTP on a port of its own with one thread per request, as watches block.
fn listen(
    handle: impl Fn(&str, &str, &[u8]) -> HttpResponse + Send + Sync + 'static,
) -> (Arc<Server>, SocketAddrV4) {
    let server = Arc::new(Server::http("127.0.0.1:0").expect("failed to bind a loopback port"));
    let addr = match server.server_addr().to_ip() {
        Some(SocketAddr::V4(addr)) => addr,
        other => panic!("not an IPv4 address: {other:?}"),
    };
    let handle = Arc::new(handle);
    let serving = server.clone();
    thread::spawn(move || {
        while let Ok(request) = serving.recv() {
            let handle = handle.clone();
            thread::spawn(move || answer(request, &*handle));
        }
    });
    (server, addr)
}

fn answer(mut request: Request, handle: &Handler) {
    let mut body = Vec::new();
    if request.as_reader().read_to_end(&mut body).is_err() {
        return;
    }
    let method = match request.method() {
        Method::Get => "GET",
        Method::Delete => "DELETE",
        _ => "POST",
    };
    let path = request.url().to_owned();
    let (status, bytes) = handle(method, &path, &body);
    let length = bytes.len();
    let response = Response::new(status.into(), Vec::new(), Cursor::new(bytes), Some(length), None);
    // The client may have disconnected.
    let _ = request.respond(response.with_chunked_threshold(usize::MAX));
}

fn serve_state(
    models: &SharedModels,
    shutdown: &AtomicBool,
    method: &str,
    path: &str,
    body: &[u8],
) -> HttpResponse {
    let text = |value: Value| value.to_string().into_bytes();
    let reply = {
        let mut models = lock(models);
        let (now, changes) = (models.now, models.state.applied_changes);
        let reply = models.state.handle(method, path, body, now);
        if models.state.applied_changes > changes {
            record_condor_jobs(&mut models.jobs, body, CONDOR_TASK_RUN_S);
        }
        reply
    };
    match reply {
        Reply::Immediate(status, value) => (status, text(value)),
        Reply::LongPoll { prefix, after, until } => loop {
            thread::sleep(Duration::from_millis(STEP_MS));
            let models = lock(models);
            if let Some(watch_response) = models.state.watch_response(&prefix, after) {
                return (200, text(watch_response));
            }
            if models.now >= until || shutdown.load(Ordering::Relaxed) {
                return (200, text(models.state.empty_watch_response()));
            }
        },
    }
}

fn serve_cloud(models: &SharedModels, method: &str, path: &str, body: &[u8]) -> HttpResponse {
    let mut models = lock(models);
    let now = models.now;
    let (status, value) = models.cloud.handle(method, path, body, now);
    for id in models.cloud.take_released() {
        models.workers.remove(&id);
    }
    models.update_licences();
    (status, value.to_string().into_bytes())
}

/// Starts a worker for each machine that has booted.
fn boot_machines(models: &SharedModels, shutdown: &Arc<AtomicBool>, nodes: &[SocketAddrV4]) {
    let mut seen = 0;
    while !shutdown.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(STEP_MS));
        let mut due = Vec::new();
        {
            let mut models = lock(models);
            let (now, timings) = (models.now, models.timings);
            // All machines boot in the order of their names here.
            let up: Vec<String> = models
                .cloud
                .machines
                .iter()
                .skip(seen)
                .take_while(|(_, machine)| machine.ready_at <= now)
                .map(|(id, _)| id.clone())
                .collect();
            seen += up.len();
            for id in up {
                let machine = &models.cloud.machines[&id];
                if machine.removed_at.is_some() {
                    continue;
                }
                let mut worker = Worker::new(&id, &machine.machine_type, &machine.zone, machine.spot, now);
                worker.timings = timings;
                models.workers.insert(id.clone(), worker);
                due.push(id);
            }
        }
        for id in due {
            let (models, shutdown, nodes) = (models.clone(), shutdown.clone(), nodes.to_vec());
            thread::spawn(move || run_worker(&models, &shutdown, &id, &nodes));
        }
    }
}

/// Runs a worker: serves its address and sends its heartbeats.
fn run_worker(models: &SharedModels, shutdown: &AtomicBool, id: &str, nodes: &[SocketAddrV4]) {
    let (server, addr) = listen({
        let (models, id) = (models.clone(), id.to_owned());
        move |_, path, body| {
            let mut models = lock(&models);
            let now = models.now;
            let Models { workers, jobs, .. } = &mut *models;
            let Some(worker) = workers.get_mut(&id) else {
                return (404, Vec::new());
            };
            let answer = match path {
                "/do" => worker.handle_direct_commands(body, jobs, now),
                _ => (200, worker.heartbeat(now)),
            };
            models.update_licences();
            answer
        }
    });
    {
        let mut models = lock(models);
        if let Some(worker) = models.workers.get_mut(id) {
            worker.addr = addr.to_string();
        }
        if let Some(machine) = models.cloud.machines.get_mut(id) {
            machine.addr = Some(addr.to_string());
        }
    }
    let client = HttpClient::new(HEARTBEAT_TIMEOUT_MS);
    while !shutdown.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(STEP_MS));
        let due = {
            let mut models = lock(models);
            let now = models.now;
            let Some(worker) = models.workers.get_mut(id) else {
                break;
            };
            let (node, agent_epoch) = (worker.node, worker.agent_epoch);
            worker
                .due_heartbeat(now)
                .map(|(number, body)| (number, body, node, agent_epoch))
        };
        let Some((number, body, node, agent_epoch)) = due else {
            continue;
        };
        let outcome = client.call("POST", nodes[node], "/v1/report", &body);
        let mut models = lock(models);
        let now = models.now;
        let Models { workers, jobs, .. } = &mut *models;
        if let Some(worker) = workers.get_mut(id) {
            worker.handle_heartbeat_response(number, agent_epoch, outcome, nodes.len(), jobs, now);
        }
        models.update_licences();
    }
    server.unblock();
}

/// A blocking HTTP client for users and workers.
pub struct HttpClient(ureq::Agent);

impl HttpClient {
    pub fn new(timeout_ms: u64) -> HttpClient {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(Duration::from_millis(timeout_ms)))
            .http_status_as_error(false)
            .build();
        HttpClient(config.into())
    }

    /// Returns status and body, or `None` if no response came.
    pub fn call(&self, method: &str, to: SocketAddrV4, path: &str, body: &[u8]) -> Option<(u16, Vec<u8>)> {
        let url = format!("http://{to}{path}");
        let answer = match method {
            "GET" => self.0.get(url).call(),
            _ => self.0.post(url).content_type("application/json").send(body),
        };
        let mut answer = answer.ok()?;
        let body = answer.body_mut().read_to_vec().ok()?;
        Some((answer.status().as_u16(), body))
    }
}
