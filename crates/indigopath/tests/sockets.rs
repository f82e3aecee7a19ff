//! More workers than sockets, and users meanwhile, on loopback against a real controller: nobody is
//! refused. Without closing answers, workers beyond the limit find no room, and their reports
//! fail. Time is only an upper bound: nothing is judged by how long it took.

use indigopath_simulator::controllers::{Controllers, addresses, small_cloud, worker_timings};
use indigopath_simulator::licence_server::LicenceServer;
use indigopath_simulator::loopback::LoopbackServices;
use serde_json::{Value, json};
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// Sockets of the controller.
const SOCKETS: usize = 40;

/// Workers, each on a connection that it keeps until an answer closes it.
const WORKERS: usize = 60;

/// Reports of each worker.
const REPORTS: usize = 8;

/// Users: with whoever reads the metrics, as many as their reserve holds.
const USERS: usize = 4;

/// Longest wait for the controller to answer at all, in s.
const LONGEST_S: u64 = 60;

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(LONGEST_S)))
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
    let at = nodes[0];
    let live = LoopbackServices::start(
        small_cloud(),
        LicenceServer::default(),
        worker_timings(),
        nodes.clone(),
    );
    let program = PathBuf::from(env!("CARGO_BIN_EXE_indigopath"));
    let teams = json!([{ "name": "vision", "gpus": 8.0, "gpus_max": 16.0 }]);
    let mut controllers = Controllers::new(program, "sockets", nodes, &live, &teams, "");
    let file = controllers.directory.join("n0.json");
    let mut settings: Value = serde_json::from_slice(&std::fs::read(&file).unwrap()).unwrap();
    settings["deployment"]["resources"]["max_sockets"] = json!(SOCKETS);
    std::fs::write(&file, settings.to_string()).unwrap();
    controllers.restart_stopped();
    let began = Instant::now();
    let reader = agent();
    while reader.get(format!("http://{at}/healthz")).call().is_err() {
        assert!(
            began.elapsed() < Duration::from_secs(LONGEST_S),
            "it does not answer\n{}",
            controllers.log_excerpt()
        );
        thread::sleep(Duration::from_millis(20));
    }

    let worker = move |number: usize| {
        let agent = agent();
        for seq in 1..=REPORTS {
            // Nobody listens there: orders to it fail at once.
            let report = json!({
                "Host": format!("m-{number:06}"), "Endpoint": "127.0.0.1:1", "Rig": "small", "Yard": "east",
                "Loaners": false, "Shift": 1, "Tick": seq, "Baton": 0, "WarningS": null, "Picks": [],
            });
            let answer = agent
                .post(format!("http://{at}/v1/report"))
                .header("Content-Type", "application/json")
                .send(report.to_string().as_bytes());
            let mut answer = answer.unwrap_or_else(|error| panic!("worker {number}, report {seq}: {error}"));
            answer.body_mut().read_to_vec().expect("a body");
            thread::sleep(Duration::from_millis(200));
        }
    };
    let user = move |number: usize| {
        let agent = agent();
        for _ in 0..10 * REPORTS {
            let path = format!("http://{at}/v1/jobs/wk-{number:06}");
            let mut answer = agent
                .get(path)
                .call()
                .unwrap_or_else(|error| panic!("user {number}: {error}"));
            answer.body_mut().read_to_vec().expect("a body");
            thread::sleep(Duration::from_millis(20));
        }
    };
    let clients: Vec<_> = (0..WORKERS)
        .map(|number| thread::spawn(move || worker(number)))
        .chain((0..USERS).map(|number| thread::spawn(move || user(number))))
        .collect();
    for client in clients {
        client.join().expect("everybody is answered");
    }
    controllers.restart_stopped();

    let mut answer = reader
        .get(format!("http://{at}/metrics"))
        .call()
        .expect("metrics");
    let text = answer.body_mut().read_to_string().expect("text");
    let closed = "indigopath_connections_closed_total";
    assert_eq!(
        metric(&text, "indigopath_connections_refused_total{class=\"newcomer\"}"),
        0
    );
    assert_eq!(
        metric(&text, &format!("{closed}{{class=\"user\",how=\"answer\"}}")),
        0
    );
    // Forty sockets cannot keep sixty connections.
    let answered = metric(&text, &format!("{closed}{{class=\"worker\",how=\"answer\"}}"));
    assert!(answered >= (WORKERS - SOCKETS) as u64, "{answered}");
}
