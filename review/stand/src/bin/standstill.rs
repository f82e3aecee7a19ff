//! Case: the leader stands still for about two seconds while a job is cancelled through another controller.
//! Arguments: see `Stand::start`. Ends with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
//! run.

use review_stand::fleet::Job;
use review_stand::stand::{Deployment, NODES, Stand, id_of, job};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

/// How long the leader stands still, in s.
const STANDSTILL_S: f64 = 1.8;

/// An order that arrives so long after the answer, in s, was sent after it: nothing here delays orders.
const IN_FLIGHT_S: f64 = 0.1;

/// Jobs that are cancelled in this way, one after the other.
const TRIALS: usize = 6;

/// When the last of them may begin, in s.
const LAST_BEGIN_S: f64 = 95.0;

fn wait_until(seconds: f64, mut condition: impl FnMut() -> bool) -> bool {
    let begun = Instant::now();
    while !condition() {
        if begun.elapsed().as_secs_f64() > seconds {
            return false;
        }
        thread::sleep(Duration::from_millis(2));
    }
    true
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let Some(stand) = Stand::start(&arguments, Deployment::dakar(), 0) else {
        return ExitCode::from(2);
    };
    let (record, fleet) = (stand.record.clone(), stand.fleet.clone());
    let mut broken = 0;
    let mut tried = 0;
    for trial in 1..=TRIALS {
        if record.now() > LAST_BEGIN_S {
            break;
        }
        record.line(&format!("trial {trial}"));
        let mut leader = None;
        wait_until(10.0, || {
            leader = stand.leader();
            leader.is_some()
        });
        let Some(leader) = leader else { continue };
        let other = (leader + 1) % NODES;
        // A job whose task ends when the case says so, which has its worker send a report.
        let filler = job(
            1_000 + trial,
            "panel-crop",
            "vision",
            "sweep",
            "standard",
            6.0,
            48.0,
        );
        stand.submit(other, &filler, 1_000.0);
        let pick = format!("{}/0", id_of(&filler));
        let is_running = || fleet.started.lock().expect("started").contains(&pick);
        if !wait_until(15.0, is_running) {
            record.line("the first job didn't start");
            continue;
        }
        let Some(worker) = fleet.up().into_iter().find(|worker| {
            worker
                .lock()
                .expect("a worker")
                .tasks
                .iter()
                .any(|task| task.pick == pick)
        }) else {
            continue;
        };
        thread::sleep(Duration::from_millis(900));

        // The leader's process is stopped once the state service has carried out the transaction that
        // records the start, and before its answer.
        let target = job(
            2_000 + trial,
            "panel-crop",
            "vision",
            "sweep",
            "standard",
            6.0,
            48.0,
        );
        let target_id = id_of(&target).to_owned();
        let pid = stand.controllers.pid(leader);
        let (renewed, renewals) = mpsc::channel();
        let renewed = Mutex::new(renewed);
        let (stopped, stops) = mpsc::channel();
        let stopped = Mutex::new(stopped);
        let is_over = AtomicBool::new(false);
        let (trouble, of_hook, lines) = (stand.trouble, target_id.clone(), record.clone());
        *stand.hook.lock().expect("the hook") = Some(Arc::new(move |node, method, path, body| {
            if node != leader || method != "POST" {
                return;
            }
            if path.ends_with("/touch") {
                let _ = renewed.lock().expect("renewed").send(());
            }
            let text = String::from_utf8_lossy(body);
            let records_start = path == "/multi" && text.contains("\"Put\":\"s/") && text.contains(&of_hook);
            if records_start && !is_over.swap(true, Ordering::Relaxed) {
                if trouble {
                    signal(pid, "STOP");
                }
                lines.line(&format!(
                    "start of {of_hook} recorded; the leader stands still: {trouble}"
                ));
                let _ = stopped.lock().expect("stopped").send(Instant::now());
                // The signal has taken effect before the answer leaves.
                thread::sleep(Duration::from_millis(20));
            }
        }));
        while renewals.try_recv().is_ok() {}
        let _ = renewals.recv_timeout(Duration::from_secs(3));
        stand.submit(other, &target, 1_000.0);
        let stopped_at = stops.recv_timeout(Duration::from_secs(5));
        *stand.hook.lock().expect("the hook") = None;
        let Ok(stopped_at) = stopped_at else {
            record.line("the start wasn't recorded");
            signal(pid, "CONT");
            continue;
        };
        thread::sleep(Duration::from_millis(60));
        let sent_before = worker.lock().expect("a worker").reports_sent;
        fleet.upload(
            id_of(&filler),
            Job {
                body: filler.clone(),
                run_s: 0.0,
            },
        );
        let has_reported = wait_until(0.5, || {
            worker.lock().expect("a worker").reports_sent > sent_before
        });
        record.line(&format!("the worker has reported meanwhile: {has_reported}"));
        // It is on its way before the user asks.
        thread::sleep(Duration::from_millis(20));
        tried += 1;
        // The user's request, repeated until it is answered.
        let resume = thread::spawn({
            let lines = record.clone();
            move || {
                thread::sleep(Duration::from_secs_f64(STANDSTILL_S).saturating_sub(stopped_at.elapsed()));
                if trouble {
                    signal(pid, "CONT");
                    lines.line("the leader goes on");
                }
            }
        });
        let mut told_at = None;
        for _ in 0..5 {
            let path = format!("/v1/jobs/{target_id}/withdraw");
            if let Some((200, text)) = stand.ask(other, "POST", &path, 5.0) {
                if text.contains("cancelled") {
                    told_at = Some(Instant::now());
                }
                break;
            }
            thread::sleep(Duration::from_secs(1));
        }
        let _ = resume.join();
        thread::sleep(Duration::from_secs(3));
        let Some(told_at) = told_at else {
            record.line("the cancellation wasn't confirmed");
            continue;
        };
        for worker in fleet.up() {
            let worker = worker.lock().expect("a worker");
            for (pick, attempt, at) in &worker.runs {
                let late = at.saturating_duration_since(told_at).as_secs_f64();
                if pick.starts_with(&format!("{target_id}/")) && late > IN_FLIGHT_S {
                    broken += 1;
                    record.line(&format!(
                        "BROKEN: {} was ordered to run {pick} try {attempt} {late:.3} s after its user was told that it is cancelled",
                        worker.host
                    ));
                }
            }
        }
    }
    fleet.stop();
    record.line(&format!(
        "{broken} of {tried} cancelled jobs were started after the confirmation"
    ));
    drop(stand);
    match (broken, tried) {
        (_, 0) => ExitCode::from(2),
        (0, _) => ExitCode::SUCCESS,
        _ => ExitCode::from(1),
    }
}

fn signal(pid: u32, signal: &str) {
    let _ = std::process::Command::new("kill")
        .args([&format!("-{signal}"), &pid.to_string()])
        .status();
}
