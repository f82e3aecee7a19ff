use super::*;

#[test]
fn command_names_are_unique() {
    let names = COMMANDS
        .iter()
        .map(|command| 1 + command.aliases.len())
        .sum::<usize>();
    assert_eq!(BY_NAME.len(), names, "a name stands twice");
    assert!(BY_NAME.keys().all(|name| *name == name.to_ascii_lowercase()));
    assert_eq!(
        find("Request_CPUs").map(|command| command.name),
        Some("request_cpus")
    );
    assert_eq!(find("args").map(|command| command.name), Some("arguments"));
}
