use super::path_parts;

#[test]
fn path_parts_follow_the_manual() {
    for (parts, expected) in [
        ("p", "/a/b/"),
        ("d", "b/"),
        ("n", "c"),
        ("x", ".tar"),
        ("nx", "c.tar"),
        ("pn", "/a/b/c"),
        ("dnx", "b/c.tar"),
        ("bx", "tar"),
        ("bd", "b"),
        ("bp", "/a/b"),
        ("q", "\"/a/b/c.tar\""),
        ("", "/a/b/c.tar"),
        ("w", "\\a\\b\\c.tar"),
    ] {
        assert_eq!(path_parts("/a/b/c.tar", parts), expected, "{parts}");
    }
    assert_eq!(path_parts("c", "p"), "");
    assert_eq!(path_parts(".profile", "n"), ".profile");
}
