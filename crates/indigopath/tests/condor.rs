//! Submit files from the command line to real controllers, on loopback, while controllers are
//! killed at random: every cluster that was accepted is there once, all of it is done, and
//! nothing that was refused ran.
//!
//! The seed is printed; `INDIGOPATH_SEED=N` plays the same decisions again. Time is only an
//! upper bound: nothing is judged by how long it took.

use indigopath_simulator::controllers::{Controllers, NODES, addresses, small_cloud, worker_timings};
use indigopath_simulator::licence_server::LicenceServer;
use indigopath_simulator::loopback::LoopbackServices;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

/// No run may take longer, in s; one takes about twenty seconds.
const LONGEST_S: u64 = 400;

/// Controllers, and the command line that asks them.
struct Site {
    controllers: Controllers,
    began: Instant,
}

impl Site {
    fn keep_up(&mut self) {
        let late = self.began.elapsed() >= Duration::from_secs(LONGEST_S);
        assert!(!late, "it takes too long\n{}", self.controllers.log_excerpt());
        self.controllers.restart_stopped();
    }

    fn command(&self, words: &[&str]) -> Command {
        let mut command = Command::new(&self.controllers.program);
        command
            .arg("condor")
            .args(words)
            .current_dir(&self.controllers.directory)
            .stdin(Stdio::null());
        for node in &self.controllers.nodes {
            command.args(["--node", &node.to_string()]);
        }
        command
    }

    /// The command line, until it is answered, while controllers come back.
    fn run(&mut self, words: &[&str]) -> Output {
        loop {
            self.keep_up();
            let output = self.command(words).output().expect("the program runs");
            let silent = String::from_utf8_lossy(&output.stderr).contains("no controller that can tell");
            if !silent {
                return output;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    fn json(&mut self, words: &[&str]) -> Value {
        let words: Vec<&str> = words.iter().copied().chain(["--format", "json"]).collect();
        let output = self.run(&words);
        serde_json::from_slice(&output.stdout)
            .unwrap_or_else(|_| panic!("{words:?}: {}", String::from_utf8_lossy(&output.stderr)))
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

/// The most memory that a process has had, in kB, where the system tells.
fn peak_kb(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.trim().trim_end_matches(" kB").trim().parse().ok()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Done tasks of a cluster, by the workers' own count.
fn done(live: &LoopbackServices, cluster: u64) -> usize {
    let prefix = format!("wk-99{cluster:010}");
    live.with(|models| {
        let jobs = models.jobs.iter().filter(|(id, _)| id.starts_with(&prefix));
        jobs.map(|(_, facts)| facts.completed_tasks.len()).sum()
    })
}

fn until(site: &mut Site, what: &str, mut holds: impl FnMut(&mut Site) -> bool) {
    while !holds(site) {
        let late = site.began.elapsed() >= Duration::from_secs(LONGEST_S);
        assert!(!late, "{what} never came\n{}", site.controllers.log_excerpt());
        site.keep_up();
        std::thread::sleep(Duration::from_millis(100));
    }
}

#[test]
fn submit_files_run_once_whatever_controllers_end() {
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
    let mut site = Site {
        controllers: Controllers::new(program, "condor", nodes, &live, &teams, OPERATOR),
        began: Instant::now(),
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
    // As large as a file from a user gets: most of it items.
    let items: String = (0..10_000)
        .map(|number| format!("scans/volume-7/page-{number:06}.tif\n"))
        .collect();
    write(
        "large.sub",
        &format!("arguments = $(Item)\nhold = true\nqueue from (\n{items})\n"),
    );
    until(&mut site, "the first answer", |site| {
        site.json(&["q"])["jobs"].is_array()
    });

    // What is refused is told, and nothing of it is there.
    let bad = site.run(&["submit", "bad.sub"]);
    assert_eq!(bad.status.code(), Some(1));
    assert!(
        text(&bad.stderr).contains("bad.sub:2:16: requirements"),
        "{}",
        text(&bad.stderr)
    );
    let broken = site.run(&["submit", "broken.sub"]);
    assert_eq!(broken.status.code(), Some(1));
    assert!(
        text(&broken.stderr).starts_with("broken.sub:1:16: "),
        "{}",
        text(&broken.stderr)
    );
    assert_eq!(site.run(&["submit", "none.sub"]).status.code(), Some(2));
    assert_eq!(site.run(&["hold", "x"]).status.code(), Some(2));
    assert_eq!(site.run(&["hold", "77"]).status.code(), Some(1));
    assert_eq!(site.json(&["history"])["clusters"], json!([]));

    // Clusters while controllers end: each is accepted once, under a number of its own.
    let mut clusters = Vec::new();
    let mut kills = 0;
    for _ in 0..12 {
        site.keep_up();
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
        until(&mut site, "an answer", |_| child.try_wait().unwrap().is_some());
        let output = child.wait_with_output().unwrap();
        assert!(output.status.success(), "{}", site.controllers.log_excerpt());
        let accepted: Value = serde_json::from_slice(&output.stdout).unwrap();
        assert_eq!((&accepted["procs"], &accepted["jobs"]), (&json!(9), &json!(2)));
        clusters.push(accepted["cluster"].as_u64().unwrap());
    }
    let mut different = clusters.clone();
    different.dedup();
    assert_eq!(different.len(), clusters.len(), "{clusters:?}");
    assert_eq!(
        site.json(&["history"])["clusters"].as_array().unwrap().len(),
        clusters.len()
    );

    // What is over the limit is held, and a release does not bypass it.
    let over = site.json(&["submit", "over.sub"]);
    let over = over["cluster"].as_u64().unwrap().to_string();
    let released = site.run(&["release", &over]);
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
    let told = text(&submitted.stdout);
    assert!(
        told.starts_with("10000 job(s) submitted to cluster "),
        "{told}{}",
        text(&submitted.stderr)
    );
    let large = told
        .trim_end_matches(['.', '\n'])
        .rsplit(' ')
        .next()
        .unwrap()
        .to_owned();

    for cluster in &clusters {
        until(&mut site, "the end of a cluster", |_| done(&live, *cluster) == 9);
        until(&mut site, "its record", |site| {
            let history = site.json(&["history", &cluster.to_string()]);
            let jobs = history["jobs"].as_array().unwrap().clone();
            jobs.len() == 2 && jobs.iter().all(|job| job["state"] == "completed")
        });
    }
    assert_eq!(done(&live, held), 0);
    let queue = text(&site.run(&["q"]).stdout);
    assert!(
        queue.contains("JOB_IDS") && queue.contains("10003 held"),
        "{queue}"
    );
    let why = text(&site.run(&["q", "--hold"]).stdout);
    assert!(why.contains("it needs 20 GPUs at once"), "{why}");
    let released = site.run(&["release", &held.to_string()]);
    assert_eq!(
        text(&released.stdout),
        format!("All jobs in cluster {held} have been released\n")
    );
    until(&mut site, "the end of what was held", |_| done(&live, held) == 2);
    for cluster in [&over, &large] {
        let removed = site.run(&["rm", cluster]);
        assert!(removed.status.success(), "{}", text(&removed.stderr));
    }
    until(&mut site, "an empty queue", |site| {
        site.json(&["q"])["jobs"] == json!([])
    });
    // The largest file went through one of them; the platform gives each 200 MB.
    let peaks: Vec<u64> = site
        .controllers
        .processes
        .iter()
        .flatten()
        .filter_map(|child| peak_kb(child.id()))
        .collect();
    println!("memory peaks in kB: {peaks:?}");
    assert!(peaks.iter().all(|peak| *peak < 200_000), "{peaks:?}");
    let total: usize = clusters.iter().map(|cluster| done(&live, *cluster)).sum();
    println!(
        "{} clusters of 9 procs, {total} done, {kills} kills of controllers",
        clusters.len()
    );
}
