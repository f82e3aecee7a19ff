use super::*;
use proptest::prelude::*;

#[test]
fn queue_assignments_are_not_statements() {
    assert_eq!(statement("queue"), Some(""));
    assert_eq!(statement("Queue 3"), Some(" 3"));
    assert_eq!(statement("queue(2)"), Some("(2)"));
    assert_eq!(statement("queue = 3"), None);
    assert_eq!(statement("queued 3"), None);
}

#[test]
fn all_forms_are_parsed() {
    let read = |text| parse(text).unwrap();
    assert_eq!(read("").count, None);
    assert_eq!(read(" 2 * 3 ").count, Some("2 * 3"));
    let some = read(" 3 a, b from [2:] list.txt");
    assert_eq!((some.count, &some.variables[..]), (Some("3"), &["a", "b"][..]));
    let slice = Slice {
        start: Some(2),
        ..Slice::default()
    };
    assert_eq!(some.source, Source::From(slice, "list.txt"));
    let all = read(" in (a, b)");
    assert_eq!((all.count, &all.variables[..]), (None, &["Item"][..]));
    assert_eq!(all.source, Source::In(Slice::default(), "(a, b)"));
    let files = read(" f matching files *.dat *.txt");
    assert_eq!(
        files.source,
        Source::Matching(Slice::default(), PathKind::Files, "*.dat *.txt")
    );
    let folders = read(" matching dirs d*");
    assert_eq!(
        folders.source,
        Source::Matching(Slice::default(), PathKind::Folders, "d*")
    );
    assert_eq!(read(" (1+1) x in a").count, Some("(1+1)"));
    for bad in [
        " a b! from x",
        " from",
        " x in [a:b] c",
        " x in [::0] c",
        " 3x from y",
    ] {
        assert!(parse(bad).is_err(), "{bad}");
    }
}

#[test]
fn slices_select_as_in_python() {
    let of = |text: &str| {
        let parsed = parse(text).unwrap();
        let Source::In(slice, _) = parsed.source else {
            panic!("{text}")
        };
        slice.select((0..5).collect::<Vec<i32>>()).unwrap()
    };
    assert_eq!(of(" in [1:3] x"), [1, 2]);
    assert_eq!(of(" in [::2] x"), [0, 2, 4]);
    assert_eq!(of(" in [-2:] x"), [3, 4]);
    assert_eq!(of(" in [::-1] x"), [4, 3, 2, 1, 0]);
    assert_eq!(of(" in [3:0:-2] x"), [3, 1]);
    assert_eq!(of(" in [2] x"), [2]);
    assert_eq!(of(" in [-1] x"), [4]);
    assert_eq!(of(" in [7:9] x"), [0i32; 0]);
}

#[test]
fn the_last_variable_takes_the_rest() {
    assert_eq!(split_item("a, b c, d", 2), ["a", "b c, d"]);
    assert_eq!(split_item("a  b", 3), ["a", "b", ""]);
    assert_eq!(split_item("a\u{1f}b, c\u{1f}", 3), ["a", "b, c", ""]);
}

proptest! {
    #[test]
    fn no_text_panics(text in "[ 0-9a-c,()\\[\\]:inmatching-]{0,50}", count in 0usize..6) {
        if let Ok(Queue { source: Source::In(slice, _), .. }) = parse(&text) {
            let _ = slice.select(vec![0; count]);
        }
        let _ = split_item(&text, count.max(1));
    }
}
