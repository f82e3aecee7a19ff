//! The subset of HTTP/1.1 that the platform uses: persistent connections without pipelining, and
//! bodies delimited by their length, by chunks or, in responses, by the end of the connection.

use httparse::{Header, Status};
use indigopath_controller::constants::{MAX_BODY_BYTES, MAX_SUBMIT_BODY_BYTES};
use indigopath_controller::io::ContentType;
use indigopath_controller::protocol::paths;
use thiserror::Error;

/// Maximum size of a message head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Maximum number of header fields of a message.
const MAX_HEADERS: usize = 64;

/// Maximum size of a response from another system, in bytes: responses to watches are not limited
/// otherwise, and memory is.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

#[derive(Debug, PartialEq, Eq)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub keep_alive: bool,
    pub body: Vec<u8>,
    /// Size of the message, in bytes.
    pub length: usize,
}

#[derive(Debug, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub keep_alive: bool,
    pub body: Vec<u8>,
    pub length: usize,
}

/// Why a message cannot be processed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum MessageError {
    #[error("malformed message")]
    Malformed,
    #[error("the body is too large")]
    BodyTooLarge,
    #[error("the head is too large")]
    HeadTooLarge,
    #[error("a transfer coding that is not served")]
    UnsupportedTransferCoding,
}

impl MessageError {
    pub fn status(self) -> u16 {
        match self {
            MessageError::Malformed => 400,
            MessageError::BodyTooLarge => 413,
            MessageError::HeadTooLarge => 431,
            MessageError::UnsupportedTransferCoding => 501,
        }
    }
}

/// What the headers specify about the body and the connection.
#[derive(Debug, Default)]
struct Framing {
    length: Option<usize>,
    chunked: bool,
    close: bool,
    keep_alive: bool,
}

fn parse_framing(headers: &[Header<'_>]) -> Result<Framing, MessageError> {
    let mut framing = Framing::default();
    for header in headers {
        let text = || {
            std::str::from_utf8(header.value)
                .map(str::trim)
                .map_err(|_| MessageError::Malformed)
        };
        if header.name.eq_ignore_ascii_case("content-length") {
            let length: usize = text()?.parse().map_err(|_| MessageError::Malformed)?;
            if framing.length.is_some_and(|other| other != length) {
                return Err(MessageError::Malformed);
            }
            framing.length = Some(length);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if !text()?.eq_ignore_ascii_case("chunked") {
                return Err(MessageError::UnsupportedTransferCoding);
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

/// Maximum size of an incomplete request, in bytes, unless it is a submit file.
pub const MAX_BUFFERED_REQUEST_BYTES: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES;

/// Parses the request at the start of `bytes`; returns `None` while it is incomplete. If
/// `submit_files` is set, requests with submit files may have longer bodies.
pub fn parse_request(bytes: &[u8], submit_files: bool) -> Result<Option<Request>, MessageError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head = match request.parse(bytes) {
        Ok(Status::Complete(head)) => head,
        Ok(Status::Partial) if bytes.len() > MAX_HEAD_BYTES => return Err(MessageError::HeadTooLarge),
        Ok(Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(MessageError::HeadTooLarge),
        Err(_) => return Err(MessageError::Malformed),
    };
    let framing = parse_framing(request.headers)?;
    let max_body_bytes = if submit_files && request.path == Some(paths::CLUSTERS) {
        MAX_SUBMIT_BODY_BYTES
    } else {
        MAX_BODY_BYTES
    };
    let is_http_1_1 = request.version == Some(1);
    let keep_alive = !framing.close && (is_http_1_1 || framing.keep_alive);
    let (body, length) = if framing.chunked {
        match parse_chunked(&bytes[head..], max_body_bytes)? {
            Some((body, length)) => (body, head + length),
            None => return Ok(None),
        }
    } else {
        let length = framing.length.unwrap_or(0);
        if length > max_body_bytes {
            return Err(MessageError::BodyTooLarge);
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

/// Parses the response at the start of `bytes`; returns `None` while it is incomplete. `closed` means
/// that no more bytes will arrive.
pub fn parse_response(bytes: &[u8], closed: bool) -> Result<Option<Response>, MessageError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let head = match response.parse(bytes) {
        Ok(Status::Complete(head)) => head,
        Ok(Status::Partial) if bytes.len() > MAX_HEAD_BYTES => return Err(MessageError::HeadTooLarge),
        Ok(Status::Partial) => return Ok(None),
        Err(_) => return Err(MessageError::Malformed),
    };
    let status = response.code.unwrap_or(0);
    let framing = parse_framing(response.headers)?;
    let mut keep_alive = !framing.close && response.version == Some(1);
    let (body, length) = if status == 204 || status == 304 {
        (Vec::new(), head)
    } else if framing.chunked {
        match parse_chunked(&bytes[head..], MAX_RESPONSE_BYTES)? {
            Some((body, length)) => (body, head + length),
            None => return Ok(None),
        }
    } else if let Some(length) = framing.length {
        if length > MAX_RESPONSE_BYTES {
            return Err(MessageError::BodyTooLarge);
        }
        let Some(body) = bytes.get(head..head + length) else {
            return Ok(None);
        };
        (body.to_vec(), head + length)
    } else if closed {
        keep_alive = false;
        (bytes[head..].to_vec(), bytes.len())
    } else if bytes.len() > MAX_RESPONSE_BYTES {
        return Err(MessageError::BodyTooLarge);
    } else {
        return Ok(None);
    };
    Ok(Some(Response {
        status,
        keep_alive,
        body,
        length,
    }))
}

/// Parses a chunked body and returns it with its encoded size, or `None` while it is incomplete.
fn parse_chunked(bytes: &[u8], max_body_bytes: usize) -> Result<Option<(Vec<u8>, usize)>, MessageError> {
    let mut body = Vec::new();
    let mut position = 0;
    loop {
        let (start, size) = match httparse::parse_chunk_size(&bytes[position..]) {
            Ok(Status::Complete((start, size))) => (start, size),
            Ok(Status::Partial) => return Ok(None),
            Err(_) => return Err(MessageError::Malformed),
        };
        let size = usize::try_from(size).map_err(|_| MessageError::BodyTooLarge)?;
        if body.len().saturating_add(size) > max_body_bytes {
            return Err(MessageError::BodyTooLarge);
        }
        position += start;
        if size == 0 {
            // Skips trailers, if any, up to the empty line.
            let rest = &bytes[position..];
            if rest.starts_with(b"\r\n") {
                return Ok(Some((body, position + 2)));
            }
            return match rest.windows(4).position(|window| window == b"\r\n\r\n") {
                Some(end) => Ok(Some((body, position + end + 4))),
                None if rest.len() > MAX_HEAD_BYTES => Err(MessageError::HeadTooLarge),
                None => Ok(None),
            };
        }
        let Some(chunk) = bytes.get(position..position + size) else {
            return Ok(None);
        };
        body.extend_from_slice(chunk);
        match bytes.get(position + size..position + size + 2) {
            Some(b"\r\n") => position += size + 2,
            Some(_) => return Err(MessageError::Malformed),
            None => return Ok(None),
        }
    }
}

fn reason_phrase(status: u16) -> &'static str {
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

pub fn write_response(
    out: &mut Vec<u8>,
    status: u16,
    retry_after_s: Option<u64>,
    content_type: ContentType,
    keep_alive: bool,
    body: &[u8],
) {
    let content_type = match content_type {
        ContentType::Json => "application/json",
        ContentType::Metrics => "application/openmetrics-text; version=1.0.0; charset=utf-8",
    };
    let mut head = format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\n",
        reason_phrase(status),
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
