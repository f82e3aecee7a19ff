use super::*;
use crate::io::Effect;
use crate::settings::Settings;
use serde_json::json;

fn io(now: Timestamp) -> Io {
    let settings = include_str!("../../../tests/support/settings.json");
    Io::new(&Settings::parse(settings).unwrap(), 1, now, 0)
}

/// A heartbeat that lists this number of tasks.
fn heartbeat(tasks: usize) -> Heartbeat {
    let task = json!({ "Pick": "wk-1/0", "Try": 1, "Status": "running" });
    let body = json!({
        "Host": "m-1", "Endpoint": "10.0.0.1:9000", "Rig": "small", "Yard": "a",
        "Shift": 1, "Tick": 1, "Baton": 1, "Picks": vec![task; tasks],
    });
    serde_json::from_value(body).unwrap()
}

/// Takes the requests that were rejected since the last call.
fn take_rejected(io: &mut Io) -> Vec<u64> {
    let effects = std::mem::take(&mut io.effects);
    let replies = effects.into_iter().map(|effect| match effect {
        Effect::Reply {
            request, status: 503, ..
        } => request.0,
        other => panic!("{other:?}"),
    });
    replies.collect()
}

// A worker waits 4 s for a reply. The oldest heartbeat must be rejected before that, while newer ones stay.
#[test]
fn heartbeat_is_rejected_before_its_worker_times_out() {
    let mut io = io(1_000);
    let mut buffer = BufferedHeartbeats::default();
    buffer.push(RequestId(1), &heartbeat(0), &mut io);
    io.now += 1_000;
    buffer.push(RequestId(2), &heartbeat(0), &mut io);
    io.now = 1_000 + BUFFERED_HEARTBEAT_MS - 1;
    buffer.reject_expired(&mut io);
    assert!(take_rejected(&mut io).is_empty());
    io.now += 1;
    buffer.reject_expired(&mut io);
    assert_eq!(take_rejected(&mut io), [1]);
    assert_eq!(buffer.pop().map(|(request, _)| request), Some(RequestId(2)));
    assert!(buffer.pop().is_none());
}

// The buffer is bounded by the total size of its heartbeats, and removing one frees space.
#[test]
fn heartbeat_is_rejected_when_the_buffer_is_full() {
    let mut io = io(1_000);
    let mut buffer = BufferedHeartbeats::default();
    let tasks = 99;
    let capacity = BUFFERED_HEARTBEATS / (1 + tasks);
    for request in 0..capacity {
        buffer.push(RequestId(request as u64), &heartbeat(tasks), &mut io);
    }
    assert!(take_rejected(&mut io).is_empty());
    buffer.push(RequestId(u64::MAX), &heartbeat(0), &mut io);
    assert_eq!(take_rejected(&mut io), [u64::MAX]);
    assert!(buffer.pop().is_some());
    buffer.push(RequestId(u64::MAX), &heartbeat(0), &mut io);
    assert!(take_rejected(&mut io).is_empty());
}
