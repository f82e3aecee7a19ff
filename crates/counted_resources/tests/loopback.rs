//! Runs real controllers on loopback with a licence server that refuses check-outs beyond its
//! total, while tasks, machines, jobs and controllers are killed at random. No task started by a
//! controller may be refused its seat, and every job that was not cancelled must complete.
//!
//! The seed is printed; `INDIGOPATH_SEED=N` repeats the same random decisions, but their timing
//! in the processes depends on the machine. Durations are only checked against an upper bound.

use indigopath_simulator::controllers::{Controllers, NODES, addresses, small_cloud, worker_timings};
use indigopath_simulator::licence_server::{Feature, LicenceServer};
use indigopath_simulator::loopback::{HttpClient, LoopbackServices};
use indigopath_simulator::simulation::ObservedJob;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

const KILLS: u32 = 52;
const JOBS: u32 = 24;
const SEATS: u32 = 4;
const TOKENS: u32 = 9;
const LINGER_S: f64 = 0.8;
/// Time limit of a run, in s; one takes about two minutes.
const TIME_LIMIT_S: u64 = 600;
/// Timeout of a call to a controller, in ms.
const CALL_TIMEOUT_MS: u64 = 5_000;

/// Builds the program and returns its path.
fn program() -> PathBuf {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let built = Command::new(cargo)
        .args(["build", "--quiet", "--locked", "--package", "indigopath"])
        .current_dir(&root)
        .status();
    assert!(
        built.is_ok_and(|status| status.success()),
        "the program does not build"
    );
    let target = std::env::var_os("CARGO_TARGET_DIR").map_or_else(|| root.join("target"), PathBuf::from);
    target.join("debug/indigopath")
}

/// A job as its user sees it.
struct UserJob {
    body: Vec<u8>,
    accepted: bool,
    cancelled: bool,
    status: Option<String>,
}

fn submit(number: u32, rng: &mut SmallRng, live: &LoopbackServices) -> (String, UserJob) {
    let id = format!("wk-{number:06}");
    let mut counts: BTreeMap<String, u32> = BTreeMap::from([("seat".to_owned(), rng.random_range(1..=2))]);
    if rng.random_bool(0.4) {
        counts.insert("token".to_owned(), rng.random_range(1..=3));
    }
    let (tasks, run_s) = (rng.random_range(1..=4), rng.random_range(0.3..1.5));
    let team = if rng.random_bool(0.5) { "red" } else { "blue" };
    let urgency = ["urgent", "standard", "low"][rng.random_range(0..3)];
    let body = json!({
        "Id": id, "Lane": "slots", "Crew": team, "Shape": "sweep", "Urgency": urgency,
        "Picks": tasks, "Cpus": 2.0, "Gpus": 1.0, "MemGb": 4.0, "Kit": "img", "PullGb": 0.05,
        "Rigs": null, "Yard": null, "OneZone": false, "Apart": false, "Loaners": true,
        "RuntimeS": run_s, "StashEveryS": 0.0, "StashS": 0.0, "DueS": null, "Counts": counts,
    });
    let observed = ObservedJob {
        shape: "sweep".to_owned(),
        team: team.to_owned(),
        tasks,
        run_s,
        image: "img".to_owned(),
        image_gb: 0.05,
        counted_units: counts,
        ..ObservedJob::default()
    };
    live.with(|models| models.jobs.insert(id.clone(), observed));
    let job = UserJob {
        body: body.to_string().into_bytes(),
        accepted: false,
        cancelled: false,
        status: None,
    };
    (id, job)
}

/// Submits, cancels or polls each job once.
fn call_for_users(
    user_jobs: &mut BTreeMap<String, UserJob>,
    nodes: &[SocketAddrV4],
    client: &HttpClient,
    rng: &mut SmallRng,
) {
    for (id, job) in user_jobs.iter_mut() {
        if matches!(job.status.as_deref(), Some("done" | "cancelled")) {
            continue;
        }
        let (method, path, body) = if !job.accepted {
            ("POST", "/v1/jobs".to_owned(), job.body.clone())
        } else if job.cancelled {
            ("POST", format!("/v1/jobs/{id}/withdraw"), Vec::new())
        } else {
            ("GET", format!("/v1/jobs/{id}"), Vec::new())
        };
        let node = nodes[rng.random_range(0..nodes.len())];
        let Some((status, body)) = client.call(method, node, &path, &body) else {
            continue;
        };
        match status {
            200 | 201 => {
                job.accepted = true;
                let answer: Value = serde_json::from_slice(&body).unwrap();
                job.status = answer["Status"].as_str().map(str::to_owned);
            }
            429 | 503 => (),
            other => panic!(
                "{id}: {method} {path} is answered {other}: {}",
                String::from_utf8_lossy(&body)
            ),
        }
    }
}

/// Kills a randomly chosen kind of thing. Returns its name, or `None` if there was none to kill.
fn kill(
    controllers: &mut Controllers,
    user_jobs: &mut BTreeMap<String, UserJob>,
    live: &LoopbackServices,
    rng: &mut SmallRng,
) -> Option<&'static str> {
    let running = live.with(|models| models.running());
    match rng.random_range(0..20) {
        0..=9 => {
            let (host, task) = running.get(rng.random_range(0..running.len().max(1)))?;
            live.with(|models| models.kill_task(host, task));
            Some("task")
        }
        10..=11 => {
            let (host, _) = running.get(rng.random_range(0..running.len().max(1)))?;
            live.with(|models| models.kill_machine(host));
            Some("machine")
        }
        12 => {
            let live_jobs: Vec<&String> = user_jobs
                .iter()
                .filter(|(_, job)| job.accepted && !job.cancelled && job.status.as_deref() != Some("done"))
                .map(|(id, _)| id)
                .collect();
            let id = (*live_jobs.get(rng.random_range(0..live_jobs.len().max(1)))?).clone();
            user_jobs.get_mut(&id)?.cancelled = true;
            Some("job")
        }
        13 => {
            (0..NODES).for_each(|node| controllers.kill(node));
            Some("all controllers")
        }
        _ => {
            let up: Vec<usize> = (0..NODES)
                .filter(|node| controllers.processes[*node].is_some())
                .collect();
            let node = *up.get(rng.random_range(0..up.len().max(1)))?;
            controllers.kill(node);
            Some("controller")
        }
    }
}

/// Checks the `counts` commands and the metrics against the running controllers.
fn check_operator_commands(controllers: &Controllers, nodes: &[SocketAddrV4]) {
    let run = |args: &[&str]| {
        let mut command = Command::new(&controllers.program);
        command.arg("counts").args(args);
        for node in nodes {
            command.args(["--node", &node.to_string()]);
        }
        command.output().expect("the program runs")
    };
    let table = run(&[]);
    let text = String::from_utf8_lossy(&table.stdout).into_owned();
    assert!(table.status.success() && text.lines().count() == 3, "{text}");
    assert!(text.contains("seat") && text.contains("shares red 0/2"), "{text}");
    let list: Value = serde_json::from_slice(&run(&["--format", "json"]).stdout).unwrap();
    assert_eq!(list["counts"][0]["server"]["total"], SEATS);
    let holders = run(&["holders"]);
    let refused = String::from_utf8_lossy(&holders.stderr).into_owned();
    assert!(
        !holders.status.success() && refused.contains("show_holders"),
        "{refused}"
    );
    let unknown = run(&["explain", "wk-999999"]);
    assert!(!unknown.status.success() && !unknown.stderr.is_empty());
    let metrics = nodes
        .iter()
        .filter_map(|node| HttpClient::new(CALL_TIMEOUT_MS).call("GET", *node, "/metrics", &[]));
    let metrics: String = metrics
        .map(|(_, body)| String::from_utf8_lossy(&body).into_owned())
        .collect();
    assert!(
        metrics.contains("indigopath_count_free{count=\"seat\"} 4"),
        "{metrics}"
    );
}

#[test]
fn no_seat_is_allocated_twice_under_random_kills() {
    let seed = std::env::var("INDIGOPATH_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok())
        .unwrap_or_else(|| rand::rng().random::<u32>().into());
    println!("seed {seed} (INDIGOPATH_SEED={seed} repeats its decisions)");
    let mut rng = SmallRng::seed_from_u64(seed);
    let program = program();

    let nodes = addresses(18_080);
    let licences = LicenceServer {
        features: BTreeMap::from([
            (
                "seat".to_owned(),
                Feature::new(SEATS, (LINGER_S * 1_000.0) as u64),
            ),
            ("token".to_owned(), Feature::new(TOKENS, 0)),
        ]),
        outage: false,
    };
    let live = LoopbackServices::start(small_cloud(), licences, worker_timings(), nodes.clone());
    let operator = format!(
        "idle_return_s = 2\ncount \"seat\" {{\n units = {SEATS}\n linger_s = {LINGER_S}\n shares = {{ red = 2 }}\n \
         server = \"{}\"\n}}\ncount \"token\" {{\n units = {TOKENS}\n}}\n",
        live.licences
    );
    let teams = json!([
        { "name": "red", "gpus": 16.0, "gpus_max": 64.0 },
        { "name": "blue", "gpus": 16.0, "gpus_max": 64.0 },
    ]);
    let mut controllers = Controllers::new(program, "loopback", nodes.clone(), &live, &teams, &operator);

    let client = HttpClient::new(CALL_TIMEOUT_MS);
    let began = Instant::now();
    let mut user_jobs: BTreeMap<String, UserJob> = BTreeMap::new();
    let mut kills: BTreeMap<&'static str, u32> = BTreeMap::new();
    let mut submitted = 0;
    let mut kill_at = Instant::now() + Duration::from_secs(3);
    loop {
        controllers.restart_stopped();
        let killed: u32 = kills.values().sum();
        let open = user_jobs
            .values()
            .filter(|job| !matches!(job.status.as_deref(), Some("done" | "cancelled")))
            .count();
        // Jobs are submitted for as long as anything is killed.
        if open < 12 && (submitted < JOBS || killed < KILLS) {
            submitted += 1;
            let (id, job) = submit(submitted, &mut rng, &live);
            user_jobs.insert(id, job);
        }
        if submitted >= JOBS && killed >= KILLS && open == 0 {
            break;
        }
        call_for_users(&mut user_jobs, &nodes, &client, &mut rng);
        if killed < KILLS && Instant::now() >= kill_at {
            kill_at = Instant::now() + Duration::from_millis(rng.random_range(100..900));
            if let Some(what) = kill(&mut controllers, &mut user_jobs, &live, &mut rng) {
                *kills.entry(what).or_default() += 1;
            }
        }
        let refused = live.with(|models| models.refused_checkouts.clone());
        assert!(
            refused.is_empty(),
            "seed {seed}: refused {refused:?}\n{}",
            controllers.log_excerpt()
        );
        assert!(
            began.elapsed() < Duration::from_secs(TIME_LIMIT_S),
            "seed {seed}: {open} of {submitted} jobs are open after {killed} kills\n{}",
            controllers.log_excerpt()
        );
        std::thread::sleep(Duration::from_millis(20));
    }

    let killed: u32 = kills.values().sum();
    let done: BTreeSet<&String> = user_jobs
        .iter()
        .filter(|(_, job)| job.status.as_deref() == Some("done"))
        .map(|(id, _)| id)
        .collect();
    let (refused, starts, max_taken) = live.with(|models| {
        let features = &models.licences.features;
        let refused: u32 = features.values().map(|feature| feature.refused_checkouts).sum();
        (refused, models.task_starts, features["seat"].peak_task_units)
    });
    println!("oversubscribed {refused}");
    println!("kills {killed}: {kills:?}");
    println!(
        "{} of {submitted} jobs done, {starts} starts, at most {max_taken} of {SEATS} seats taken",
        done.len()
    );
    assert_eq!(refused, 0);
    assert!(
        killed >= 50 && max_taken == SEATS,
        "{killed} kills, {max_taken} seats"
    );
    for (id, job) in &user_jobs {
        let complete =
            live.with(|models| models.jobs[id].completed_tasks.len() as u32 == models.jobs[id].tasks);
        match job.status.as_deref() {
            Some("done") => assert!(complete, "{id} is reported done too soon"),
            status => assert!(job.cancelled, "{id} is {status:?}, and was not cancelled"),
        }
    }

    // The leader eventually reports every unit as free.
    let mut free = Value::Null;
    while began.elapsed() < Duration::from_secs(TIME_LIMIT_S) {
        controllers.restart_stopped();
        let answers = nodes
            .iter()
            .filter_map(|node| client.call("GET", *node, "/v1/counts", &[]));
        if let Some((_, body)) = answers.into_iter().find(|(status, _)| *status == 200) {
            free = serde_json::from_slice(&body).unwrap();
            let counts = free["counts"].as_array().unwrap();
            let all = counts
                .iter()
                .all(|count| count["free"] == count["units"] && count["waiting"] == 0);
            if all && counts.len() == 2 {
                assert!(counts.iter().all(|count| count["oversubscribed"] == 0), "{free}");
                check_operator_commands(&controllers, &nodes);
                return;
            }
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    panic!(
        "seed {seed}: units are not all free again: {free}\n{}",
        controllers.log_excerpt()
    );
}
