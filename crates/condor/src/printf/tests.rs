#[test]
fn formats_behave_as_in_c() {
    for (format, value, expected) in [
        ("%d", 7, "7"),
        ("%04d", -7, "-007"),
        ("%-4d|", 7, "7   |"),
        ("x%+d", 7, "x+7"),
        ("%x", 255, "ff"),
        ("%.3d", 7, "007"),
        ("%5.1f", 2, "  2.0"),
    ] {
        assert_eq!(
            super::format_int(format, value).as_deref(),
            Some(expected),
            "{format}"
        );
    }
    for (format, value, expected) in [
        ("%f", 1.5, "1.500000"),
        ("%.2e", 12345.0, "1.23e+04"),
        ("%g", 0.0001, "0.0001"),
        ("%g", 1e10, "1e+10"),
        ("%06.1f", -2.25, "-002.2"),
    ] {
        assert_eq!(
            super::format_real(format, value).as_deref(),
            Some(expected),
            "{format}"
        );
    }
    assert_eq!(super::format_string("%-3s|", "é").as_deref(), Some("é  |"));
    for format in ["", "%", "d", "%q", "%999d", "%d%d"] {
        assert_eq!(super::format_int(format, 1), None, "{format}");
    }
}
