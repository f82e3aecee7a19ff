//! Bodies that are no submission, sent to a real controller on loopback: each gets a clear status, and
//! the controller goes on. Time is only an upper bound: nothing is judged by how long it took.

use indigopath_simulator::controllers::{Controllers, addresses, small_cloud, worker_timings};
use indigopath_simulator::licence_server::LicenceServer;
use indigopath_simulator::loopback::LoopbackServices;
use serde_json::{Value, json};
use std::io::Write;
use std::net::{Shutdown, SocketAddrV4, TcpStream};
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for the controller to answer at all, in s.
const LONGEST_S: u64 = 60;

/// Status and text of the answer to a submission, once it can be decided.
fn submit(at: SocketAddrV4, body: &[u8]) -> (u16, String) {
    let agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(LONGEST_S)))
        .build()
        .new_agent();
    let began = Instant::now();
    loop {
        let answer = agent.post(format!("http://{at}/v1/jobs")).send(body);
        if let Ok(mut answer) = answer
            && answer.status() != 503
        {
            let text = answer.body_mut().read_to_string().expect("text");
            return (answer.status().as_u16(), text);
        }
        assert!(began.elapsed() < Duration::from_secs(LONGEST_S), "no answer");
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn whatever_body_comes_gets_a_clear_status() {
    let nodes = addresses(18_390)[..1].to_vec();
    let at = nodes[0];
    let live = LoopbackServices::start(
        small_cloud(),
        LicenceServer::default(),
        worker_timings(),
        nodes.clone(),
    );
    let program = PathBuf::from(env!("CARGO_BIN_EXE_indigopath"));
    let teams = json!([{ "name": "vision", "gpus": 8.0, "gpus_max": 16.0 }]);
    let mut controllers = Controllers::new(program, "intake", nodes, &live, &teams, "");
    controllers.restart_stopped();
    let good = json!({
        "Id": "wk-1", "Lane": "train", "Crew": "vision", "Shape": "sweep", "Urgency": "standard", "Picks": 1,
        "Cpus": 1.0, "Gpus": 0.0, "MemGb": 1.0, "Kit": "img", "PullGb": 0.1, "OneZone": false, "Apart": false,
        "Loaners": true, "RuntimeS": 1.0, "StashEveryS": 0.0, "StashS": 0.0,
    });
    let with = |field: &str, value: Value| {
        let mut body = good.clone();
        body[field] = value;
        body.to_string()
    };
    for field in good.as_object().unwrap().keys() {
        let mut body = good.clone();
        body.as_object_mut().unwrap().remove(field);
        let (status, text) = submit(at, body.to_string().as_bytes());
        assert!(
            status == 400 && text.contains(field),
            "without {field}: {status} {text}"
        );
        let (status, text) = submit(at, with(field, Value::Null).as_bytes());
        assert!(
            status == 400 && text.contains(field),
            "{field} null: {status} {text}"
        );
    }
    let full = with("X", " ".repeat(64 * 1024 - 8 - good.to_string().len()).into());
    assert_eq!(full.len(), 64 * 1024 - 1);
    let deep = "[".repeat(64 * 1024);
    for (body, wanted) in [
        ("", 400),
        ("[]", 400),
        (&deep, 400),
        (&good.to_string()[1..], 400),
        (&good.to_string()[..50], 400),
        (&with("Crew", "nobody".into()), 422),
        (&with("Gpus", 5.into()), 422),
        (&with("Rigs", json!(["none"])), 422),
        (&format!("{full}  "), 413),
        // What may be null is missing in it: accepted, and known from then on, whatever comes.
        (&full, 201),
        (&with("Cpus", "x".into()), 200),
        (r#"{"Id":"wk-1"}"#, 200),
        ("wk-1", 400),
    ] {
        let (status, text) = submit(at, body.as_bytes());
        assert_eq!(status, wanted, "{body:.60}: {text}");
        assert!(text.len() < 4096, "{} bytes", text.len());
    }
    // Cut off in the middle of a head and of a body.
    for part in [
        "POST /v1/jobs HT",
        "POST /v1/jobs HTTP/1.1\r\nContent-Length: 90\r\n\r\n{\"Id\":",
    ] {
        let mut stream = TcpStream::connect(at).expect("a connection");
        stream.write_all(part.as_bytes()).expect("sent");
        stream.shutdown(Shutdown::Write).expect("closed");
    }
    assert_eq!(submit(at, b"{}").0, 400);
    controllers.restart_stopped();
}
