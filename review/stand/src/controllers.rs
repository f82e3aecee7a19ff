//! The project's own controllers as processes, started with the command of the deploy file.

use serde_json::{Value, json};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// What the settings say beside the addresses.
pub struct Site {
    pub zones: Vec<&'static str>,
    pub deployment: Value,
}

/// One controller.
pub struct Node {
    pub name: String,
    pub user_addr: SocketAddrV4,
    pub peer_addr: SocketAddrV4,
    process: Option<Child>,
}

/// All controllers; their processes end with this value.
pub struct Controllers {
    pub nodes: Vec<Node>,
    run: Vec<String>,
    folder: PathBuf,
}

/// Addresses of free loopback ports: one for users and one for peers of each controller.
pub fn free_addresses(count: usize) -> Vec<SocketAddrV4> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port"))
        .collect();
    listeners
        .iter()
        .map(|listener| match listener.local_addr() {
            Ok(SocketAddr::V4(addr)) => addr,
            other => panic!("not an IPv4 address: {other:?}"),
        })
        .collect()
}

impl Controllers {
    /// Writes the settings. `run` is the command of the deploy file; `state` and `cloud` are the
    /// addresses that each controller is given.
    pub fn new(
        run: &str,
        folder: &Path,
        site: &Site,
        addresses: &[SocketAddrV4],
        state: &[SocketAddrV4],
        cloud: &[SocketAddrV4],
    ) -> Controllers {
        let count = state.len();
        let name = |node: usize| format!("drover-{node}");
        let zone = |node: usize| site.zones[node % site.zones.len()];
        let nodes: Vec<Node> = (0..count)
            .map(|node| Node {
                name: name(node),
                user_addr: addresses[2 * node],
                peer_addr: addresses[2 * node + 1],
                process: None,
            })
            .collect();
        for (index, node) in nodes.iter().enumerate() {
            let siblings: Vec<Value> = (0..count)
                .filter(|other| *other != index)
                .map(|other| json!({ "member": name(other), "area": zone(other), "addr": nodes[other].peer_addr.to_string() }))
                .collect();
            let settings = json!({ "member": node.name, "area": zone(index), "bind": node.user_addr.to_string(),
                "cluster_listen": node.peer_addr.to_string(), "siblings": siblings,
                "services": { "cloud": cloud[index].to_string(), "state": state[index].to_string() },
                "deployment": site.deployment });
            std::fs::write(folder.join(format!("{}.json", node.name)), settings.to_string())
                .expect("the settings");
        }
        Controllers {
            nodes,
            run: run.split_whitespace().map(str::to_owned).collect(),
            folder: folder.to_owned(),
        }
    }

    /// Starts a controller that doesn't run; its log is appended to a file in the folder.
    pub fn start(&mut self, node: usize) {
        let name = self.nodes[node].name.clone();
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("the log");
        let child = Command::new(&self.run[0])
            .args(&self.run[1..])
            .arg(self.folder.join(format!("{name}.json")))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the controller");
        // The script ends these, should this program end early.
        let pids = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join("pids"));
        let _ = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
        self.nodes[node].process = Some(child);
    }

    /// Kills a controller without a signal that it could handle.
    pub fn kill(&mut self, node: usize) {
        if let Some(mut child) = self.nodes[node].process.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The process id of a controller that runs.
    pub fn pid(&self, node: usize) -> u32 {
        self.nodes[node].process.as_ref().map_or(0, Child::id)
    }

    /// Controllers that ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for node in &mut self.nodes {
            if let Some(child) = &mut node.process
                && let Ok(Some(status)) = child.try_wait()
            {
                ended.push(format!("{} {status}", node.name));
            }
        }
        ended
    }

    /// The text of a controller's log.
    pub fn log(&self, node: usize) -> String {
        let path = self.folder.join(format!("{}.log", self.nodes[node].name));
        std::fs::read_to_string(path).unwrap_or_default()
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for node in 0..self.nodes.len() {
            self.kill(node);
        }
    }
}
