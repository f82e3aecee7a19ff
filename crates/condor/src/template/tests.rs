use super::*;
use proptest::prelude::*;

#[test]
fn pieces_are_parsed() {
    let template = parse("a$(B:x$(c))-$INT(n, %d)$5 f(1) $$(Arch) $Fnx(p)").unwrap();
    let kinds: Vec<String> = template
        .pieces
        .iter()
        .map(|piece| match piece {
            Piece::Text(text) => format!("{text:?}"),
            Piece::Macro { name, default, .. } => format!("{name}:{}", default.is_some()),
            Piece::ComputedName { .. } => "computed".to_owned(),
            Piece::Function { name, .. } => name.to_string(),
            Piece::MachineMacro { offset } => format!("machine {offset}"),
        })
        .collect();
    let expected = [
        "\"a\"",
        "b:true",
        "\"-\"",
        "INT",
        "\"$5 f(1) \"",
        "machine 31",
        "\" \"",
        "Fnx",
    ];
    assert_eq!(kinds, expected);
    assert_eq!(parse("x $(open"), Err(2));
    assert_eq!(parse("$(a:f(x))").unwrap().pieces.len(), 1);
    assert!(parse(&"$(a:".repeat(1_000)).is_err());
}

proptest! {
    #[test]
    fn no_text_panics(text in "[$(): aF,.]{0,60}") {
        let _ = parse(&text);
    }
}
