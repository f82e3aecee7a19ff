//! Autoscaling: which machines are rented, which go back, and what the cloud lists.

mod listing;
mod scale_in;
mod scale_out;
mod spot_losses;

use super::LeaderTerm;
use crate::autoscaling::scale_out_request::ScaleOutRequest;
use crate::constants::{AUTOSCALER_INTERVAL_MS, BOOT_SMOOTHING, DEFAULT_RELEASE_MS, SECOND_MS};
use crate::model::{MachineKind, Timestamp};
use crate::protocol::RentalRequest;
use crate::scheduling::placement::MachineTypes;
use crate::storage::records;
use listing::CloudListing;
use spot_losses::SpotLosses;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Requests to the cloud, and what this term has seen of its answers.
#[derive(Debug)]
pub(super) struct Autoscaler {
    requests: BTreeMap<String, ScaleOutRequest>,
    /// Requests that this term has made: the next one's name follows from it.
    request_count: u64,
    /// Kinds of machines that the cloud has too few of, and until when they are not asked for.
    capacity_refused_until: HashMap<MachineKind, Timestamp>,
    /// Kinds of machines that waiting work could use: none of them is surplus.
    wanted: HashSet<MachineKind>,
    spot_losses: SpotLosses,
    /// How long boots took, by machine type, in s.
    observed_boot_s: HashMap<String, f64>,
    /// How long the cloud takes to confirm a return, in s.
    release_s: f64,
    listing: CloudListing,
    /// The cloud failed: nothing is rented or returned before.
    cloud_retry_at: Timestamp,
    next_sizing_at: Timestamp,
}

impl Autoscaler {
    /// Nothing is known of the cloud yet.
    pub(super) fn new() -> Autoscaler {
        Autoscaler {
            requests: BTreeMap::new(),
            request_count: 0,
            capacity_refused_until: HashMap::new(),
            wanted: HashSet::new(),
            spot_losses: SpotLosses::default(),
            observed_boot_s: HashMap::new(),
            release_s: DEFAULT_RELEASE_MS as f64 / SECOND_MS as f64,
            listing: CloudListing::default(),
            cloud_retry_at: 0,
            next_sizing_at: 0,
        }
    }

    /// Scale-out requests by their names, for the writer.
    pub(super) fn requests(&self) -> &BTreeMap<String, ScaleOutRequest> {
        &self.requests
    }

    /// Requests whose machines are not known yet.
    pub(super) fn open_requests(&self) -> impl Iterator<Item = &ScaleOutRequest> {
        self.requests.values().filter(|request| request.is_open())
    }

    /// Takes over a former leader's request: it may have been sent.
    pub(super) fn adopt_request(&mut self, request: RentalRequest) {
        let adopted = ScaleOutRequest {
            persisted: true,
            sent: true,
            outcome_unknown: true,
            ..ScaleOutRequest::new(request)
        };
        self.requests.insert(adopted.request.request.clone(), adopted);
    }

    /// A request is on record, and may be sent.
    pub(super) fn request_recorded(&mut self, key: &str) {
        if let Some(request) = self.requests.get_mut(key) {
            request.persisted = true;
        }
    }

    /// Losses of spot machines.
    pub(super) fn spot_losses(&self) -> &SpotLosses {
        &self.spot_losses
    }

    /// Losses of spot machines, to be updated.
    pub(super) fn spot_losses_mut(&mut self) -> &mut SpotLosses {
        &mut self.spot_losses
    }

    /// How long boots took, by machine type, in s.
    pub(super) fn observed_boot_s(&self) -> &HashMap<String, f64> {
        &self.observed_boot_s
    }

    /// Learns how long a machine of this type took to boot.
    pub(super) fn record_boot_time(&mut self, machine_type: &str, took_s: f64) {
        let average = self
            .observed_boot_s
            .entry(machine_type.to_owned())
            .or_insert(took_s);
        *average += BOOT_SMOOTHING * (took_s - *average);
    }

    /// What renting a machine and giving it back wastes, in s.
    fn overhead_s(&self, types: &MachineTypes, name: &str) -> f64 {
        let boot_s = self
            .observed_boot_s
            .get(name)
            .copied()
            .or_else(|| types.get(name).map(|machine_type| machine_type.boot_s));
        (boot_s.unwrap_or(0.0) + self.release_s).max(1.0)
    }

    /// Whether the fleet is to be sized now; the next time is set.
    pub(super) fn take_sizing_due(&mut self, now: Timestamp) -> bool {
        let due = now >= self.next_sizing_at;
        if due {
            self.next_sizing_at = now + AUTOSCALER_INTERVAL_MS;
        }
        due
    }
}

impl LeaderTerm {
    /// Drops a request, and its record.
    fn remove_request(&mut self, key: &str) {
        self.autoscaler.requests.remove(key);
        let unrecorded = self.writer.rentals_to_record.remove(key);
        if !unrecorded {
            self.writer.obsolete_keys.insert(records::rental_key(key));
        }
    }
}

/// How the names of requests of a term begin.
fn request_prefix(first_token: u64) -> String {
    format!("r-{first_token}-")
}
