use super::*;

#[test]
fn missing_nodes_are_reported_and_team_names_are_escaped() {
    let nodes = Nodes {
        nodes: Vec::new(),
        team: None,
        format: Format::Table,
    };
    let error = nodes.get::<serde_json::Value>("/v1/counts").unwrap_err();
    assert!(error.to_string().contains("--node"));
    let team_query = team_query_string("red team/é");
    assert_eq!(
        indigopath_controller::job_api::authorization::team_in_query(&team_query[1..]).as_deref(),
        Some("red team/é")
    );
    let rejected = ClientError::Refused(422, r#"{"error":"no such team"}"#.to_owned());
    assert_eq!(rejected.to_string(), "no such team");
}

/// Starts a controller that answers each connection with the next of these statuses. The thread
/// returns how many it has answered.
fn controller(statuses: &'static [u16]) -> (SocketAddrV4, std::thread::JoinHandle<usize>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let std::net::SocketAddr::V4(addr) = listener.local_addr().unwrap() else {
        panic!("no IPv4 address");
    };
    let server = std::thread::spawn(move || {
        for status in statuses {
            let (mut stream, _) = listener.accept().unwrap();
            let mut request = [0; 1_024];
            let _ = std::io::Read::read(&mut stream, &mut request);
            let response =
                format!("HTTP/1.1 {status} x\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{{}}");
            std::io::Write::write_all(&mut stream, response.as_bytes()).unwrap();
        }
        statuses.len()
    });
    (addr, server)
}

fn nodes(addr: SocketAddrV4) -> Nodes {
    Nodes {
        nodes: vec![addr],
        team: None,
        format: Format::Json,
    }
}

// Guards against a command that fails at once during a change of leader. Each controller was tried only
// once, although 421 and 503 are temporary and the next leader was ready a second later. Seen in the loopback
// test with seed 309 at load 31: `counts --format json` printed nothing just after "leader deposed token=318".
#[test]
fn requests_are_retried_during_a_change_of_leader() {
    let (addr, server) = controller(&[421, 503, 200]);
    let response: serde_json::Value = nodes(addr).get("/v1/counts").unwrap();
    assert_eq!(response, serde_json::json!({}));
    assert_eq!(server.join().unwrap(), 3);
}

// Neither a rejection nor the absence of all controllers is retried.
#[test]
fn permanent_failures_are_reported_at_once() {
    let (addr, server) = controller(&[403]);
    let rejected = nodes(addr)
        .get::<serde_json::Value>("/v1/counts/holders")
        .unwrap_err();
    assert!(matches!(rejected, ClientError::Refused(403, _)), "{rejected}");
    server.join().unwrap();
    let started_at = std::time::Instant::now();
    let unreachable = nodes(addr).get::<serde_json::Value>("/v1/counts").unwrap_err();
    assert!(matches!(unreachable, ClientError::NoResponse(_)), "{unreachable}");
    assert!(started_at.elapsed() < LEADER_TIMEOUT, "the request was retried");
}
