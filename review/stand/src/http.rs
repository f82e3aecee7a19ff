//! HTTP/1.1 over loopback: a server with a thread for each connection, and a client.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// What a handler returns: an answer, or none, in which case the connection is closed without one.
pub type Answer = Option<(u16, String)>;

/// A handler of requests: method, path with query, body.
pub type Handler = dyn Fn(&str, &str, &[u8]) -> Answer + Send + Sync;

/// Serves requests on a free loopback port until the process ends; returns the address.
pub fn serve(handler: Arc<Handler>) -> SocketAddrV4 {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let Ok(SocketAddr::V4(addr)) = listener.local_addr() else {
        panic!("not an IPv4 address")
    };
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    addr
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let mut input = Vec::new();
    while let Some((head, body)) = read_message(&mut stream, &mut input, None) {
        let mut words = head.split_whitespace();
        let (Some(method), Some(path)) = (words.next(), words.next()) else {
            return;
        };
        let Some((status, text)) = handler(method, path, &body) else {
            return;
        };
        let answer = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Reads one message: its head, and its body by `Content-Length`.
fn read_message(
    stream: &mut TcpStream,
    input: &mut Vec<u8>,
    deadline: Option<Instant>,
) -> Option<(String, Vec<u8>)> {
    let mut chunk = [0; 16 * 1024];
    loop {
        if let Some(end) = input.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&input[..end]).into_owned();
            let length = head
                .lines()
                .filter_map(|line| line.split_once(':'))
                .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, value)| value.trim().parse::<usize>().ok())
                .unwrap_or(0);
            if input.len() >= end + 4 + length {
                let body = input[end + 4..end + 4 + length].to_vec();
                input.drain(..end + 4 + length);
                return Some((head, body));
            }
        }
        if let Some(deadline) = deadline {
            let left = deadline.checked_duration_since(Instant::now())?;
            stream
                .set_read_timeout(Some(left.max(Duration::from_millis(1))))
                .ok()?;
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => input.extend_from_slice(&chunk[..count]),
        }
    }
}

/// Sends a request on a connection of its own; `None` if no answer came in time.
pub fn call(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(to), timeout).ok()?;
    let _ = stream.set_nodelay(true);
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.set_write_timeout(Some(timeout)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let (head, body) = read_message(&mut stream, &mut Vec::new(), Some(deadline))?;
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

/// A client that keeps its connection open.
#[derive(Default)]
pub struct Client {
    open: Option<(SocketAddrV4, TcpStream)>,
}

impl Client {
    pub fn close(&mut self) {
        self.open = None;
    }

    /// Sends a request on the open connection, or on a new one if there is none to this address.
    /// Without an answer in time the connection is closed.
    pub fn call(
        &mut self,
        to: SocketAddrV4,
        method: &str,
        path: &str,
        body: &str,
        timeout: Duration,
    ) -> Option<(u16, String)> {
        let deadline = Instant::now() + timeout;
        let mut stream = match self.open.take() {
            Some((addr, stream)) if addr == to => stream,
            _ => TcpStream::connect_timeout(&SocketAddr::V4(to), timeout).ok()?,
        };
        let _ = stream.set_nodelay(true);
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.set_write_timeout(Some(timeout)).ok()?;
        stream.write_all(request.as_bytes()).ok()?;
        let (head, body) = read_message(&mut stream, &mut Vec::new(), Some(deadline))?;
        let status = head.split_whitespace().nth(1)?.parse().ok()?;
        let closes = head
            .lines()
            .any(|line| line.to_ascii_lowercase().replace(' ', "") == "connection:close");
        if !closes {
            self.open = Some((to, stream));
        }
        Some((status, String::from_utf8_lossy(&body).into_owned()))
    }
}
