use super::*;

#[test]
fn requests_come_whole_or_not_at_all() {
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
fn what_cannot_be_served_is_told_apart() {
    let refused = |text: &str| parse_request(text.as_bytes(), true).unwrap_err().status();
    assert_eq!(refused("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n"), 413);
    assert_eq!(refused("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"), 400);
    assert_eq!(
        refused("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"),
        400
    );
    assert_eq!(refused("POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n"), 501);
    assert_eq!(refused("\0\0\0\0"), 400);
    assert_eq!(
        refused(&format!("GET /{} HTTP/1.1\r\n", "a".repeat(MAX_HEAD))),
        431
    );
}

#[test]
fn a_submit_file_may_be_longer() {
    let file =
        |length: usize| format!("POST /v1/condor/clusters HTTP/1.1\r\nContent-Length: {length}\r\n\r\n");
    assert_eq!(
        parse_request(file(MAX_SUBMIT_BODY_BYTES).as_bytes(), true),
        Ok(None)
    );
    assert_eq!(
        parse_request(file(MAX_SUBMIT_BODY_BYTES).as_bytes(), false),
        Err(Broken::TooLarge)
    );
    assert_eq!(
        parse_request(file(MAX_SUBMIT_BODY_BYTES + 1).as_bytes(), true),
        Err(Broken::TooLarge)
    );
}

#[test]
fn answers_by_length_chunks_or_close() {
    let mut bytes = Vec::new();
    write_answer(&mut bytes, 503, Some(1), ContentType::Json, true, b"{}");
    let answer = parse_answer(&bytes, false).unwrap().unwrap();
    assert_eq!(
        (answer.status, answer.keep_alive, answer.body.as_slice()),
        (503, true, &b"{}"[..])
    );

    let chunks = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    for cut in 0..chunks.len() {
        assert_eq!(parse_answer(&chunks[..cut], false), Ok(None), "cut at {cut}");
    }
    assert_eq!(parse_answer(chunks, false).unwrap().unwrap().body, b"abcde");

    let open = b"HTTP/1.1 200 OK\r\n\r\nrest";
    assert_eq!(parse_answer(open, false), Ok(None));
    assert_eq!(parse_answer(open, true).unwrap().unwrap().body, b"rest");
}
