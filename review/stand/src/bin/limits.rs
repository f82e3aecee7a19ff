//! Case: the state service lowers its limits to those that `state.next` in the settings names.
//! Arguments: see `Stand::start`. Ends with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
//! run.

use review_stand::stand::{Deployment, Stand, id_of, job};
use review_stand::state::Limits;
use serde_json::json;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

/// The limits after the change: half of those before in changes and sizes.
const NEXT: Limits = Limits {
    rps: 150.0,
    write_rps: 25.0,
    value_kb: 16.0,
    txn_ops: 6,
};

/// No job may wait so long beside room, in s: the bound of the page.
const WAIT_S: f64 = 90.0;

/// When the case ends at the latest, in s.
const END_S: f64 = 114.0;

/// One-task jobs that end at about the same time, and how long they run, in s.
const JOBS: usize = 16;
const RUN_S: f64 = 3.0;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let mut deployment = Deployment::swanvale();
    deployment.next = Some(NEXT);
    let Some(mut stand) = Stand::start(&arguments, deployment, 0) else {
        return ExitCode::from(2);
    };
    let (record, fleet) = (stand.record.clone(), stand.fleet.clone());
    // A service that runs throughout: its machine stays.
    let mut service = job(
        1,
        "pickpath-live",
        "floorflow-00",
        "daemon",
        "critical",
        8.0,
        29.0,
    );
    service["Gpus"] = json!(1.0);
    service["RuntimeS"] = json!(0.0);
    stand.submit(0, &service, 0.0);
    let is_running = |id: &str| {
        fleet
            .started
            .lock()
            .expect("started")
            .contains(&format!("{id}/0"))
    };
    while !is_running(id_of(&service)) {
        if record.now() > 15.0 {
            record.line("the service didn't start");
            return ExitCode::from(2);
        }
        thread::sleep(Duration::from_millis(50));
    }
    if stand.trouble {
        stand.state.set_limits(NEXT);
        record.line(&format!("the state service lowers its limits: {NEXT:?}"));
    }
    let batch = |number: usize| {
        let mut body = job(
            number,
            "slotting-sweep",
            "floorflow-01",
            "sweep",
            "standard",
            2.0,
            6.0,
        );
        body["RuntimeS"] = json!(RUN_S);
        body
    };
    thread::scope(|scope| {
        for number in 0..JOBS {
            let (stand, batch) = (&stand, &batch);
            scope.spawn(move || stand.submit(number, &batch(100 + number), RUN_S));
        }
    });
    let first_ids: Vec<String> = (0..JOBS)
        .map(|number| id_of(&batch(100 + number)).to_owned())
        .collect();
    while !first_ids.iter().all(|id| is_running(id)) && record.now() < 20.0 {
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_secs_f64(RUN_S + 1.0));
    // One more job, for which the machine has room.
    let last = batch(200);
    if !matches!(stand.submit(1, &last, RUN_S), 200 | 201) {
        record.line("the last job wasn't accepted");
        return ExitCode::from(2);
    }
    let mut beside_room = None;
    let mut longest = 0.0_f64;
    let mut said = 0.0;
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
        if now >= said + 10.0 {
            said = now;
            record.line(&format!(
                "done: {} tasks; last job runs or ran: {}; free CPUs, GPUs, GB by machine: {free:?}",
                fleet.done_count(),
                is_running(id_of(&last))
            ));
        }
        if is_running(id_of(&last)) {
            break;
        }
        match free
            .iter()
            .any(|(cpus, _, mem_gb)| *cpus >= 2.0 && *mem_gb >= 6.0)
        {
            true => longest = longest.max(now - *beside_room.get_or_insert(now)),
            false => beside_room = None,
        }
    }
    thread::sleep(Duration::from_secs(1));
    for id in first_ids.iter().take(3).map(String::as_str).chain([id_of(&last)]) {
        stand.ask(2, "GET", &format!("/v1/jobs/{id}"), 2.0);
    }
    fleet.stop();
    stand.record_logs(&["rejected", "error", "deposed", "elected"], 6);
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
