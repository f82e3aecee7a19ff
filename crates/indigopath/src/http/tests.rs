use super::*;

#[test]
fn incomplete_requests_are_not_returned() {
    let bytes = write_request("POST", "/v1/jobs", "here", b"{\"a\":1}");
    for cut in 0..bytes.len() {
        assert_eq!(parse_request(&bytes[..cut], false), Ok(None), "cut at {cut}");
    }
    let request = parse_request(&bytes, false).unwrap().unwrap();
    assert_eq!(request.body, b"{\"a\":1}");
    assert_eq!(request.length, bytes.len());
    assert!(request.keep_alive);
}

#[test]
fn invalid_requests_have_distinct_statuses() {
    let status_of = |text: &str| parse_request(text.as_bytes(), true).unwrap_err().status();
    assert_eq!(status_of("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n"), 413);
    assert_eq!(status_of("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"), 400);
    assert_eq!(
        status_of("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"),
        400
    );
    assert_eq!(
        status_of("POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n"),
        501
    );
    assert_eq!(status_of("\0\0\0\0"), 400);
    assert_eq!(
        status_of(&format!("GET /{} HTTP/1.1\r\n", "a".repeat(MAX_HEAD_BYTES))),
        431
    );
}

#[test]
fn submit_files_may_be_longer_than_other_bodies() {
    let file =
        |length: usize| format!("POST /v1/condor/clusters HTTP/1.1\r\nContent-Length: {length}\r\n\r\n");
    assert_eq!(
        parse_request(file(MAX_SUBMIT_BODY_BYTES).as_bytes(), true),
        Ok(None)
    );
    assert_eq!(
        parse_request(file(MAX_SUBMIT_BODY_BYTES).as_bytes(), false),
        Err(MessageError::BodyTooLarge)
    );
    assert_eq!(
        parse_request(file(MAX_SUBMIT_BODY_BYTES + 1).as_bytes(), true),
        Err(MessageError::BodyTooLarge)
    );
}

#[test]
fn responses_end_by_length_chunks_or_close() {
    let mut bytes = Vec::new();
    write_response(&mut bytes, 503, Some(1), ContentType::Json, true, b"{}");
    let response = parse_response(&bytes, false).unwrap().unwrap();
    assert_eq!(
        (response.status, response.keep_alive, response.body.as_slice()),
        (503, true, &b"{}"[..])
    );

    let chunks = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    for cut in 0..chunks.len() {
        assert_eq!(parse_response(&chunks[..cut], false), Ok(None), "cut at {cut}");
    }
    assert_eq!(parse_response(chunks, false).unwrap().unwrap().body, b"abcde");

    let until_close = b"HTTP/1.1 200 OK\r\n\r\nrest";
    assert_eq!(parse_response(until_close, false), Ok(None));
    assert_eq!(parse_response(until_close, true).unwrap().unwrap().body, b"rest");
}
