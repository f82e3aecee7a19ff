//! Autoscaling: launching machines, releasing them, and reading the cloud's machine list.

mod listing;
mod scale_in;
mod scale_out;
mod spot_losses;

use super::LeaderTerm;
use crate::autoscaling::scale_out_request::ScaleOutRequest;
use crate::constants::{AUTOSCALER_INTERVAL_MS, BOOT_SMOOTHING, DEFAULT_RELEASE_MS, SECOND_MS};
use crate::model::{MachineKind, Timestamp};
use crate::protocol::LaunchRequest;
use crate::scheduling::placement::MachineTypes;
use crate::storage::records;
use listing::CloudListing;
use spot_losses::SpotLosses;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Scale-out requests of this term, and what it has learned about the cloud.
#[derive(Debug)]
pub(super) struct Autoscaler {
    requests: BTreeMap<String, ScaleOutRequest>,
    /// Number of requests made in this term, used to generate the next key.
    request_count: u64,
    /// Kinds of machines that the cloud has no capacity for, and until when they are not requested again.
    capacity_refused_until: HashMap<MachineKind, Timestamp>,
    /// Kinds of machines that waiting tasks could use. These are not scaled in.
    wanted: HashSet<MachineKind>,
    spot_losses: SpotLosses,
    /// Moving average of observed boot times, by machine type, in s.
    observed_boot_s: HashMap<String, f64>,
    /// Moving average of the time that the cloud takes to confirm a release, in s.
    release_s: f64,
    listing: CloudListing,
    /// Machines are neither launched nor released before this time, because a call to the cloud has failed.
    cloud_retry_at: Timestamp,
    next_sizing_at: Timestamp,
}

impl Autoscaler {
    /// Creates an autoscaler without any knowledge of the cloud.
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

    /// Scale-out requests by key, for the batch writer.
    pub(super) fn requests(&self) -> &BTreeMap<String, ScaleOutRequest> {
        &self.requests
    }

    /// Requests that the cloud has not fulfilled yet.
    pub(super) fn open_requests(&self) -> impl Iterator<Item = &ScaleOutRequest> {
        self.requests.values().filter(|request| request.is_open())
    }

    /// Adopts a request of a former leader, which may have been sent.
    pub(super) fn adopt_request(&mut self, request: LaunchRequest) {
        let adopted = ScaleOutRequest {
            persisted: true,
            sent: true,
            outcome_unknown: true,
            ..ScaleOutRequest::new(request)
        };
        self.requests.insert(adopted.request.request.clone(), adopted);
    }

    /// Marks a request as recorded, so that it may be sent.
    pub(super) fn request_recorded(&mut self, key: &str) {
        if let Some(request) = self.requests.get_mut(key) {
            request.persisted = true;
        }
    }

    /// Loss statistics of spot machines.
    pub(super) fn spot_losses(&self) -> &SpotLosses {
        &self.spot_losses
    }

    /// Loss statistics of spot machines, for modification.
    pub(super) fn spot_losses_mut(&mut self) -> &mut SpotLosses {
        &mut self.spot_losses
    }

    /// Moving average of observed boot times, by machine type, in s.
    pub(super) fn observed_boot_s(&self) -> &HashMap<String, f64> {
        &self.observed_boot_s
    }

    /// Records how long a machine of this type took to boot.
    pub(super) fn record_boot_time(&mut self, machine_type: &str, took_s: f64) {
        let average = self
            .observed_boot_s
            .entry(machine_type.to_owned())
            .or_insert(took_s);
        *average += BOOT_SMOOTHING * (took_s - *average);
    }

    /// Time that a machine of this type spends booting and being released, in s.
    fn overhead_s(&self, types: &MachineTypes, machine_type_name: &str) -> f64 {
        let boot_s = self.observed_boot_s.get(machine_type_name).copied().or_else(|| {
            types
                .get(machine_type_name)
                .map(|machine_type| machine_type.boot_s)
        });
        (boot_s.unwrap_or(0.0) + self.release_s).max(1.0)
    }

    /// Returns whether the fleet is to be sized now, and schedules the next time if so.
    pub(super) fn take_sizing_due(&mut self, now: Timestamp) -> bool {
        let due = now >= self.next_sizing_at;
        if due {
            self.next_sizing_at = now + AUTOSCALER_INTERVAL_MS;
        }
        due
    }
}

impl LeaderTerm {
    /// Removes a request and its record.
    fn remove_request(&mut self, key: &str) {
        self.autoscaler.requests.remove(key);
        let unrecorded = self.writer.launches_to_record.remove(key);
        if !unrecorded {
            self.writer.obsolete_keys.insert(records::launch_key(key));
        }
    }
}

/// Prefix of the keys of all requests of a term.
fn request_prefix(first_token: u64) -> String {
    format!("r-{first_token}-")
}
