use super::*;
use proptest::prelude::*;

#[test]
fn frames_round_trip() {
    let job = crate::job_api::admission::parse_id("wk-000412").unwrap();
    let heartbeat = PeerHeartbeat {
        index: 2,
        token: 41,
        leads: true,
        state_ok: false,
        workers_heard: 7,
    };
    for frame in [
        Frame::PeerHeartbeat(heartbeat),
        Frame::TaskCounts {
            job: job.clone(),
            done: 3,
            running: 13,
        },
        Frame::JobChanged { job: job.clone() },
        Frame::EndNotice {
            job: job.clone(),
            nonce: u64::MAX - 1,
            index: 2,
        },
        Frame::EndAcknowledged {
            job,
            nonce: 7,
            index: 1,
        },
        Frame::ReachabilityQuery(ReachabilityQuery {
            round: u64::MAX - 2,
            number: 23,
            index: 2,
            machine: "m-000231".to_owned(),
            addr: "10.1.0.232:9000".to_owned(),
        }),
        Frame::ReachabilityAnswer(ReachabilityAnswer {
            round: u64::MAX - 2,
            number: 23,
            index: 0,
            reached: true,
            heard: false,
        }),
    ] {
        let bytes = frame.encode();
        for length in 0..bytes.len() {
            assert_eq!(Frame::decode(&bytes[..length]), Ok(None));
        }
        assert_eq!(Frame::decode(&bytes), Ok(Some((Some(frame), bytes.len()))));
    }
}

#[test]
fn a_query_carries_names_that_fit_and_end_where_they_end() {
    assert!(ReachabilityQuery::can_carry(&"m".repeat(MACHINE_TEXT_BYTES)));
    for text in [
        String::new(),
        "m".repeat(MACHINE_TEXT_BYTES + 1),
        "m\0".to_owned(),
    ] {
        assert!(!ReachabilityQuery::can_carry(&text));
    }
}

proptest! {
    #[test]
    fn decoding_arbitrary_bytes_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..80)) {
        let _ = Frame::decode(&bytes);
    }

    #[test]
    fn decoding_a_frame_with_a_changed_byte_never_panics(position in 0usize..40, value in any::<u8>()) {
        let job = crate::job_api::admission::parse_id("wk-000412").unwrap();
        let end_notice = Frame::EndNotice { job: job.clone(), nonce: 9, index: 1 };
        let query = Frame::ReachabilityQuery(ReachabilityQuery {
            round: 9,
            number: 0,
            index: 1,
            machine: "m-000001".to_owned(),
            addr: "10.1.0.2:9000".to_owned(),
        });
        for frame in [Frame::JobChanged { job }, end_notice, query] {
            let mut bytes = frame.encode();
            if let Some(byte) = bytes.get_mut(position) { *byte = value; }
            let _ = Frame::decode(&bytes);
        }
    }
}
