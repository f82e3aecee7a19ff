use super::*;

#[test]
fn joined_lines_keep_the_locations_of_their_parts() {
    let text = "a = 1\n  b = 2 && \\\n# not this\n    é == 3\\\n\n# c \\\nd";
    let lines: Vec<Line> = Lines::new(text, Arc::from("f")).collect();
    let texts: Vec<&str> = lines.iter().map(|line| line.text.as_str()).collect();
    assert_eq!(texts, ["a = 1", "b = 2 && é == 3", "# c \\", "d"]);
    assert_eq!(lines[1].location(0).to_string(), "f:2:3");
    assert_eq!(lines[1].location(10).to_string(), "f:4:5");
    assert_eq!(lines[1].location(12).to_string(), "f:4:7");
    assert_eq!(lines[3].location(99).to_string(), "f:7:2");
}
