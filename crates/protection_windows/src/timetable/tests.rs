use super::*;
use crate::check;

fn schedule(zone: &str, from: &str, to: &str, more: &str) -> WindowSchedule {
    let text = format!(
        r#"{{ "s": {{ "time_zone": "{zone}", "from": "{from}", "to": "{to}",
                "classes": ["live"], "rank": 1{more} }} }}"#
    );
    let timetable = check(&serde_json::from_str(&text).unwrap(), |_| true).unwrap();
    timetable.get("s").unwrap().clone()
}

fn ms(text: &str) -> u64 {
    text.parse::<Timestamp>().unwrap().as_millisecond() as u64
}

fn window(schedule: &WindowSchedule, day: &str) -> Option<(u64, u64)> {
    let window = schedule.window_on(day.parse().unwrap())?;
    Some((window.opens_ms, window.closes_ms))
}

#[test]
fn windows_cross_midnight_and_skip_closed_days() {
    let night = schedule(
        "Australia/Perth",
        "20:00",
        "04:00",
        r#", "days": ["thu", "fri"], "closed": ["2026-12-25"], "lead_s": 120"#,
    );
    // A window that opens on an open day continues into a closed one.
    let eve = night.window_on("2026-12-24".parse().unwrap()).unwrap();
    assert_eq!(eve.opens_ms, ms("2026-12-24T12:00:00Z"));
    assert_eq!(eve.ready_ms, ms("2026-12-24T11:58:00Z"));
    assert_eq!(eve.closes_ms, ms("2026-12-24T20:00:00Z"));
    assert_eq!(window(&night, "2026-12-25"), None, "closed");
    assert_eq!(window(&night, "2026-12-26"), None, "a Saturday");
    let day = schedule("Australia/Perth", "06:00", "24:00", "");
    let (opens, closes) = window(&day, "2026-12-25").unwrap();
    assert_eq!(closes - opens, 18 * 3_600_000);
    let always = schedule("Australia/Perth", "06:00", "06:00", "");
    let (opens, closes) = window(&always, "2026-12-25").unwrap();
    assert_eq!(closes - opens, 24 * 3_600_000);
    assert_eq!(
        night.next_window(ms("2026-12-25T01:00:00Z")).map(|next| next.day),
        Some("2026-12-31".parse().unwrap()),
    );
}

#[test]
fn skipped_local_times_map_to_the_clock_change() {
    // In Zurich on 2026-03-29, clocks advance from 02:00 to 03:00 at 01:00 UTC.
    let skipped = ms("2026-03-29T01:00:00Z");
    let opens = schedule("Europe/Zurich", "02:30", "10:00", "");
    assert_eq!(
        window(&opens, "2026-03-29"),
        Some((skipped, ms("2026-03-29T08:00:00Z")))
    );
    let closes = schedule("Europe/Zurich", "00:30", "02:30", "");
    assert_eq!(
        window(&closes, "2026-03-29"),
        Some((ms("2026-03-28T23:30:00Z"), skipped))
    );
    let whole = schedule("Europe/Zurich", "02:10", "02:50", "");
    assert_eq!(window(&whole, "2026-03-29"), None);
    assert!(window(&whole, "2026-03-30").is_some());
}

#[test]
fn repeated_local_times_are_protected_twice() {
    // In Zurich on 2026-10-25, 02:00 to 03:00 occurs at 00:00 and at 01:00 UTC.
    let double = schedule("Europe/Zurich", "02:15", "02:45", "");
    assert_eq!(
        window(&double, "2026-10-25"),
        Some((ms("2026-10-25T00:15:00Z"), ms("2026-10-25T01:45:00Z")))
    );
    // On Lord Howe Island, the clock change is half an hour.
    let half = schedule("Australia/Lord_Howe", "01:00", "01:45", "");
    let (opens, closes) = window(&half, "2026-04-05").unwrap();
    assert_eq!(closes - opens, 75 * 60_000);
}

#[test]
fn windows_are_found_from_lead_time_to_end() {
    for zone in [
        "Europe/Zurich",
        "Australia/Perth",
        "Pacific/Apia",
        "America/St_Johns",
    ] {
        for (from, to) in [
            ("06:00", "22:00"),
            ("22:00", "06:00"),
            ("00:00", "24:00"),
            ("01:30", "01:30"),
        ] {
            let daily = schedule(zone, from, to, r#", "lead_s": 3600"#);
            let mut day: Day = "2026-01-01".parse().unwrap();
            while day.year() == 2026 {
                if let Some(window) = daily.window_on(day) {
                    for at in [window.ready_ms, window.opens_ms, window.closes_ms] {
                        assert!(
                            daily.windows_near(at).any(|other| other == window),
                            "{zone} {window:?}"
                        );
                    }
                }
                day = day.tomorrow().unwrap();
            }
        }
    }
}
