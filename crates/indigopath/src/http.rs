//! HTTP/1.1 as far as the platform speaks it: one request at a time on a kept-open
//! connection, bodies by length (or, in answers, chunked or until the close).

use httparse::{Header, Status};
use indigopath_controller::constants::{MAX_BODY_BYTES, MAX_SUBMIT_BODY_BYTES};
use indigopath_controller::io::ContentType;
use indigopath_controller::protocol::paths;
use thiserror::Error;

/// Largest head of a message, in bytes.
const MAX_HEAD: usize = 16 * 1024;

/// Most header lines of a message.
const MAX_HEADERS: usize = 64;

/// Largest answer read from another system, in bytes: watches have no limit of
/// their own, and memory has.
const MAX_ANSWER: usize = 16 * 1024 * 1024;

#[derive(Debug, PartialEq, Eq)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub keep_alive: bool,
    pub body: Vec<u8>,
    /// Bytes that it took.
    pub length: usize,
}

#[derive(Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub keep_alive: bool,
    pub body: Vec<u8>,
    pub length: usize,
}

/// Why a message cannot be served; the status that says so, where one can.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Broken {
    #[error("malformed message")]
    Malformed,
    #[error("the body is too large")]
    TooLarge,
    #[error("the head is too large")]
    HeadTooLarge,
    #[error("a transfer coding that is not served")]
    Coding,
}

impl Broken {
    pub fn status(self) -> u16 {
        match self {
            Broken::Malformed => 400,
            Broken::TooLarge => 413,
            Broken::HeadTooLarge => 431,
            Broken::Coding => 501,
        }
    }
}

/// What the headers say of the body and the connection.
#[derive(Debug, Default)]
struct Framing {
    length: Option<usize>,
    chunked: bool,
    close: bool,
    keep_alive: bool,
}

fn framing(headers: &[Header<'_>]) -> Result<Framing, Broken> {
    let mut framing = Framing::default();
    for header in headers {
        let text = || {
            std::str::from_utf8(header.value)
                .map(str::trim)
                .map_err(|_| Broken::Malformed)
        };
        if header.name.eq_ignore_ascii_case("content-length") {
            let length: usize = text()?.parse().map_err(|_| Broken::Malformed)?;
            if framing.length.is_some_and(|other| other != length) {
                return Err(Broken::Malformed);
            }
            framing.length = Some(length);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if !text()?.eq_ignore_ascii_case("chunked") {
                return Err(Broken::Coding);
            }
            framing.chunked = true;
        } else if header.name.eq_ignore_ascii_case("connection") {
            let value = text()?.to_ascii_lowercase();
            framing.close |= value.split(',').any(|part| part.trim() == "close");
            framing.keep_alive |= value.split(',').any(|part| part.trim() == "keep-alive");
        }
    }
    Ok(framing)
}

/// Most bytes that a request waits with for its end, unless it is a submit file.
pub const MAX_ORDINARY: usize = MAX_HEAD + MAX_BODY_BYTES;

/// Takes a request off the front of `bytes`, once it is whole. With `submit_files`, those may
/// have a longer body than others.
pub fn parse_request(bytes: &[u8], submit_files: bool) -> Result<Option<Request>, Broken> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head = match request.parse(bytes) {
        Ok(Status::Complete(head)) => head,
        Ok(Status::Partial) if bytes.len() > MAX_HEAD => return Err(Broken::HeadTooLarge),
        Ok(Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(Broken::HeadTooLarge),
        Err(_) => return Err(Broken::Malformed),
    };
    let framing = framing(request.headers)?;
    let most = if submit_files && request.path == Some(paths::CLUSTERS) {
        MAX_SUBMIT_BODY_BYTES
    } else {
        MAX_BODY_BYTES
    };
    let one_one = request.version == Some(1);
    let keep_alive = !framing.close && (one_one || framing.keep_alive);
    let (body, length) = if framing.chunked {
        match chunked(&bytes[head..], most)? {
            Some((body, length)) => (body, head + length),
            None => return Ok(None),
        }
    } else {
        let length = framing.length.unwrap_or(0);
        if length > most {
            return Err(Broken::TooLarge);
        }
        let Some(body) = bytes.get(head..head + length) else {
            return Ok(None);
        };
        (body.to_vec(), head + length)
    };
    Ok(Some(Request {
        method: request.method.unwrap_or_default().to_owned(),
        path: request.path.unwrap_or_default().to_owned(),
        keep_alive,
        body,
        length,
    }))
}

/// Takes an answer off the front of `bytes`, once it is whole. `closed`: no more
/// bytes will come.
pub fn parse_answer(bytes: &[u8], closed: bool) -> Result<Option<Answer>, Broken> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut answer = httparse::Response::new(&mut headers);
    let head = match answer.parse(bytes) {
        Ok(Status::Complete(head)) => head,
        Ok(Status::Partial) if bytes.len() > MAX_HEAD => return Err(Broken::HeadTooLarge),
        Ok(Status::Partial) => return Ok(None),
        Err(_) => return Err(Broken::Malformed),
    };
    let status = answer.code.unwrap_or(0);
    let framing = framing(answer.headers)?;
    let mut keep_alive = !framing.close && answer.version == Some(1);
    let (body, length) = if status == 204 || status == 304 {
        (Vec::new(), head)
    } else if framing.chunked {
        match chunked(&bytes[head..], MAX_ANSWER)? {
            Some((body, length)) => (body, head + length),
            None => return Ok(None),
        }
    } else if let Some(length) = framing.length {
        if length > MAX_ANSWER {
            return Err(Broken::TooLarge);
        }
        let Some(body) = bytes.get(head..head + length) else {
            return Ok(None);
        };
        (body.to_vec(), head + length)
    } else if closed {
        keep_alive = false;
        (bytes[head..].to_vec(), bytes.len())
    } else if bytes.len() > MAX_ANSWER {
        return Err(Broken::TooLarge);
    } else {
        return Ok(None);
    };
    Ok(Some(Answer {
        status,
        keep_alive,
        body,
        length,
    }))
}

/// A chunked body, once it is whole, and the bytes that it took.
fn chunked(bytes: &[u8], most: usize) -> Result<Option<(Vec<u8>, usize)>, Broken> {
    let mut body = Vec::new();
    let mut at = 0;
    loop {
        let (start, size) = match httparse::parse_chunk_size(&bytes[at..]) {
            Ok(Status::Complete((start, size))) => (start, size),
            Ok(Status::Partial) => return Ok(None),
            Err(_) => return Err(Broken::Malformed),
        };
        let size = usize::try_from(size).map_err(|_| Broken::TooLarge)?;
        if body.len().saturating_add(size) > most {
            return Err(Broken::TooLarge);
        }
        at += start;
        if size == 0 {
            // Trailers, if any, up to an empty line.
            let rest = &bytes[at..];
            if rest.starts_with(b"\r\n") {
                return Ok(Some((body, at + 2)));
            }
            return match rest.windows(4).position(|window| window == b"\r\n\r\n") {
                Some(end) => Ok(Some((body, at + end + 4))),
                None if rest.len() > MAX_HEAD => Err(Broken::HeadTooLarge),
                None => Ok(None),
            };
        }
        let Some(chunk) = bytes.get(at..at + size) else {
            return Ok(None);
        };
        body.extend_from_slice(chunk);
        match bytes.get(at + size..at + size + 2) {
            Some(b"\r\n") => at += size + 2,
            Some(_) => return Err(Broken::Malformed),
            None => return Ok(None),
        }
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

pub fn write_answer(
    out: &mut Vec<u8>,
    status: u16,
    retry_after_s: Option<u64>,
    content: ContentType,
    keep_alive: bool,
    body: &[u8],
) {
    let content = match content {
        ContentType::Json => "application/json",
        ContentType::Metrics => "application/openmetrics-text; version=1.0.0; charset=utf-8",
    };
    let mut head = format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: {content}\r\nContent-Length: {}\r\n",
        reason(status),
        body.len()
    );
    if let Some(seconds) = retry_after_s {
        head.push_str(&format!("Retry-After: {seconds}\r\n"));
    }
    if !keep_alive {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}

pub fn write_request(method: &str, path: &str, host: &str, body: &[u8]) -> Vec<u8> {
    let mut out = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n").into_bytes();
    if !body.is_empty() || method == "POST" {
        out.extend_from_slice(
            format!(
                "Content-Type: application/json\r\nContent-Length: {}\r\n",
                body.len()
            )
            .as_bytes(),
        );
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    out
}

#[cfg(test)]
mod tests;
