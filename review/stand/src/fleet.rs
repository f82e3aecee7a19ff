//! Stand-ins of the cloud and of the workers on its machines: arrays and services, images, tokens,
//! sessions and leases as the pages tell. Whatever starts and ends goes to the record.

use crate::Record;
use crate::http::{Client, serve};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// A type of machine.
#[derive(Debug, Clone)]
pub struct Rig {
    pub label: &'static str,
    pub cpus: f64,
    pub gpus: f64,
    pub mem_gb: f64,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub rate: f64,
    pub low_price: f64,
    pub startup_s: f64,
    pub yards: Vec<&'static str>,
    /// How many ordinary and spot machines the cloud has in each yard.
    pub capacity: Vec<(&'static str, usize, usize)>,
}

/// A job as its user uploaded it, with what the platform alone knows.
#[derive(Debug, Clone)]
pub struct Job {
    pub body: Value,
    /// How long each task really runs, in s; services run until they are stopped.
    pub run_s: f64,
}

#[derive(Debug, Clone, Copy)]
pub struct Timings {
    pub report_s: f64,
    pub lease_s: f64,
    /// Time from a rental to the first report.
    pub boot_s: f64,
    pub list_lag_s: f64,
}

struct Machine {
    rig: usize,
    yard: String,
    loaners: bool,
    rented: Instant,
    up: Instant,
    endpoint: Option<SocketAddrV4>,
    gone: Option<Instant>,
    /// When it stopped on its own, with all that was on it.
    stopped: Option<Instant>,
}

#[derive(Debug, Clone)]
pub struct Task {
    pub pick: String,
    pub job: String,
    pub attempt: u64,
    pub status: &'static str,
    pub cause: Option<&'static str>,
    pub since: Instant,
}

/// A worker and its tasks.
pub struct Worker {
    pub host: String,
    shift: u64,
    tick: u64,
    baton: u64,
    pub tasks: Vec<Task>,
    images: BTreeSet<String>,
    fetches: BTreeMap<String, Instant>,
    renewed: Instant,
    changed: bool,
    /// When a higher token last counted as a change.
    token_change: Option<Instant>,
    gone: bool,
    /// Without power: it is silent, and nothing runs on it.
    pub stopped: bool,
    /// Reports sent so far.
    pub reports_sent: u64,
    /// Orders to run that were carried out: the task, its attempt, and when.
    pub runs: Vec<(String, u64, Instant)>,
}

/// Everything behind the cloud's interface.
pub struct Fleet {
    pub rigs: Vec<Rig>,
    timings: Timings,
    machines: Mutex<BTreeMap<String, Machine>>,
    hires: Mutex<BTreeMap<String, Value>>,
    pub workers: Mutex<BTreeMap<String, Arc<Mutex<Worker>>>>,
    pub jobs: Mutex<BTreeMap<String, Job>>,
    done: Mutex<BTreeSet<String>>,
    /// Picks that ever came onto a machine.
    pub started: Mutex<BTreeSet<String>>,
    nodes: Vec<(String, SocketAddrV4)>,
    record: Arc<Record>,
    /// Lines about single tasks are left out of the record, where there are tens of thousands.
    pub brief: AtomicBool,
    stop: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread panics")
}

impl Fleet {
    pub fn new(
        rigs: Vec<Rig>,
        timings: Timings,
        nodes: Vec<(String, SocketAddrV4)>,
        record: Arc<Record>,
    ) -> Arc<Fleet> {
        Arc::new(Fleet {
            rigs,
            timings,
            machines: Mutex::default(),
            hires: Mutex::default(),
            workers: Mutex::default(),
            jobs: Mutex::default(),
            done: Mutex::default(),
            started: Mutex::default(),
            nodes,
            record,
            brief: AtomicBool::new(false),
            stop: AtomicBool::new(false),
        })
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    fn task_line(&self, text: impl FnOnce() -> String) {
        if !self.brief.load(Ordering::Relaxed) {
            self.record.line(&text());
        }
    }

    /// A machine stops with all that is on it: from now on it is silent.
    pub fn stop_machine(&self, worker: &Mutex<Worker>) {
        let mut worker = lock(worker);
        worker.stopped = true;
        let tasks: Vec<&str> = worker.tasks.iter().map(|task| task.pick.as_str()).collect();
        self.record
            .line(&format!("machine {} stops with {tasks:?} on it", worker.host));
        worker.tasks.clear();
        if let Some(machine) = lock(&self.machines).get_mut(&worker.host) {
            machine.stopped.get_or_insert(Instant::now());
        }
    }

    /// Tasks that completed.
    pub fn done_count(&self) -> usize {
        lock(&self.done).len()
    }

    /// A user uploads a description.
    pub fn upload(&self, id: &str, job: Job) {
        lock(&self.jobs).insert(id.to_owned(), job);
    }

    /// All workers that are up.
    pub fn up(&self) -> Vec<Arc<Mutex<Worker>>> {
        lock(&self.workers)
            .values()
            .filter(|worker| {
                let worker = lock(worker);
                !worker.gone && !worker.stopped
            })
            .cloned()
            .collect()
    }

    /// Whether a machine that is up and that the job allows has room for one more task of it.
    pub fn has_room(&self, body: &Value) -> bool {
        let need = |field: &str| body[field].as_f64().unwrap_or(0.0);
        self.up().iter().any(|worker| {
            let worker = lock(worker);
            let spot = lock(&self.machines)
                .get(&worker.host)
                .is_some_and(|machine| machine.loaners);
            let (cpus, gpus, mem_gb) = self.free(&worker);
            (!spot || body["Loaners"] == true)
                && need("Cpus") <= cpus
                && need("Gpus") <= gpus
                && need("MemGb") <= mem_gb
        })
    }

    /// Resources that are free on a machine, by what is on it: CPUs, GPUs, memory.
    pub fn free(&self, worker: &Worker) -> (f64, f64, f64) {
        let rig = lock(&self.machines)
            .get(&worker.host)
            .map_or(0, |machine| machine.rig);
        let rig = &self.rigs[rig];
        let jobs = lock(&self.jobs);
        let mut free = (rig.cpus, rig.gpus, rig.mem_gb);
        for task in worker.tasks.iter().filter(|task| task.status != "exited") {
            let body = jobs.get(&task.job).map_or(&Value::Null, |job| &job.body);
            free.0 -= body["Cpus"].as_f64().unwrap_or(0.0);
            free.1 -= body["Gpus"].as_f64().unwrap_or(0.0);
            free.2 -= body["MemGb"].as_f64().unwrap_or(0.0);
        }
        free
    }

    /// Serves the cloud's interface.
    pub fn cloud(self: &Arc<Self>, method: &str, path: &str, body: &[u8]) -> (u16, String) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let (status, value) = match (method, path) {
            ("GET", "/flavors") => (200, self.flavors()),
            ("GET", "/rentals") => (200, self.list(query)),
            ("POST", "/rentals") => self.rent(body),
            ("POST", "/rentals/return") => self.take_back(body),
            _ => (400, json!({})),
        };
        (status, value.to_string())
    }

    fn flavors(&self) -> Value {
        let rigs = self.rigs.iter().map(|rig| {
            json!({ "Label": rig.label, "Cpus": rig.cpus, "Gpus": rig.gpus, "MemGb": rig.mem_gb,
                    "CacheGb": rig.cache_gb, "FetchGbPerS": rig.fetch_gb_per_s, "Rate": rig.rate,
                    "LowPrice": rig.low_price, "StartupS": rig.startup_s, "Yards": rig.yards })
        });
        json!({ "Rigs": rigs.collect::<Vec<_>>() })
    }

    fn list(&self, query: &str) -> Value {
        let from = query
            .split('&')
            .find_map(|pair| pair.strip_prefix("From="))
            .unwrap_or("");
        let limit: usize = query
            .split('&')
            .find_map(|pair| pair.strip_prefix("Limit="))
            .and_then(|text| text.parse().ok())
            .unwrap_or(500);
        let lag = Duration::from_secs_f64(self.timings.list_lag_s);
        let now = Instant::now();
        let machines = lock(&self.machines);
        let mut hosts: Vec<Value> = Vec::new();
        let mut has_next = false;
        for (id, machine) in machines.iter().filter(|(id, _)| id.as_str() > from) {
            let known = now.duration_since(machine.rented) >= lag;
            let present = machine.gone.is_none_or(|gone| now.duration_since(gone) < lag);
            if !known || !present {
                continue;
            }
            if hosts.len() >= limit.min(500) {
                has_next = true;
                break;
            }
            let is_up = now >= machine.up + lag;
            // "A machine that dies still appears as `running` for about 30 s."
            let has_failed = machine
                .stopped
                .is_some_and(|at| now >= at + Duration::from_secs(30));
            let status = match (has_failed, is_up) {
                (true, _) => "failed",
                (false, true) => "running",
                (false, false) => "booting",
            };
            hosts.push(
                json!({ "Id": id, "Endpoint": machine.endpoint.map(|addr| addr.to_string()),
                "Rig": self.rigs[machine.rig].label, "Yard": machine.yard, "Loaners": machine.loaners,
                "Status": status,
                "HeldS": (now.duration_since(machine.rented) - lag).as_secs_f64() }),
            );
        }
        json!({ "Hosts": hosts, "HasNext": has_next })
    }

    fn rent(self: &Arc<Self>, body: &[u8]) -> (u16, Value) {
        let Ok(request) = serde_json::from_slice::<Value>(body) else {
            return (400, json!({}));
        };
        let (Some(hire), Some(rig), Some(yard), Some(count)) = (
            request["Hire"].as_str(),
            self.rigs
                .iter()
                .position(|rig| Some(rig.label) == request["Rig"].as_str()),
            request["Yard"].as_str(),
            request["Count"].as_u64().filter(|count| (1..=50).contains(count)),
        ) else {
            return (400, json!({}));
        };
        let mut hires = lock(&self.hires);
        if let Some(answer) = hires.get(hire) {
            return (200, answer.clone());
        }
        let now = Instant::now();
        let loaners = request["Loaners"].as_bool().unwrap_or(false);
        let rented = lock(&self.machines)
            .values()
            .filter(|machine| {
                machine.gone.is_none()
                    && machine.rig == rig
                    && machine.yard == yard
                    && machine.loaners == loaners
            })
            .count();
        let capacity = self.rigs[rig].capacity.iter().find(|(name, ..)| *name == yard);
        let capacity = capacity.map_or(0, |(_, ordinary, spot)| if loaners { *spot } else { *ordinary });
        let count = (count as usize).min(capacity.saturating_sub(rented));
        if count == 0 {
            self.record.line(&format!("cloud refused {request}: no capacity"));
            return (503, json!({ "error": "no capacity" }));
        }
        let mut names = Vec::new();
        for _ in 0..count {
            let mut machines = lock(&self.machines);
            let id = format!("m-{:06}", machines.len() + 1);
            machines.insert(
                id.clone(),
                Machine {
                    rig,
                    yard: yard.to_owned(),
                    loaners,
                    rented: now,
                    up: now + Duration::from_secs_f64(self.timings.boot_s),
                    endpoint: None,
                    gone: None,
                    stopped: None,
                },
            );
            drop(machines);
            let (fleet, host) = (self.clone(), id.clone());
            thread::spawn(move || fleet.boot(&host));
            names.push(id);
        }
        let answer = json!({ "Hosts": names });
        hires.insert(hire.to_owned(), answer.clone());
        self.record.line(&format!("cloud rented {request} -> {answer}"));
        (200, answer)
    }

    fn take_back(&self, body: &[u8]) -> (u16, Value) {
        let Ok(request) = serde_json::from_slice::<Value>(body) else {
            return (400, json!({}));
        };
        for host in request["Hosts"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(Value::as_str)
        {
            if let Some(machine) = lock(&self.machines).get_mut(host) {
                machine.gone.get_or_insert(Instant::now());
            }
            if let Some(worker) = lock(&self.workers).get(host) {
                lock(worker).gone = true;
            }
        }
        self.record.line(&format!("cloud took back {request}"));
        (200, json!({}))
    }

    /// Boots a machine and runs its worker until the machine is gone.
    fn boot(self: &Arc<Self>, host: &str) {
        thread::sleep(Duration::from_secs_f64(self.timings.boot_s));
        let now = Instant::now();
        let worker = Arc::new(Mutex::new(Worker {
            host: host.to_owned(),
            shift: 1,
            tick: 0,
            baton: 0,
            tasks: Vec::new(),
            images: BTreeSet::new(),
            fetches: BTreeMap::new(),
            renewed: now,
            changed: false,
            token_change: None,
            gone: false,
            stopped: false,
            reports_sent: 0,
            runs: Vec::new(),
        }));
        let (fleet, served) = (self.clone(), worker.clone());
        let endpoint = serve(Arc::new(move |method, path, body| {
            if lock(&served).stopped {
                // Connections to it hang.
                thread::sleep(Duration::from_secs(10));
                return None;
            }
            let mut worker = lock(&served);
            if worker.gone {
                return None;
            }
            fleet.step(&mut worker);
            if path == "/do" {
                let orders = String::from_utf8_lossy(body).matches("\"Verb\":").count();
                fleet.record.line(&format!(
                    "{} gets a direct command with {orders} orders",
                    worker.host
                ));
            }
            Some(match (method, path) {
                ("POST", "/do") => fleet.direct(&mut worker, body),
                ("GET", "/inspect") => (200, fleet.report(&mut worker).to_string()),
                _ => (400, "{}".into()),
            })
        }));
        {
            let mut machines = lock(&self.machines);
            let Some(machine) = machines.get_mut(host).filter(|machine| machine.gone.is_none()) else {
                return;
            };
            machine.endpoint = Some(endpoint);
        }
        lock(&self.workers).insert(host.to_owned(), worker.clone());
        self.record.line(&format!("machine {host} is up"));
        self.report_until_gone(&worker);
    }

    fn report_until_gone(&self, worker: &Mutex<Worker>) {
        // A new worker may begin with any node.
        let number: usize = lock(worker).host.trim_start_matches("m-").parse().unwrap_or(0);
        let mut node = number % self.nodes.len();
        let mut due = Instant::now();
        let mut last = due - Duration::from_secs(1);
        let mut count: u32 = 0;
        let mut client = Client::default();
        while !self.stop.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(10));
            let now = Instant::now();
            let (body, shift) = {
                let mut worker = lock(worker);
                if worker.gone || worker.stopped {
                    return;
                }
                self.step(&mut worker);
                let is_due = now >= due || worker.changed && now >= last + Duration::from_millis(500);
                if !is_due {
                    continue;
                }
                worker.changed = false;
                (self.report(&mut worker).to_string(), worker.shift)
            };
            last = now;
            count += 1;
            // Plus or minus a quarter.
            let spread = 0.75 + 0.5 * f64::from(count % 5) / 4.0;
            due = now + Duration::from_secs_f64(self.timings.report_s * spread);
            lock(worker).reports_sent += 1;
            let sent_at = self.record.now();
            let answer = client.call(
                self.nodes[node].1,
                "POST",
                "/v1/report",
                &body,
                Duration::from_secs(4),
            );
            let mut worker = lock(worker);
            if worker.stopped || worker.gone {
                return;
            }
            self.record.line(&format!(
                "{} reported {} tasks to {} at {sent_at:.3}: {}",
                worker.host,
                body.matches("\"Pick\":").count(),
                self.nodes[node].0,
                brief(&answer)
            ));
            match answer {
                Some((200, text)) => {
                    let answer: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
                    let baton = answer["Baton"].as_u64().unwrap_or(0);
                    if baton == 0 || baton < worker.baton || shift != worker.shift || worker.gone {
                        continue;
                    }
                    self.see_token(&mut worker, baton);
                    worker.renewed = now;
                    self.execute(&mut worker, &answer["Orders"]);
                }
                Some((421, text)) => {
                    client.close();
                    let answer: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
                    let named = answer["Foreman"]
                        .as_str()
                        .and_then(|name| self.nodes.iter().position(|(node, _)| node == name));
                    match named.filter(|named| *named != node) {
                        Some(named) => {
                            node = named;
                            due = Instant::now();
                        }
                        None => {
                            node = (node + 1) % self.nodes.len();
                            due = Instant::now() + Duration::from_secs(1);
                        }
                    }
                }
                _ => {
                    node = (node + 1) % self.nodes.len();
                    due = Instant::now() + Duration::from_secs(1);
                }
            }
        }
    }

    fn report(&self, worker: &mut Worker) -> Value {
        worker.tick += 1;
        let machines = lock(&self.machines);
        let machine = &machines[&worker.host];
        let picks: Vec<Value> = worker
            .tasks
            .iter()
            .map(|task| match task.cause {
                Some(cause) => {
                    json!({ "Pick": task.pick, "Try": task.attempt, "Status": task.status, "Cause": cause })
                }
                None => json!({ "Pick": task.pick, "Try": task.attempt, "Status": task.status }),
            })
            .collect();
        json!({ "Host": worker.host, "Endpoint": machine.endpoint.map(|addr| addr.to_string()),
            "Rig": self.rigs[machine.rig].label, "Yard": machine.yard, "Loaners": machine.loaners,
            "Shift": worker.shift, "Tick": worker.tick, "Baton": worker.baton, "WarningS": null, "Picks": picks })
    }

    /// A higher token counts as a change at most once within half of the lease.
    fn see_token(&self, worker: &mut Worker, baton: u64) {
        if baton <= worker.baton {
            return;
        }
        worker.baton = baton;
        let now = Instant::now();
        let half = Duration::from_secs_f64(self.timings.lease_s / 2.0);
        if worker.token_change.is_none_or(|at| now >= at + half) {
            worker.token_change = Some(now);
            worker.changed = true;
        }
    }

    fn direct(&self, worker: &mut Worker, body: &[u8]) -> (u16, String) {
        let request: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let (Some(baton), Some(shift)) = (request["Baton"].as_u64(), request["Shift"].as_u64()) else {
            return (400, "{}".into());
        };
        if baton < worker.baton || shift != worker.shift {
            return (409, self.report(worker).to_string());
        }
        self.see_token(worker, baton);
        self.execute(worker, &request["Orders"]);
        (200, self.report(worker).to_string())
    }

    fn execute(&self, worker: &mut Worker, orders: &Value) {
        for order in orders.as_array().into_iter().flatten() {
            let (Some(verb), Some(pick), Some(attempt)) = (
                order["Verb"].as_str(),
                order["Pick"].as_str(),
                order["Try"].as_u64(),
            ) else {
                continue;
            };
            worker.changed = true;
            let known = worker
                .tasks
                .iter()
                .position(|task| task.pick == pick && task.attempt == attempt);
            match (verb, known) {
                ("run", None) => self.start(worker, pick, attempt),
                ("stop", Some(at)) if worker.tasks[at].status != "exited" => {
                    worker.tasks[at].exit("halted");
                    self.task_line(|| format!("{} {pick} try {attempt} halted", worker.host));
                }
                ("forget", Some(at)) if worker.tasks[at].status == "exited" => {
                    worker.tasks.remove(at);
                }
                _ => (),
            }
        }
    }

    fn start(&self, worker: &mut Worker, pick: &str, attempt: u64) {
        let job = pick.rsplit_once('/').map_or("", |(job, _)| job).to_owned();
        let body = lock(&self.jobs).get(&job).map(|job| job.body.clone());
        let mut task = Task {
            pick: pick.to_owned(),
            job,
            attempt,
            status: "pulling",
            cause: None,
            since: Instant::now(),
        };
        let free = self.free(worker);
        match body {
            None => task.exit("no_such"),
            Some(_)
                if worker
                    .tasks
                    .iter()
                    .any(|other| other.pick == pick && other.status != "exited") =>
            {
                task.exit("in_use");
            }
            Some(body) => {
                let fits = body["Cpus"].as_f64().unwrap_or(0.0) <= free.0 + 1e-6
                    && body["Gpus"].as_f64().unwrap_or(0.0) <= free.1 + 1e-6
                    && body["MemGb"].as_f64().unwrap_or(0.0) <= free.2 + 1e-6;
                if !fits {
                    task.exit("full");
                }
            }
        }
        if task.cause.is_some() {
            self.record.line(&format!(
                "{} {pick} try {attempt} refused: {:?}",
                worker.host, task.cause
            ));
        }
        worker.runs.push((pick.to_owned(), attempt, Instant::now()));
        self.task_line(|| format!("{} {pick} try {attempt} ordered to run", worker.host));
        worker.tasks.push(task);
    }

    /// Brings a worker up to the present.
    fn step(&self, worker: &mut Worker) {
        let now = Instant::now();
        if now > worker.renewed + Duration::from_secs_f64(self.timings.lease_s) {
            self.record.line(&format!(
                "{} lease out, {} tasks killed",
                worker.host,
                worker.tasks.len()
            ));
            worker.tasks.clear();
            worker.shift += 1;
            worker.renewed = now;
            worker.changed = true;
        }
        let jobs = lock(&self.jobs);
        let rate = lock(&self.machines)
            .get(&worker.host)
            .map_or(1.0, |machine| self.rigs[machine.rig].fetch_gb_per_s);
        let host = worker.host.clone();
        for task in &mut worker.tasks {
            let Some(job) = jobs.get(&task.job) else { continue };
            if task.status == "pulling" {
                let image = job.body["Kit"].as_str().unwrap_or("").to_owned();
                if !worker.images.contains(&image) {
                    let fetch_s = job.body["PullGb"].as_f64().unwrap_or(0.0) / rate;
                    let ready = *worker
                        .fetches
                        .entry(image.clone())
                        .or_insert(now + Duration::from_secs_f64(fetch_s));
                    if now < ready {
                        continue;
                    }
                    worker.images.insert(image);
                }
                task.since = now;
                task.status = "running";
                worker.changed = true;
                lock(&self.started).insert(task.pick.clone());
                if lock(&self.done).contains(&task.pick) {
                    task.exit("done");
                }
                self.task_line(|| format!("{host} {} try {} on the machine", task.pick, task.attempt));
            } else if task.status == "running"
                && job.body["Shape"] != "daemon"
                && now >= task.since + Duration::from_secs_f64(job.run_s)
            {
                lock(&self.done).insert(task.pick.clone());
                task.exit("done");
                worker.changed = true;
                self.task_line(|| format!("{host} {} try {} done", task.pick, task.attempt));
            }
        }
    }
}

impl Task {
    fn exit(&mut self, cause: &'static str) {
        self.status = "exited";
        self.cause = Some(cause);
    }
}

/// An answer in short: the status, and the numbers of orders or what else it says.
fn brief(answer: &Option<(u16, String)>) -> String {
    match answer {
        None => "no answer".to_owned(),
        Some((200, text)) => {
            let count = |verb: &str| text.matches(&format!("\"Verb\":\"{verb}\"")).count();
            format!(
                "200, orders: {} run, {} stop, {} forget",
                count("run"),
                count("stop"),
                count("forget")
            )
        }
        Some((status, text)) => format!("{status} {}", text.chars().take(80).collect::<String>()),
    }
}
