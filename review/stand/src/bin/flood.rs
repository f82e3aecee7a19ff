//! Case: the answer to one transaction is lost while a guest team's large array starts.
//! Arguments: see `Stand::start`. Ends with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
//! run.

use review_stand::stand::{Deployment, Stand, id_of, job};
use serde_json::{Value, json};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// For how long the connection with the lost answer stays open and silent, in s; the controller gives it up
/// before.
const SILENT_S: u64 = 6;

/// No job may wait so long beside room, in s: the bound of the page.
const WAIT_S: f64 = 90.0;

/// When the case ends at the latest, in s.
const END_S: f64 = 114.0;

/// How long a task runs, in s.
const RUN_S: f64 = 4.0;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let Some(mut stand) = Stand::start(&arguments, Deployment::swanvale(), 10_000_000) else {
        return ExitCode::from(2);
    };
    let (record, fleet) = (stand.record.clone(), stand.fleet.clone());
    fleet.brief.store(true, Ordering::Relaxed);
    // `fleet-replay` as the day file of the guests has it.
    let mut array = job(1, "fleet-replay", "goldfields-freight", "sweep", "low", 0.25, 0.9);
    array["Picks"] = json!(25_000);
    array["RuntimeS"] = json!(RUN_S);
    array["Loaners"] = json!(true);
    if stand.trouble {
        let (lines, is_over) = (record.clone(), AtomicBool::new(false));
        *stand.hook.lock().expect("the hook") = Some(Arc::new(move |node, method, path, body| {
            let text = String::from_utf8_lossy(body);
            let records_starts = method == "POST" && path == "/multi" && text.contains("\"Put\":\"s/");
            if records_starts && text.contains("wk-000001") && !is_over.swap(true, Ordering::Relaxed) {
                lines.line(&format!(
                    "state service: a transaction of drover-{node} is carried out, its answer is lost"
                ));
                thread::sleep(Duration::from_secs(SILENT_S));
            }
        }));
    }
    if !matches!(stand.submit(0, &array, RUN_S), 200 | 201) {
        return ExitCode::from(2);
    }
    // `pickpath-live`, submitted behind it.
    let mut service = job(
        2,
        "pickpath-live",
        "floorflow-00",
        "daemon",
        "critical",
        8.0,
        29.0,
    );
    service["Gpus"] = json!(1.0);
    service["RuntimeS"] = json!(0.0);
    thread::sleep(Duration::from_secs(8));
    if !matches!(stand.submit(1, &service, 0.0), 200 | 201) {
        return ExitCode::from(2);
    }
    let jobs = [array, service];
    // Since when each waiting job had room on a machine, without a break.
    let mut beside_room = [None::<f64>; 2];
    let mut longest = [0.0_f64; 2];
    let mut said = 0.0;
    while record.now() < END_S {
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
        let mut waiting = [0; 2];
        for (at, body) in jobs.iter().enumerate() {
            waiting[at] = waiting_picks(&fleet.started.lock().expect("started"), body).len();
            let has_room = fleet.has_room(body);
            if waiting[at] == 0 || !has_room {
                beside_room[at] = None;
                continue;
            }
            longest[at] = longest[at].max(now - *beside_room[at].get_or_insert(now));
        }
        if now >= said + 2.0 {
            said = now;
            let empty = free.iter().filter(|(cpus, ..)| *cpus == 96.0).count();
            record.line(&format!(
                "tasks waiting: {} of the array, {} of the service; done: {}; machines up: {}, without any task: {empty}",
                waiting[0], waiting[1], fleet.done_count(), free.len()
            ));
        }
        if fleet.done_count() == 25_000 && waiting[1] == 0 {
            break;
        }
        if beside_room.iter().flatten().any(|since| now - since >= WAIT_S) {
            break;
        }
    }
    for body in &jobs {
        let path = format!("/v1/jobs/{}", id_of(body));
        for node in 0..3 {
            stand.ask(node, "GET", &path, 2.0);
        }
        let picks = waiting_picks(&fleet.started.lock().expect("started"), body);
        record.line(&format!(
            "{}: {} tasks never started: {:?} ...",
            id_of(body),
            picks.len(),
            &picks[..picks.len().min(8)]
        ));
    }
    fleet.stop();
    stand.record_logs(&["shard", "error"], 8);
    let broken = longest.iter().any(|waited| *waited >= WAIT_S);
    record.line(&format!(
        "longest wait beside room: {:.1} s of the array, {:.1} s of the service; {}",
        longest[0],
        longest[1],
        if broken { "BROKEN" } else { "held" }
    ));
    drop(stand);
    if broken {
        ExitCode::from(1)
    } else {
        ExitCode::SUCCESS
    }
}

/// Tasks of a job that were never on a machine.
fn waiting_picks(started: &std::collections::BTreeSet<String>, body: &Value) -> Vec<String> {
    let picks = body["Picks"].as_u64().unwrap_or(1);
    (0..picks)
        .map(|pick| format!("{}/{pick}", id_of(body)))
        .filter(|pick| !started.contains(pick))
        .collect()
}
