//! Loopback test that submits files from the command line to real controllers while controllers are
//! killed at random: every accepted cluster exists exactly once and completes, and nothing that was
//! rejected runs.
//!
//! The seed is printed; `INDIGOPATH_SEED=N` repeats the same random decisions. Times are only upper
//! bounds: no check depends on how long something took.

use indigopath_simulator::controllers::{Controllers, NODES, addresses, small_cloud, worker_timings};
use indigopath_simulator::licence_server::LicenceServer;
use indigopath_simulator::loopback::LoopbackServices;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

/// Time limit of a run, in s; a run takes about twenty seconds.
const RUN_TIMEOUT_S: u64 = 400;

/// The controllers, and the command line that sends requests to them.
struct TestSite {
    controllers: Controllers,
    started_at: Instant,
}

impl TestSite {
    fn restart_controllers(&mut self) {
        let has_timed_out = self.started_at.elapsed() >= Duration::from_secs(RUN_TIMEOUT_S);
        assert!(
            !has_timed_out,
            "the run takes too long\n{}",
            self.controllers.log_excerpt()
        );
        self.controllers.restart_stopped();
    }

    fn command(&self, arguments: &[&str]) -> Command {
        let mut command = Command::new(&self.controllers.program);
        command
            .arg("condor")
            .args(arguments)
            .current_dir(&self.controllers.directory)
            .stdin(Stdio::null());
        for node in &self.controllers.nodes {
            command.args(["--node", &node.to_string()]);
        }
        command
    }

    /// Runs the command until a controller answers, restarting killed controllers meanwhile.
    fn run(&mut self, arguments: &[&str]) -> Output {
        loop {
            self.restart_controllers();
            let output = self.command(arguments).output().expect("the program runs");
            let is_unanswered = String::from_utf8_lossy(&output.stderr).contains("no controller can answer");
            if !is_unanswered {
                return output;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    fn json(&mut self, arguments: &[&str]) -> Value {
        let arguments: Vec<&str> = arguments.iter().copied().chain(["--format", "json"]).collect();
        let output = self.run(&arguments);
        serde_json::from_slice(&output.stdout)
            .unwrap_or_else(|_| panic!("{arguments:?}: {}", String::from_utf8_lossy(&output.stderr)))
    }
}

const OPERATOR: &str = r#"
    idle_return_s = 2
    condor {
      default_team     = "vision"
      default_class    = "scan-cleaning"
      default_image    = "scan:1"
      default_image_gb = 0.05
      machine "small" { OpSys = "LINUX" }
    }
"#;

/// Returns the peak memory use of a process, in kB, if the system provides it.
fn peak_memory_kb(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.trim().trim_end_matches(" kB").trim().parse().ok()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Returns the number of completed tasks of a cluster as counted by the workers.
fn count_completed_tasks(live: &LoopbackServices, cluster: u64) -> usize {
    let prefix = format!("wk-99{cluster:010}");
    live.with(|models| {
        let jobs = models.jobs.iter().filter(|(id, _)| id.starts_with(&prefix));
        jobs.map(|(_, facts)| facts.completed_tasks.len()).sum()
    })
}

fn wait_until(site: &mut TestSite, what: &str, mut is_met: impl FnMut(&mut TestSite) -> bool) {
    while !is_met(site) {
        let has_timed_out = site.started_at.elapsed() >= Duration::from_secs(RUN_TIMEOUT_S);
        assert!(
            !has_timed_out,
            "{what} never came\n{}",
            site.controllers.log_excerpt()
        );
        site.restart_controllers();
        std::thread::sleep(Duration::from_millis(100));
    }
}

#[test]
fn submit_files_run_once_while_controllers_are_killed() {
    let seed = std::env::var("INDIGOPATH_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok())
        .unwrap_or_else(|| rand::rng().random::<u32>().into());
    println!("seed {seed}");
    let mut rng = SmallRng::seed_from_u64(seed);
    let nodes = addresses(18_180);
    let live = LoopbackServices::start(
        small_cloud(),
        LicenceServer::default(),
        worker_timings(),
        nodes.clone(),
    );
    let program = PathBuf::from(env!("CARGO_BIN_EXE_indigopath"));
    let teams = json!([{ "name": "vision", "gpus": 8.0, "gpus_max": 16.0 }, { "name": "comics" }]);
    let mut site = TestSite {
        controllers: Controllers::new(program, "condor", nodes, &live, &teams, OPERATOR),
        started_at: Instant::now(),
    };
    let write = |name: &str, text: &str| std::fs::write(site.controllers.directory.join(name), text).unwrap();
    write("items.txt", "1\n2\n3\n");
    write(
        "pages.sub",
        "executable = clean.sh\narguments = $(n)\nrequest_gpus = 1\nrequirements = OpSys == \"LINUX\" && ! Spot\n\
         queue 2 n from items.txt\nrequest_gpus = 0\nrequest_memory = 2 GB\nqueue 3\n",
    );
    write("bad.sub", "queue 2\nrequirements = Memroy > 1\nqueue\n");
    write("broken.sub", "request_cpus = $(x\nqueue\n");
    write(
        "over.sub",
        "universe = parallel\nmachine_count = 5\nrequest_gpus = 4\nqueue\n",
    );
    write("held.sub", "hold = true\nqueue 2\n");
    // As large as a user's file gets; most of it is items.
    let items: String = (0..10_000)
        .map(|number| format!("scans/volume-7/page-{number:06}.tif\n"))
        .collect();
    write(
        "large.sub",
        &format!("arguments = $(Item)\nhold = true\nqueue from (\n{items})\n"),
    );
    wait_until(&mut site, "the first answer", |site| {
        site.json(&["q"])["jobs"].is_array()
    });

    // Rejections are reported, and nothing of the rejected files is submitted.
    let unknown_attribute = site.run(&["submit", "bad.sub"]);
    assert_eq!(unknown_attribute.status.code(), Some(1));
    assert!(
        text(&unknown_attribute.stderr).contains("bad.sub:2:16: requirements"),
        "{}",
        text(&unknown_attribute.stderr)
    );
    let unclosed_macro = site.run(&["submit", "broken.sub"]);
    assert_eq!(unclosed_macro.status.code(), Some(1));
    assert!(
        text(&unclosed_macro.stderr).starts_with("broken.sub:1:16: "),
        "{}",
        text(&unclosed_macro.stderr)
    );
    assert_eq!(site.run(&["submit", "none.sub"]).status.code(), Some(2));
    assert_eq!(site.run(&["hold", "x"]).status.code(), Some(2));
    assert_eq!(site.run(&["hold", "77"]).status.code(), Some(1));
    assert_eq!(site.json(&["history"])["clusters"], json!([]));

    // Submits clusters while controllers are killed: each is accepted once, with its own number.
    let mut clusters = Vec::new();
    let mut kills = 0;
    for _ in 0..12 {
        site.restart_controllers();
        let mut child = site
            .command(&["submit", "pages.sub", "--owner", "awa", "--format", "json"])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        std::thread::sleep(Duration::from_millis(rng.random_range(0..60)));
        match rng.random_range(0..4) {
            0 => (0..NODES).for_each(|node| site.controllers.kill(node)),
            _ => site.controllers.kill(rng.random_range(0..NODES)),
        }
        kills += 1;
        wait_until(&mut site, "an answer", |_| child.try_wait().unwrap().is_some());
        let output = child.wait_with_output().unwrap();
        assert!(output.status.success(), "{}", site.controllers.log_excerpt());
        let accepted: Value = serde_json::from_slice(&output.stdout).unwrap();
        assert_eq!((&accepted["procs"], &accepted["jobs"]), (&json!(9), &json!(2)));
        clusters.push(accepted["cluster"].as_u64().unwrap());
    }
    let mut distinct = clusters.clone();
    distinct.dedup();
    assert_eq!(distinct.len(), clusters.len(), "{clusters:?}");
    assert_eq!(
        site.json(&["history"])["clusters"].as_array().unwrap().len(),
        clusters.len()
    );

    // Jobs over the quota are held, and a release does not bypass the quota.
    let over_quota = site.json(&["submit", "over.sub"]);
    let over_quota = over_quota["cluster"].as_u64().unwrap().to_string();
    let released = site.run(&["release", &over_quota]);
    assert_eq!(released.status.code(), Some(1));
    assert!(
        text(&released.stderr).contains("team vision's limit of 16"),
        "{}",
        text(&released.stderr)
    );
    let held = site.json(&["submit", "held.sub"]);
    assert_eq!(held["held"][0]["reason"], "hold = true in the submit file");
    let held = held["cluster"].as_u64().unwrap();
    let submitted = site.run(&["submit", "large.sub"]);
    let stdout = text(&submitted.stdout);
    assert!(
        stdout.starts_with("10000 job(s) submitted to cluster "),
        "{stdout}{}",
        text(&submitted.stderr)
    );
    let large = stdout
        .trim_end_matches(['.', '\n'])
        .rsplit(' ')
        .next()
        .unwrap()
        .to_owned();

    for cluster in &clusters {
        wait_until(&mut site, "the end of a cluster", |_| {
            count_completed_tasks(&live, *cluster) == 9
        });
        wait_until(&mut site, "its record", |site| {
            let history = site.json(&["history", &cluster.to_string()]);
            let jobs = history["jobs"].as_array().unwrap().clone();
            jobs.len() == 2 && jobs.iter().all(|job| job["state"] == "completed")
        });
    }
    assert_eq!(count_completed_tasks(&live, held), 0);
    let queue = text(&site.run(&["q"]).stdout);
    assert!(
        queue.contains("JOB_IDS") && queue.contains("10003 held"),
        "{queue}"
    );
    let hold_table = text(&site.run(&["q", "--hold"]).stdout);
    assert!(hold_table.contains("it needs 20 GPUs at once"), "{hold_table}");
    let released = site.run(&["release", &held.to_string()]);
    assert_eq!(
        text(&released.stdout),
        format!("All jobs in cluster {held} have been released\n")
    );
    wait_until(&mut site, "the end of what was held", |_| {
        count_completed_tasks(&live, held) == 2
    });
    for cluster in [&over_quota, &large] {
        let removed = site.run(&["rm", cluster]);
        assert!(removed.status.success(), "{}", text(&removed.stderr));
    }
    wait_until(&mut site, "an empty queue", |site| {
        site.json(&["q"])["jobs"] == json!([])
    });
    // One of the controllers handled the largest file; the platform allows each 200 MB.
    let peaks: Vec<u64> = site
        .controllers
        .processes
        .iter()
        .flatten()
        .filter_map(|child| peak_memory_kb(child.id()))
        .collect();
    println!("memory peaks in kB: {peaks:?}");
    assert!(peaks.iter().all(|peak| *peak < 200_000), "{peaks:?}");
    let total: usize = clusters
        .iter()
        .map(|cluster| count_completed_tasks(&live, *cluster))
        .sum();
    println!(
        "{} clusters of 9 procs, {total} done, {kills} kills of controllers",
        clusters.len()
    );
}
