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
    ] {
        let bytes = frame.encode();
        for length in 0..bytes.len() {
            assert_eq!(Frame::decode(&bytes[..length]), Ok(None));
        }
        assert_eq!(Frame::decode(&bytes), Ok(Some((Some(frame), bytes.len()))));
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
        for frame in [Frame::JobChanged { job }, end_notice] {
            let mut bytes = frame.encode();
            if let Some(byte) = bytes.get_mut(position) { *byte = value; }
            let _ = Frame::decode(&bytes);
        }
    }
}
