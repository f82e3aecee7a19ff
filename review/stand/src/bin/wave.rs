//! Case: more than half of the machines stop with all that is on them, while a few new ones boot.
//! Arguments: see `Stand::start`. Ends with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
//! run.

use review_stand::fleet::Job;
use review_stand::stand::{Deployment, Stand, id_of, job};
use serde_json::{Value, json};
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

/// Machines at the beginning, how many of them stop, and how many are rented in these seconds.
const MACHINES: usize = 28;
const STOPPED: usize = 18;
const MORE: usize = 4;

/// No job may wait so long beside room, in s: the bound of the page.
const WAIT_S: f64 = 90.0;

/// When the case ends at the latest, in s.
const END_S: f64 = 116.0;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let Some(mut stand) = Stand::start(&arguments, Deployment::swanvale(), 0) else {
        return ExitCode::from(2);
    };
    let (record, fleet) = (stand.record.clone(), stand.fleet.clone());
    // One task fills most of a machine, so each job has a machine of its own.
    let jobs: Vec<Value> = (1..=MACHINES)
        .map(|number| {
            let mut body = job(
                number,
                "slotting-sweep",
                "floorflow-01",
                "sweep",
                "standard",
                60.0,
                100.0,
            );
            body["RuntimeS"] = json!(1_000.0);
            body
        })
        .collect();
    thread::scope(|scope| {
        for body in &jobs {
            let stand = &stand;
            scope.spawn(move || stand.submit(0, body, 1_000.0));
        }
    });
    let runs_on = |body: &Value| {
        let pick = format!("{}/0", id_of(body));
        fleet.up().into_iter().find(|worker| {
            let worker = worker.lock().expect("a worker");
            worker
                .tasks
                .iter()
                .any(|task| task.pick == pick && task.status == "running")
        })
    };
    while !jobs.iter().all(|body| runs_on(body).is_some()) {
        if record.now() > 15.0 {
            record.line("the jobs didn't start");
            return ExitCode::from(2);
        }
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_secs(2));
    let Some(leader) = stand.leader() else {
        return ExitCode::from(2);
    };
    record.line(&format!("all jobs run, each on a machine; drover-{leader} leads"));
    // The work of the day goes on: more jobs come, for which machines are rented.
    let more: Vec<Value> = (1..=MORE)
        .map(|number| {
            let mut body = job(
                100 + number,
                "slotting-sweep",
                "floorflow-02",
                "sweep",
                "standard",
                60.0,
                100.0,
            );
            body["RuntimeS"] = json!(1_000.0);
            body
        })
        .collect();
    thread::scope(|scope| {
        for body in &more {
            let stand = &stand;
            scope.spawn(move || stand.submit(1, body, 1_000.0));
        }
    });
    thread::sleep(Duration::from_secs_f64(1.0));
    if stand.trouble {
        for worker in jobs[..STOPPED].iter().filter_map(runs_on) {
            fleet.stop_machine(&worker);
        }
        record.line("the trouble is over");
    }
    thread::sleep(Duration::from_secs_f64(2.0));
    // The jobs on the other machines end, so there is room for those that are lost.
    for body in &jobs[STOPPED..] {
        fleet.upload(
            id_of(body),
            Job {
                body: body.clone(),
                run_s: 0.0,
            },
        );
    }
    let mut beside_room = vec![None::<f64>; STOPPED];
    let mut longest = 0.0_f64;
    let mut said = 0.0;
    let over_at = record.now();
    while record.now() < END_S && longest < WAIT_S {
        thread::sleep(Duration::from_millis(250));
        let now = record.now();
        let ended = stand.controllers.ended();
        if !ended.is_empty() {
            record.line(&format!("controllers ended by themselves: {ended:?}"));
        }
        let free: Vec<(f64, f64, f64)> = fleet
            .up()
            .iter()
            .map(|worker| fleet.free(&worker.lock().expect("a worker")))
            .collect();
        let has_room = fleet.has_room(&jobs[0]);
        let mut waiting = 0;
        for (body, since) in jobs.iter().zip(&mut beside_room) {
            let waits = runs_on(body).is_none();
            waiting += usize::from(waits);
            if !waits || !has_room {
                *since = None;
                continue;
            }
            longest = longest.max(now - *since.get_or_insert(now));
        }
        if now >= said + 5.0 {
            said = now;
            record.line(&format!(
                "{waiting} of {STOPPED} jobs run nowhere; machines up: {}, free CPUs {:?}; leader {:?}",
                free.len(),
                free.iter().map(|(cpus, ..)| *cpus).collect::<Vec<_>>(),
                stand.leader()
            ));
        }
        if waiting == 0 && now > over_at + 15.0 {
            break;
        }
    }
    for body in &jobs[..3] {
        stand.ask((leader + 1) % 3, "GET", &format!("/v1/jobs/{}", id_of(body)), 2.0);
    }
    fleet.stop();
    stand.record_logs(&["error", "deposed", "elected", "scale-in", "lease expired"], 20);
    let broken = longest >= WAIT_S;
    record.line(&format!(
        "longest wait beside room: {longest:.1} s; {}",
        if broken { "BROKEN" } else { "held" }
    ));
    drop(stand);
    if broken {
        ExitCode::from(1)
    } else {
        ExitCode::SUCCESS
    }
}
