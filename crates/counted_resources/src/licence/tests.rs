use super::*;
use proptest::prelude::*;

const TEXT: &str = "\
lmstat - Copyright (c) 1989-2024. All Rights Reserved.
Flexible License Manager status on Tue 12/1/2026 09:12

License server status: 27000@licences
    License file(s) on licences: /opt/licence.dat:

  licences: license server UP (MASTER) v11.19

Feature usage info:

Users of other-tool:  (Total of 9 licenses issued;  Total of 1 license in use)

    al desk-1 desk-1:0 (v1.0) (licences/27000 101), start Tue 12/1 8:02

Users of layout-optimiser:  (Total of 6 licenses issued;  Total of 5 licenses in use)

  \"layout-optimiser\" v2.0, vendor: acme, expiry: permanent(no expiration date)
  floating license

    jo desk-7 desk-7:0 (v2.0) (licences/27000 301), start Mon 11/30 9:12
    indigo m-000231 /dev/tty (v2.0) (licences/27000 302), start Mon 11/30 9:13, 2 licenses
    1 RESERVATION for GROUP planning (licences/27000)

Users of uncounted-tool:  (Uncounted, node-locked)
Users of broken-tool:  (Error: 4 licenses, unsupported by licensed server)
";

#[test]
fn parses_one_feature() {
    let usage = parse_usage(TEXT, "layout-optimiser").unwrap();
    assert_eq!((usage.total, usage.in_use), (6, 5));
    assert_eq!(
        usage.seats,
        [
            ("desk-7".to_owned(), 1),
            ("m-000231".to_owned(), 2),
            (String::new(), 1)
        ]
    );
    // The seat of desk-7, the reservation, and one seat that is not listed.
    assert_eq!(usage.external_seats(|host| host.starts_with("m-"), 2), 3);
    // The unlisted seat may be the cluster's, checked out after the list was made.
    assert_eq!(usage.external_seats(|host| host.starts_with("m-"), 3), 2);
    assert_eq!(parse_usage(TEXT, "other-tool").unwrap().in_use, 1);
}

#[test]
fn text_without_usage_is_an_error() {
    assert_eq!(parse_usage(TEXT, "layout"), Err(UsageParseError::Absent));
    assert_eq!(parse_usage("", "layout"), Err(UsageParseError::Absent));
    assert!(matches!(
        parse_usage(TEXT, "uncounted-tool"),
        Err(UsageParseError::NoTotal(_))
    ));
    assert!(matches!(
        parse_usage(TEXT, "broken-tool"),
        Err(UsageParseError::NoTotal(_))
    ));
    assert_eq!(
        parse_usage(&"x\n".repeat(MAX_SERVER_ANSWER_LINES + 1), "a"),
        Err(UsageParseError::TooLong)
    );
}

#[test]
fn last_usage_of_a_silent_server_stays_valid_for_a_while() {
    let mut feed = UsageFeed::default();
    assert_eq!(feed.state(0), FeedState::Silent, "never polled");
    assert!(
        feed.start_poll(0) && !feed.start_poll(SERVER_POLL_INTERVAL_MS),
        "one poll at a time"
    );
    feed.record_answer(Ok(Usage::default()));
    assert!(feed.start_poll(SERVER_POLL_INTERVAL_MS));
    feed.record_answer(Err("no answer".to_owned()));
    assert!(matches!(
        feed.state(SERVER_USAGE_VALID_MS - 1),
        FeedState::Fresh(_)
    ));
    assert_eq!(feed.state(SERVER_USAGE_VALID_MS), FeedState::Silent);
}

proptest! {
    #[test]
    fn parsing_never_panics(text in "(Users of a:|  .* licenses in use\\)|[ -~\n]){0,40}") {
        let _ = parse_usage(&text, "a");
    }
}
