//! Loopback test with more workers than sockets, and concurrent users: a real controller refuses no
//! connection. Without responses that close connections, workers beyond the limit would find no slot, and
//! their reports would fail. Times are only upper bounds: no check depends on how long something took.

use indigopath_simulator::controllers::{Controllers, addresses, small_cloud, worker_timings};
use indigopath_simulator::licence_server::LicenceServer;
use indigopath_simulator::loopback::LoopbackServices;
use serde_json::{Value, json};
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// Maximum number of sockets of the controller.
const MAX_SOCKETS: usize = 40;

/// Number of workers, each with a connection that it keeps until a response closes it.
const WORKERS: usize = 60;

/// Reports sent by each worker.
const REPORTS_PER_WORKER: usize = 8;

/// Number of users. Together with the client that reads the metrics, they fill the reserve for users.
const USERS: usize = 4;

/// Longest wait for any response of the controller, in s.
const RESPONSE_TIMEOUT_S: u64 = 60;

fn http_agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(RESPONSE_TIMEOUT_S)))
        .build()
        .new_agent()
}

fn metric(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let value = line.unwrap_or_else(|| panic!("no {name} in\n{text}"));
    value.trim().parse().expect("a count")
}

#[test]
fn sixty_workers_report_on_forty_sockets() {
    let nodes = addresses(18_380)[..1].to_vec();
    let node_addr = nodes[0];
    let live = LoopbackServices::start(
        small_cloud(),
        LicenceServer::default(),
        worker_timings(),
        nodes.clone(),
    );
    let program = PathBuf::from(env!("CARGO_BIN_EXE_indigopath"));
    let teams = json!([{ "name": "vision", "gpus": 8.0, "gpus_max": 16.0 }]);
    let mut controllers = Controllers::new(program, "sockets", nodes, &live, &teams, "");
    let settings_path = controllers.directory.join("n0.json");
    let mut settings: Value = serde_json::from_slice(&std::fs::read(&settings_path).unwrap()).unwrap();
    settings["deployment"]["resources"]["max_sockets"] = json!(MAX_SOCKETS);
    std::fs::write(&settings_path, settings.to_string()).unwrap();
    controllers.restart_stopped();
    let started_at = Instant::now();
    let metrics_client = http_agent();
    while metrics_client
        .get(format!("http://{node_addr}/healthz"))
        .call()
        .is_err()
    {
        assert!(
            started_at.elapsed() < Duration::from_secs(RESPONSE_TIMEOUT_S),
            "the controller does not respond\n{}",
            controllers.log_excerpt()
        );
        thread::sleep(Duration::from_millis(20));
    }

    let worker = move |number: usize| {
        let agent = http_agent();
        for sequence in 1..=REPORTS_PER_WORKER {
            // Nothing listens at this address, so commands sent to the worker fail at once.
            let report = json!({
                "Host": format!("m-{number:06}"), "Endpoint": "127.0.0.1:1", "Rig": "small", "Yard": "east",
                "Loaners": false, "Shift": 1, "Tick": sequence, "Baton": 0, "WarningS": null, "Picks": [],
            });
            let response = agent
                .post(format!("http://{node_addr}/v1/report"))
                .header("Content-Type", "application/json")
                .send(report.to_string().as_bytes());
            let mut response =
                response.unwrap_or_else(|error| panic!("worker {number}, report {sequence}: {error}"));
            response.body_mut().read_to_vec().expect("a body");
            thread::sleep(Duration::from_millis(200));
        }
    };
    let user = move |number: usize| {
        let agent = http_agent();
        for _ in 0..10 * REPORTS_PER_WORKER {
            let path = format!("http://{node_addr}/v1/jobs/wk-{number:06}");
            let mut response = agent
                .get(path)
                .call()
                .unwrap_or_else(|error| panic!("user {number}: {error}"));
            response.body_mut().read_to_vec().expect("a body");
            thread::sleep(Duration::from_millis(20));
        }
    };
    let clients: Vec<_> = (0..WORKERS)
        .map(|number| thread::spawn(move || worker(number)))
        .chain((0..USERS).map(|number| thread::spawn(move || user(number))))
        .collect();
    for client in clients {
        client.join().expect("all clients get responses");
    }
    controllers.restart_stopped();

    let mut response = metrics_client
        .get(format!("http://{node_addr}/metrics"))
        .call()
        .expect("metrics");
    let text = response.body_mut().read_to_string().expect("text");
    let closed = "indigopath_connections_closed_total";
    assert_eq!(
        metric(&text, "indigopath_connections_refused_total{class=\"newcomer\"}"),
        0
    );
    assert_eq!(
        metric(&text, &format!("{closed}{{class=\"user\",how=\"answer\"}}")),
        0
    );
    // Forty sockets cannot hold sixty connections.
    let closed_by_response = metric(&text, &format!("{closed}{{class=\"worker\",how=\"answer\"}}"));
    assert!(
        closed_by_response >= (WORKERS - MAX_SOCKETS) as u64,
        "{closed_by_response}"
    );
}
