use super::parse_mib;

#[test]
fn memory_amounts_are_parsed_with_units() {
    for (text, mib) in [
        ("4 GB", Some(4096.0)),
        ("4G", Some(4096.0)),
        ("1.5gb", Some(1536.0)),
        ("512MB", Some(512.0)),
        ("2048 KiB", Some(2.0)),
        ("1T", Some(1_048_576.0)),
        ("4096", None),
        ("2 * 1024", None),
        ("GB", None),
        ("4 cups", None),
    ] {
        assert_eq!(parse_mib(text), mib, "{text}");
    }
}
