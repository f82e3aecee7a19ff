use super::*;
use indigopath_counted_resources::status::{RequestedCount, TeamStatus};

#[test]
fn the_table_remarks_on_unusual_states() {
    let count = CountStatus {
        name: "seat".to_owned(),
        units: Some(4),
        usable: 3,
        held: 3,
        leaving: 1,
        lingering: 1,
        others: 0,
        free: 0,
        kept: 0,
        waiting: 12,
        oversubscribed: 1,
        closed: None,
        teams: vec![TeamStatus {
            team: "red".to_owned(),
            share: 2,
            used: 1,
        }],
        server: None,
    };
    let text = count_table(&CountList { counts: vec![count] });
    let lines: Vec<&str> = text.lines().collect();
    assert!(lines[0].trim_start().starts_with("COUNT"), "{text}");
    assert!(lines[1].contains("more units are taken than exist"), "{text}");
    assert!(lines[1].contains("fewer than the 4 defined"), "{text}");
    assert!(lines[1].contains("red 1/2"), "{text}");
}

#[test]
fn an_explanation_has_a_sentence_and_a_table() {
    let text = format_explanation(&Explanation {
        id: "wk-7".to_owned(),
        waiting: 3,
        verdict: "3 of its tasks wait for units of seat: all are held".to_owned(),
        counts: vec![RequestedCount {
            count: "seat".to_owned(),
            needs: 1,
            free: 0,
            kept: 0,
            ahead: 5,
            why: Some("all are held".to_owned()),
        }],
    });
    assert!(text.starts_with("wk-7: 3 tasks wait; 3 of its tasks wait for units of seat"));
    assert_eq!(text.lines().count(), 3, "{text}");
}
