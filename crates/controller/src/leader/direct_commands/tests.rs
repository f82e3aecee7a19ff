use super::*;
use std::sync::Arc;

fn machine(number: usize) -> MachineId {
    MachineId(Arc::from(format!("m-{number}").as_str()))
}

#[test]
fn machine_marked_twice_is_due_once() {
    let mut commands = CommandQueue::default();
    commands.mark_due(machine(1));
    commands.mark_due(machine(1));
    assert_eq!(commands.next_due(), Some(machine(1)));
    assert_eq!(commands.next_due(), None);
}

#[test]
fn no_machine_is_due_at_the_limit_of_commands_in_flight() {
    let mut commands = CommandQueue::default();
    commands.mark_due(machine(1));
    commands.in_flight = DIRECT_COMMANDS_IN_FLIGHT;
    assert_eq!(commands.next_due(), None);
    commands.in_flight -= 1;
    assert_eq!(commands.next_due(), Some(machine(1)));
}
