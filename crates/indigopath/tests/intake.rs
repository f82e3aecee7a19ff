//! Loopback test that sends invalid submissions to a real controller: each gets a definite status, and
//! the controller keeps running. Times are only upper bounds: no check depends on how long something took.

use indigopath_simulator::controllers::{Controllers, addresses, small_cloud, worker_timings};
use indigopath_simulator::licence_server::LicenceServer;
use indigopath_simulator::loopback::LoopbackServices;
use serde_json::{Value, json};
use std::io::Write;
use std::net::{Shutdown, SocketAddrV4, TcpStream};
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for any response of the controller, in s.
const RESPONSE_TIMEOUT_S: u64 = 60;

/// Submits a body, retrying while the controller is unavailable, and returns the status and text of the
/// response.
fn submit(node_addr: SocketAddrV4, body: &[u8]) -> (u16, String) {
    let agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(RESPONSE_TIMEOUT_S)))
        .build()
        .new_agent();
    let started_at = Instant::now();
    loop {
        let response = agent.post(format!("http://{node_addr}/v1/jobs")).send(body);
        if let Ok(mut response) = response
            && response.status() != 503
        {
            let text = response.body_mut().read_to_string().expect("text");
            return (response.status().as_u16(), text);
        }
        assert!(
            started_at.elapsed() < Duration::from_secs(RESPONSE_TIMEOUT_S),
            "no response"
        );
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn every_submission_body_gets_a_definite_status() {
    let nodes = addresses(18_390)[..1].to_vec();
    let node_addr = nodes[0];
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
    let valid = json!({
        "Id": "wk-1", "Lane": "train", "Crew": "vision", "Shape": "sweep", "Urgency": "standard", "Picks": 1,
        "Cpus": 1.0, "Gpus": 0.0, "MemGb": 1.0, "Kit": "img", "PullGb": 0.1, "OneZone": false, "Apart": false,
        "Loaners": true, "RuntimeS": 1.0, "StashEveryS": 0.0, "StashS": 0.0,
    });
    let with_field = |field: &str, value: Value| {
        let mut body = valid.clone();
        body[field] = value;
        body.to_string()
    };
    for field in valid.as_object().unwrap().keys() {
        let mut body = valid.clone();
        body.as_object_mut().unwrap().remove(field);
        let (status, text) = submit(node_addr, body.to_string().as_bytes());
        assert!(
            status == 400 && text.contains(field),
            "without {field}: {status} {text}"
        );
        let (status, text) = submit(node_addr, with_field(field, Value::Null).as_bytes());
        assert!(
            status == 400 && text.contains(field),
            "{field} null: {status} {text}"
        );
    }
    let largest = with_field("X", " ".repeat(64 * 1024 - 8 - valid.to_string().len()).into());
    assert_eq!(largest.len(), 64 * 1024 - 1);
    let deeply_nested = "[".repeat(64 * 1024);
    for (body, expected_status) in [
        ("", 400),
        ("[]", 400),
        (&deeply_nested, 400),
        (&valid.to_string()[1..], 400),
        (&valid.to_string()[..50], 400),
        (&with_field("Crew", "nobody".into()), 422),
        (&with_field("Gpus", 5.into()), 422),
        (&with_field("Rigs", json!(["none"])), 422),
        (&format!("{largest}  "), 413),
        // The optional fields are missing here: it is accepted, and later submissions with its id get 200.
        (&largest, 201),
        (&with_field("Cpus", "x".into()), 200),
        (r#"{"Id":"wk-1"}"#, 200),
        ("wk-1", 400),
    ] {
        let (status, text) = submit(node_addr, body.as_bytes());
        assert_eq!(status, expected_status, "{body:.60}: {text}");
        assert!(text.len() < 4096, "{} bytes", text.len());
    }
    // Requests cut off in the head and in the body.
    for partial_request in [
        "POST /v1/jobs HT",
        "POST /v1/jobs HTTP/1.1\r\nContent-Length: 90\r\n\r\n{\"Id\":",
    ] {
        let mut stream = TcpStream::connect(node_addr).expect("a connection");
        stream.write_all(partial_request.as_bytes()).expect("sent");
        stream.shutdown(Shutdown::Write).expect("closed");
    }
    assert_eq!(submit(node_addr, b"{}").0, 400);
    controllers.restart_stopped();
}
