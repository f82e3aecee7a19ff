use super::*;

#[test]
fn newer_formats_are_distinguished_from_malformed_values() {
    let text = encode(ServicesRecord {
        schedules: vec!["trading".into()],
        services: vec![ServiceEntry {
            job: "wk-1".into(),
            rank: 1,
            position: 7,
            schedule: 0,
        }],
    });
    assert_eq!(decode::<ServicesRecord>(&text).unwrap().services[0].position, 7);
    assert_eq!(
        decode::<ServicesRecord>(r#"{"v":2,"all":"new"}"#),
        Err(RecordError::NewerFormat(2))
    );
    for end in 0..text.len() {
        let truncated = decode::<ServicesRecord>(&text[..end]);
        assert!(
            matches!(truncated, Err(RecordError::Unreadable(_))),
            "{truncated:?}"
        );
    }
}
