use super::*;
use std::collections::BTreeSet;

#[test]
fn every_operation_has_one_specification_and_one_name() {
    let operations: BTreeSet<GuardedOperation> = GuardedOperation::all().collect();
    let names: BTreeSet<&str> = GuardedOperation::all().map(GuardedOperation::name).collect();
    assert_eq!(
        (operations.len(), names.len()),
        (GUARDED_OPERATIONS.len(), GUARDED_OPERATIONS.len())
    );
}

// Where the receiver does not compare tokens, only a recorded intent informs the successor.
#[test]
fn operations_without_a_token_check_have_an_intent() {
    for spec in GUARDED_OPERATIONS {
        let unfenced = spec.fence == Fence::PermitAndIntent;
        assert_eq!(
            unfenced,
            spec.target == "the cloud" && spec.operation != GuardedOperation::ListMachines
        );
        assert!(
            !unfenced || !spec.intent.starts_with("none"),
            "{}",
            spec.operation
        );
    }
}
