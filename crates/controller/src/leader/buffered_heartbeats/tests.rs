use super::*;
use crate::io::Effect;
use crate::settings::Settings;
use serde_json::json;

fn io(now: Timestamp) -> Io {
    let settings = include_str!("../../../tests/support/settings.json");
    Io::new(&Settings::parse(settings).unwrap(), 1, now, 0)
}

/// A report that names so many tasks.
fn heartbeat(tasks: usize) -> Heartbeat {
    let task = json!({ "Pick": "wk-1/0", "Try": 1, "Status": "running" });
    let body = json!({
        "Host": "m-1", "Endpoint": "10.0.0.1:9000", "Rig": "small", "Yard": "a",
        "Shift": 1, "Tick": 1, "Baton": 1, "Picks": vec![task; tasks],
    });
    serde_json::from_value(body).unwrap()
}

/// Who was turned away, since it was last asked.
fn turned_away(io: &mut Io) -> Vec<u64> {
    let effects = std::mem::take(&mut io.effects);
    let replies = effects.into_iter().map(|effect| match effect {
        Effect::Reply {
            request, status: 503, ..
        } => request.0,
        other => panic!("{other:?}"),
    });
    replies.collect()
}

// Its worker waits for 4 s: whoever was kept longest hears in time, the others wait on.
#[test]
fn a_report_is_kept_for_less_than_its_worker_waits() {
    let mut io = io(1_000);
    let mut reports = BufferedHeartbeats::default();
    reports.push(RequestId(1), &heartbeat(0), &mut io);
    io.now += 1_000;
    reports.push(RequestId(2), &heartbeat(0), &mut io);
    io.now = 1_000 + BUFFERED_HEARTBEAT_MS - 1;
    reports.reject_expired(&mut io);
    assert!(turned_away(&mut io).is_empty());
    io.now += 1;
    reports.reject_expired(&mut io);
    assert_eq!(turned_away(&mut io), [1]);
    assert_eq!(reports.pop().map(|(request, _)| request), Some(RequestId(2)));
    assert!(reports.pop().is_none());
}

// What is kept is bounded by what it holds, and what was answered makes room again.
#[test]
fn what_finds_no_room_is_turned_away_at_once() {
    let mut io = io(1_000);
    let mut reports = BufferedHeartbeats::default();
    let tasks = 99;
    let most = BUFFERED_HEARTBEATS / (1 + tasks);
    for request in 0..most {
        reports.push(RequestId(request as u64), &heartbeat(tasks), &mut io);
    }
    assert!(turned_away(&mut io).is_empty());
    reports.push(RequestId(u64::MAX), &heartbeat(0), &mut io);
    assert_eq!(turned_away(&mut io), [u64::MAX]);
    assert!(reports.pop().is_some());
    reports.push(RequestId(u64::MAX), &heartbeat(0), &mut io);
    assert!(turned_away(&mut io).is_empty());
}
