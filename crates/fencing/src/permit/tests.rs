use super::*;
use proptest::prelude::*;

#[test]
fn no_permit_without_a_lease_or_after_its_expiry() {
    let mut permits = Permits::default();
    assert_eq!(
        permits.request(GuardedOperation::LaunchMachines, 0),
        Err(PermitError::NotHeld)
    );
    permits.hold(HeldLease { epoch: 1, until: 10 });
    assert!(permits.request(GuardedOperation::LaunchMachines, 9).is_ok());
    assert_eq!(
        permits.request(GuardedOperation::LaunchMachines, 10),
        Err(PermitError::MayBeReplaced)
    );
    permits.release();
    assert_eq!(
        permits.request(GuardedOperation::ReleaseMachines, 0),
        Err(PermitError::NotHeld)
    );
    assert_eq!(
        permits.refused().collect::<Vec<_>>(),
        [
            (GuardedOperation::LaunchMachines, 2),
            (GuardedOperation::ReleaseMachines, 1)
        ]
    );
}

#[test]
fn renewed_token_of_the_same_lease_keeps_its_expiry() {
    let mut permits = Permits::default();
    permits.hold(HeldLease { epoch: 5, until: 100 });
    permits.hold(HeldLease { epoch: 6, until: 90 });
    assert_eq!(permits.held(), Some(HeldLease { epoch: 6, until: 100 }));
    permits.hold(HeldLease { epoch: 5, until: 200 });
    assert_eq!(permits.held(), Some(HeldLease { epoch: 6, until: 100 }));
}

proptest! {
    /// Of two successive holders, every permit of the first expires before the second can get one,
    /// whenever either requests it.
    #[test]
    fn no_two_epochs_hold_permits_at_once(
        renewed_at in 0u64..10_000, lifetime in 1u64..5_000, requested_at in 0u64..20_000, sent_at in 0u64..20_000,
    ) {
        let expires_at = renewed_at + lifetime;
        let mut old = Permits::default();
        old.hold(HeldLease { epoch: 1, until: expires_at });
        let mut new = Permits::default();
        // The second is elected no earlier than the expiry of the first's lease.
        if requested_at >= expires_at {
            new.hold(HeldLease { epoch: 2, until: requested_at + lifetime });
        }
        if let Ok(permit) = old.request(GuardedOperation::ReleaseMachines, requested_at.min(sent_at)) {
            prop_assert!(!(permit.allows(sent_at) && sent_at >= expires_at));
        }
        let both = old.request(GuardedOperation::ReleaseMachines, sent_at).is_ok() && new.request(GuardedOperation::ReleaseMachines, sent_at).is_ok();
        prop_assert!(!(both && sent_at >= requested_at));
    }
}
