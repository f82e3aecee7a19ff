//! The small deployment of a case: three controllers, the platform's services and users.

use crate::Record;
use crate::controllers::{Controllers, Site, free_addresses};
use crate::fleet::{Fleet, Job, Rig, Timings};
use crate::http::{call, serve};
use crate::state::{Limits, State};
use serde_json::{Value, json};
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Called with a controller's request to the state service, once it has been carried out and before it is
/// answered: node, method, path, body.
pub type Hook = dyn Fn(usize, &str, &str, &[u8]) + Send + Sync;

pub struct Stand {
    pub record: Arc<Record>,
    pub trouble: bool,
    pub state: Arc<State>,
    pub fleet: Arc<Fleet>,
    pub controllers: Controllers,
    pub users: Vec<SocketAddrV4>,
    pub hook: Arc<Mutex<Option<Arc<Hook>>>>,
}

/// Controllers of a site.
pub const NODES: usize = 3;

/// What the brief and the site file say of a deployment.
pub struct Deployment {
    pub zones: Vec<&'static str>,
    pub rigs: Vec<Rig>,
    pub limits: Limits,
    pub timings: Timings,
    /// Limits that the state service will have later: `state.next`.
    pub next: Option<Limits>,
    settings: Value,
}

fn team(name: &str, gpus: f64, gpus_max: f64) -> Value {
    json!({ "name": name, "cpus": 0.0, "cpus_max": 0.0, "gpus": gpus, "gpus_max": gpus_max })
}

impl Deployment {
    /// dakar-bulle-reader, with its guest team.
    pub fn dakar() -> Deployment {
        let zones = vec!["thies-annex", "dakar-plateau"];
        Deployment {
            rigs: vec![
                Rig {
                    label: "baobab-small",
                    cpus: 32.0,
                    gpus: 4.0,
                    mem_gb: 256.0,
                    cache_gb: 150.0,
                    fetch_gb_per_s: 0.5,
                    rate: 13.73,
                    low_price: 3.38,
                    startup_s: 30.0,
                    yards: vec!["dakar-plateau"],
                    capacity: vec![("dakar-plateau", 17, 10)],
                },
                Rig {
                    label: "baobab-large",
                    cpus: 64.0,
                    gpus: 8.0,
                    mem_gb: 512.0,
                    cache_gb: 70.0,
                    fetch_gb_per_s: 0.4,
                    rate: 20.37,
                    low_price: 5.56,
                    startup_s: 35.0,
                    yards: zones.clone(),
                    capacity: vec![("thies-annex", 4, 1), ("dakar-plateau", 6, 2)],
                },
            ],
            limits: Limits {
                rps: 250.0,
                write_rps: 100.0,
                value_kb: 16.0,
                txn_ops: 24,
            },
            // "At times machines are up within a second or two."
            timings: Timings {
                report_s: 3.0,
                lease_s: 42.0,
                boot_s: 1.5,
                list_lag_s: 4.0,
            },
            next: None,
            settings: json!({
                "teams": [team("lecteur", 56.0, 232.0), team("atelier", 16.0, 48.0), team("traduction", 48.0, 96.0),
                    team("vision", 32.0, 64.0), team("teranga-lab", 0.0, 0.0)],
                "objectives": [{ "kind": "wait", "class": "page-serve", "within_s": 5.0, "share": 0.92 },
                    { "kind": "finished", "class": "panel-crop", "within_s": 70.0, "share": 0.82 },
                    { "kind": "guarantee", "within_s": 5.0, "share": 0.9 }],
                "workers": { "report_s": 3.0, "lease_s": 42.0, "gang_wait_s": 30.0, "gang_peer_s": 5.0, "cancel_s": 62.0 },
                "cloud": { "rps": 4.0, "list_lag_s": 4.0 },
                "resources": { "cores": 0.32, "ram_mb": 200.0, "max_sockets": 3000 } }),
            zones,
        }
    }

    /// swanvale-picking-hq, with its guest team.
    pub fn swanvale() -> Deployment {
        let zones = vec!["perth-east", "perth-north", "bunbury", "kalgoorlie"];
        let mut teams: Vec<Value> = (0..10)
            .map(|number| team(&format!("floorflow-{number:02}"), 24.0, 96.0))
            .collect();
        teams.push(team("goldfields-freight", 0.0, 0.0));
        Deployment {
            rigs: vec![Rig {
                label: "roo-heavy",
                cpus: 96.0,
                gpus: 8.0,
                mem_gb: 384.0,
                cache_gb: 50.0,
                fetch_gb_per_s: 1.0,
                rate: 31.82,
                low_price: 9.64,
                startup_s: 50.0,
                yards: zones.clone(),
                capacity: vec![
                    ("perth-east", 7, 2),
                    ("perth-north", 9, 2),
                    ("bunbury", 7, 2),
                    ("kalgoorlie", 9, 2),
                ],
            }],
            limits: Limits {
                rps: 150.0,
                write_rps: 50.0,
                value_kb: 32.0,
                txn_ops: 12,
            },
            timings: Timings {
                report_s: 3.0,
                lease_s: 30.0,
                boot_s: 1.5,
                list_lag_s: 3.0,
            },
            next: None,
            settings: json!({
                "teams": teams,
                "objectives": [{ "kind": "wait", "class": "pickpath-live", "within_s": 8.0, "share": 0.96 },
                    { "kind": "finished", "class": "slotting-sweep", "within_s": 120.0, "share": 0.88 },
                    { "kind": "guarantee", "within_s": 10.0, "share": 0.95 }],
                "workers": { "report_s": 3.0, "lease_s": 30.0, "gang_wait_s": 45.0, "gang_peer_s": 8.0, "cancel_s": 50.0 },
                "cloud": { "rps": 8.0, "list_lag_s": 3.0 },
                "resources": { "cores": 0.24, "ram_mb": 200.0, "max_sockets": 3500 } }),
            zones,
        }
    }
}

impl Stand {
    /// Starts a deployment; `ledger` is what the state service has counted before. Arguments: the run command
    /// of the deploy file, the record's path, a temporary folder. `None` if the controllers don't become
    /// healthy.
    pub fn start(arguments: &[String], deployment: Deployment, ledger: u64) -> Option<Stand> {
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        let record = Arc::new(Record::create(&PathBuf::from(&arguments[2])).ok()?);
        let Deployment {
            zones,
            rigs,
            limits,
            timings,
            next,
            mut settings,
        } = deployment;
        let state = State::new(limits, ledger);
        let addresses = free_addresses(2 * NODES);
        let users: Vec<SocketAddrV4> = (0..NODES).map(|node| addresses[2 * node]).collect();
        let names = (0..NODES)
            .map(|node| (format!("drover-{node}"), users[node]))
            .collect();
        let fleet = Fleet::new(rigs, timings, names, record.clone());
        let hook: Arc<Mutex<Option<Arc<Hook>>>> = Arc::default();
        let state_addrs: Vec<SocketAddrV4> = (0..NODES)
            .map(|node| {
                let (state, hook, lines) = (state.clone(), hook.clone(), record.clone());
                serve(Arc::new(move |method, path, body| {
                    let answer = state.handle(method, path, body);
                    if path == "/multi" {
                        record_transaction(&lines, node, body, answer.0);
                    }
                    let hook = hook.lock().expect("the hook").clone();
                    if let Some(hook) = hook {
                        hook(node, method, path, body);
                    }
                    Some(answer)
                }))
            })
            .collect();
        let served = fleet.clone();
        let cloud_addr = serve(Arc::new(move |method, path, body| {
            Some(served.cloud(method, path, body))
        }));
        settings["initial_size"] = json!(NODES);
        settings["zones"] = json!(zones);
        settings["state"] = json!({ "rps": limits.rps, "write_rps": limits.write_rps, "value_kb": limits.value_kb,
            "txn_ops": limits.txn_ops });
        if let Some(next) = next {
            settings["state"]["next"] = json!({ "rps": next.rps, "write_rps": next.write_rps,
                "value_kb": next.value_kb, "txn_ops": next.txn_ops });
        }
        settings["skew_ms"] = json!(1000.0);
        let site = Site {
            zones,
            deployment: settings,
        };
        let folder = PathBuf::from(&arguments[3]);
        let mut controllers = Controllers::new(
            &arguments[1],
            &folder,
            &site,
            &addresses,
            &state_addrs,
            &[cloud_addr; NODES],
        );
        for node in 0..NODES {
            controllers.start(node);
        }
        let stand = Stand {
            record,
            trouble,
            state,
            fleet,
            controllers,
            users,
            hook,
        };
        let healthy = |addr: &SocketAddrV4| {
            matches!(
                call(*addr, "GET", "/healthz", "", Duration::from_secs(1)),
                Some((200, _))
            )
        };
        while !stand.users.iter().all(healthy) {
            if stand.record.now() > 15.0 {
                stand.record.line("the controllers don't become healthy");
                return None;
            }
            thread::sleep(Duration::from_millis(100));
        }
        stand
            .record
            .line(&format!("all controllers are healthy; trouble: {trouble}"));
        Some(stand)
    }

    /// The node that leads, as its metrics say.
    pub fn leader(&self) -> Option<usize> {
        (0..NODES).find(|node| {
            call(self.users[*node], "GET", "/metrics", "", Duration::from_secs(1))
                .is_some_and(|(_, text)| text.lines().any(|line| line == "indigopath_is_leader 1"))
        })
    }

    /// Uploads a description and submits the job at a node, and at the next ones until one answers for
    /// good; returns the status.
    pub fn submit(&self, first: usize, body: &Value, run_s: f64) -> u16 {
        self.fleet.upload(
            id_of(body),
            Job {
                body: body.clone(),
                run_s,
            },
        );
        submit(&self.record, &self.users, first, body)
    }

    /// Sends a request of a user, and records it.
    pub fn ask(&self, node: usize, method: &str, path: &str, timeout_s: f64) -> Option<(u16, String)> {
        self.record
            .line(&format!("user asks drover-{node}: {method} {path}"));
        let answer = call(
            self.users[node],
            method,
            path,
            "",
            Duration::from_secs_f64(timeout_s),
        );
        self.record
            .line(&format!("drover-{node} answers {method} {path}: {answer:?}"));
        answer
    }

    /// Lines of the controllers' logs that contain one of these words, for the record.
    pub fn record_logs(&self, words: &[&str], most: usize) {
        for node in 0..NODES {
            let log = self.controllers.log(node);
            let lines = log
                .lines()
                .filter(|line| words.iter().any(|word| line.contains(word)));
            for line in lines.take(most) {
                self.record.line(&format!("log of drover-{node}: {line}"));
            }
        }
    }
}

/// Records a transaction: who sent it, the keys that it changes, its size and its status.
fn record_transaction(record: &Record, node: usize, body: &[u8], status: u16) {
    let text: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    let changes = text["Then"].as_array().map(Vec::as_slice).unwrap_or_default();
    let keys: Vec<String> = changes
        .iter()
        .map(
            |change| match (change["Put"].as_str(), change["Delete"].as_str()) {
                (Some(key), _) => format!("put {key}"),
                (None, key) => format!("delete {}", key.unwrap_or("")),
            },
        )
        .collect();
    if !keys.is_empty() {
        record.line(&format!(
            "state service: drover-{node} {}, {} bytes: {status}",
            keys.join(", "),
            body.len()
        ));
    }
}

pub fn id_of(body: &Value) -> &str {
    body["Id"].as_str().unwrap_or("")
}

/// Submits a job as users do: other than 200, 201, 400 and 422 is retried after 1 s, for 60 s.
pub fn submit(record: &Record, users: &[SocketAddrV4], first: usize, body: &Value) -> u16 {
    let begun = Instant::now();
    let mut node = first % users.len();
    loop {
        let answer = call(
            users[node],
            "POST",
            "/v1/jobs",
            &body.to_string(),
            Duration::from_secs(5),
        );
        let status = answer.map_or(0, |(status, _)| status);
        record.line(&format!(
            "user submits {} at drover-{node}: {status}",
            id_of(body)
        ));
        if matches!(status, 200 | 201 | 400 | 422) || begun.elapsed() > Duration::from_secs(60) {
            return status;
        }
        node = (node + 1) % users.len();
        thread::sleep(Duration::from_secs(1));
    }
}

/// A job with one task of a class, without images to speak of.
pub fn job(
    number: usize,
    class: &str,
    team: &str,
    shape: &str,
    urgency: &str,
    cpus: f64,
    mem_gb: f64,
) -> Value {
    json!({ "Id": format!("wk-{number:06}"), "Lane": class, "Crew": team, "Shape": shape, "Urgency": urgency,
        "Picks": 1, "Cpus": cpus, "Gpus": 0.0, "MemGb": mem_gb, "Kit": format!("{class}-1"), "PullGb": 0.5,
        "Rigs": null, "Yard": null, "OneZone": false, "Apart": false, "Loaners": false,
        "RuntimeS": 40.0, "StashEveryS": 0.0, "StashS": 0.0, "DueS": null })
}
