//! Real controller processes for tests in real time: their settings, their lifecycle and their logs.

use crate::cloud::Cloud;
use crate::loopback::LoopbackServices;
use indigopath_controller::protocol::MachineTypeList;
use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Number of controllers of a site.
pub const NODES: usize = 3;

/// Time until a killed controller is restarted, in ms.
const RESTART_DELAY_MS: u64 = 400;

/// Lines of each log that are shown when a test fails.
const LOG_EXCERPT_LINES: usize = 20;

/// The log event for a counted resource with more units in use than exist.
const OVERSUBSCRIBED_EVENT: &str = "counted resource oversubscribed";

/// Lines of context that are shown before such a line.
const CONTEXT_LINES: usize = 12;

/// The controllers' processes and the directory of their settings and logs. Dropping this kills the
/// processes and deletes the directory.
pub struct Controllers {
    pub program: PathBuf,
    pub directory: PathBuf,
    pub nodes: Vec<SocketAddrV4>,
    pub processes: Vec<Option<Child>>,
    restart_at: Vec<Instant>,
}

impl Drop for Controllers {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("{}", self.oversubscription_log());
        }
        for child in self.processes.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Returns an address for each controller that no other run on this machine uses.
pub fn addresses(port: u16) -> Vec<SocketAddrV4> {
    let process = std::process::id();
    let node = |node: u8| {
        let ip = Ipv4Addr::new(127, 64 + (process >> 8) as u8 % 128, process as u8, 10 + node);
        SocketAddrV4::new(ip, port)
    };
    (0..NODES as u8).map(node).collect()
}

impl Controllers {
    /// Writes the settings of controllers that serve `teams`, with the operators' settings in HCL.
    /// [`Controllers::restart_stopped`] starts them.
    pub fn new(
        program: PathBuf,
        name: &str,
        nodes: Vec<SocketAddrV4>,
        services: &LoopbackServices,
        teams: &Value,
        operator: &str,
    ) -> Controllers {
        let folder = std::env::temp_dir().join(format!("indigopath-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("failed to create the directory");
        for node in 0..nodes.len() {
            let text = node_settings(node, &nodes, services, teams).to_string();
            std::fs::write(folder.join(format!("n{node}.json")), text).expect("failed to write the settings");
        }
        std::fs::write(folder.join("operator.hcl"), operator).expect("failed to write the settings");
        Controllers {
            program,
            directory: folder,
            processes: nodes.iter().map(|_| None).collect(),
            restart_at: vec![Instant::now(); nodes.len()],
            nodes,
        }
    }

    /// Starts the controllers that are not running. A controller that exited by itself fails the
    /// test.
    pub fn restart_stopped(&mut self) {
        for node in 0..self.nodes.len() {
            if let Some(child) = &mut self.processes[node]
                && let Ok(Some(status)) = child.try_wait()
            {
                panic!(
                    "controller n{node} ended by itself: {status}\n{}",
                    self.log_excerpt()
                );
            }
            if self.processes[node].is_none() && Instant::now() >= self.restart_at[node] {
                let log = std::fs::OpenOptions::new()
                    .create(true)
                    .append(true)
                    .open(self.directory.join(format!("n{node}.log")))
                    .expect("failed to open the log");
                let child = Command::new(&self.program)
                    .args(["--config", &format!("n{node}.json"), "--operator", "operator.hcl"])
                    .current_dir(&self.directory)
                    .stdin(Stdio::null())
                    .stdout(Stdio::null())
                    .stderr(log)
                    .spawn();
                self.processes[node] = Some(child.expect("failed to start a controller"));
            }
        }
    }

    /// Kills a controller, which [`Controllers::restart_stopped`] restarts after a delay.
    pub fn kill(&mut self, node: usize) {
        if let Some(mut child) = self.processes[node].take() {
            let _ = child.kill();
            let _ = child.wait();
            self.restart_at[node] = Instant::now() + Duration::from_millis(RESTART_DELAY_MS);
        }
    }

    fn log(&self, node: usize) -> String {
        std::fs::read_to_string(self.directory.join(format!("n{node}.log"))).unwrap_or_default()
    }

    /// The log lines in which a leader found a counted resource oversubscribed, with the lines
    /// before.
    pub fn oversubscription_log(&self) -> String {
        let mut text = String::new();
        for node in 0..self.nodes.len() {
            let log = self.log(node);
            let lines: Vec<&str> = log.lines().collect();
            let found = (0..lines.len()).filter(|at| lines[*at].contains(OVERSUBSCRIBED_EVENT));
            for at in found {
                text.push_str(&format!("n{node}:\n"));
                for line in &lines[at.saturating_sub(CONTEXT_LINES)..=at] {
                    text.push_str(&format!("  {line}\n"));
                }
            }
        }
        text
    }

    /// The errors and the last lines of the controllers' logs.
    pub fn log_excerpt(&self) -> String {
        let mut text = String::new();
        for node in 0..self.nodes.len() {
            let log = self.log(node);
            let bad = |line: &&str| line.contains(" error ") || line.contains("panicked");
            let lines: Vec<&str> = log.lines().collect();
            let last = &lines[lines.len().saturating_sub(LOG_EXCERPT_LINES)..];
            for line in log
                .lines()
                .filter(bad)
                .take(LOG_EXCERPT_LINES)
                .chain(last.iter().copied())
            {
                text.push_str(line);
                text.push('\n');
            }
        }
        text
    }
}

fn node_settings(node: usize, nodes: &[SocketAddrV4], services: &LoopbackServices, teams: &Value) -> Value {
    let peer = |at: usize| SocketAddrV4::new(*nodes[at].ip(), nodes[at].port() + 1).to_string();
    let peers: Vec<Value> = (0..nodes.len())
        .filter(|at| *at != node)
        .map(|at| json!({ "member": format!("n{at}"), "area": "east", "addr": peer(at) }))
        .collect();
    json!({
        "member": format!("n{node}"), "area": "east",
        "bind": nodes[node].to_string(), "cluster_listen": peer(node), "siblings": peers,
        "services": { "cloud": services.cloud.to_string(), "state": services.state.to_string() },
        "deployment": {
            "zones": ["east", "west"],
            "teams": teams,
            "workers": { "report_s": 0.4, "lease_s": 4.0, "gang_wait_s": 5.0, "gang_peer_s": 1.0, "cancel_s": 9.0 },
            "state": { "rps": 2000.0, "write_rps": 1000.0, "value_kb": 16.0, "txn_ops": 12 },
            "cloud": { "rps": 50.0, "list_lag_s": 0.3 },
            "resources": { "cores": 1.0, "ram_mb": 200.0, "max_sockets": 1000 },
            "skew_ms": 20.0,
        }
    })
}

/// The workers' timings that match these settings, for [`LoopbackServices::start`].
pub fn worker_timings() -> crate::worker::WorkerTimings {
    crate::worker::WorkerTimings {
        heartbeat_interval_ms: 400,
        lease_ms: 4_000,
        gang_wait_ms: 5_000,
        min_heartbeat_gap_ms: 100,
        retry_ms: 100,
    }
}

/// A cloud with one small machine type that boots quickly.
pub fn small_cloud() -> Cloud {
    let types = json!({ "Rigs": [{
        "Label": "small", "Cpus": 32, "Gpus": 4, "MemGb": 128, "CacheGb": 40, "FetchGbPerS": 1.0,
        "Rate": 8.0, "LowPrice": 2.5, "StartupS": 0.6, "Yards": ["east", "west"]
    }] });
    let flavors: MachineTypeList = serde_json::from_value(types).expect("invalid machine types");
    let mut cloud = Cloud::default();
    cloud.types = flavors.types;
    cloud.list_lag_ms = Some(300);
    cloud
}
