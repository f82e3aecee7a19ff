use super::*;

fn workers(lease_s: f64, cancel_s: f64) -> WorkerSettings {
    WorkerSettings {
        report_s: 5.0,
        lease_s,
        gang_wait_s: 30.0,
        gang_peer_s: 5.0,
        cancel_s,
    }
}

#[test]
fn no_lease_is_renewed_before_the_records_are_read() {
    let mut watermark = CancellationWatermark::unread(&workers(30.0, 50.0), 1_000);
    assert!(!watermark.permits_lease_renewal(1_001));
    watermark.advance(1_200);
    assert!(watermark.permits_lease_renewal(1_500));
}

// A lease renewed at the last permitted moment expires before the earliest missed cancellation is due,
// even with the maximum clock drift.
#[test]
fn last_renewed_lease_expires_in_time() {
    for (lease_s, cancel_s) in [(30.0, 50.0), (42.0, 62.0), (32.0, 62.0), (30.0, 33.0)] {
        let workers = workers(lease_s, cancel_s);
        assert!(proves_cancellations(&workers));
        let mut watermark = CancellationWatermark::unread(&workers, 0);
        watermark.advance(10_000);
        let last = (10_000..200_000)
            .rev()
            .find(|now| watermark.permits_lease_renewal(*now))
            .unwrap();
        let drift = 1.0 + 2.0 * crate::constants::CLOCK_DRIFT_PPM as f64 / 1e6;
        assert!((last - 10_000) as f64 * drift + lease_s * 1_000.0 * drift < cancel_s * 1_000.0);
        assert!(watermark.is_expired(last + 1));
    }
}

// The response to an older request must not move the watermark back.
#[test]
fn watermark_never_moves_back() {
    let mut watermark = CancellationWatermark::unread(&workers(30.0, 50.0), 0);
    watermark.advance(5_000);
    watermark.advance(4_000);
    assert_eq!(watermark.age_ms(6_000), 1_000);
}

#[test]
fn without_spare_time_there_is_no_grace_period() {
    for (lease_s, cancel_s) in [(30.0, 30.0), (30.0, 10.0), (30.0, 32.9)] {
        let workers = workers(lease_s, cancel_s);
        assert!(!proves_cancellations(&workers));
        assert_eq!(grace_ms(&workers), LEADER_LEASE_MS);
    }
}

// Reading the records may take longer than the grace period. No lease may be renewed meanwhile, nor after it until
// a watch shows the ends since the first page.
#[test]
fn a_leader_that_reads_for_long_leads_on_but_renews_no_lease() {
    let workers = workers(30.0, 50.0);
    let grace = grace_ms(&workers);
    let mut watermark = CancellationWatermark::unread(&workers, 0);
    for page in 1..=4 {
        let sent = page * grace / 2;
        watermark.note_progress(sent);
        assert!(!watermark.has_stalled(sent + grace - 1));
        assert!(!watermark.permits_lease_renewal(sent));
    }
    let end = 2 * grace;
    watermark.advance(0);
    assert!(!watermark.has_stalled(end + grace - 1));
    assert!(!watermark.permits_lease_renewal(end));
    watermark.advance(end);
    assert!(watermark.permits_lease_renewal(end));
    assert!(watermark.has_stalled(end + grace));
}
