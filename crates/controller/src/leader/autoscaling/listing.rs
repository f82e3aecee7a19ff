//! Reads the cloud's machine list page by page, to find machines that are not in the records.

use crate::allocations::Machine;
use crate::constants::{
    CLOUD_RETRY_MS, LIST_INTERVAL_MS, LIST_LAG_MAX_FACTOR, LIST_LAG_SLACK_MS, LIST_PAGE_MACHINES,
    LIST_PAGE_MS, LIVENESS_CHECK_MS, RELEASE_CALL_RESERVE, SECOND_MS,
};
use crate::io::{Io, Method, Outcome};
use crate::leader::LeaderTerm;
use crate::leader::calls::TermCall;
use crate::model::{MachineId, Timestamp};
use crate::protocol::{ListedMachine, ListedStatus, MachinePage, paths};
use crate::settings::Settings;
use indigopath_fencing::GuardedOperation;
use std::sync::Arc;

/// Progress of reading the machine list.
#[derive(Debug, Default)]
pub(super) struct CloudListing {
    in_flight: bool,
    /// Whether the whole list has been read once in this term, so that the machines launched by former leaders
    /// are known.
    complete: bool,
    machines: Vec<ListedMachine>,
    pages_read: u64,
    next_page_at: Timestamp,
}

impl CloudListing {
    /// Whether the whole list has been read at least once in this term.
    pub(super) fn is_complete(&self) -> bool {
        self.complete
    }

    /// Adds a page, or `None` for a failed read. Returns the whole list after the last page.
    fn add_page(&mut self, page: Option<MachinePage>, now: Timestamp) -> Option<Vec<ListedMachine>> {
        self.in_flight = false;
        let Some(page) = page else {
            self.machines.clear();
            self.pages_read = 0;
            self.next_page_at = now + CLOUD_RETRY_MS;
            return None;
        };
        let has_more = page.has_more && !page.machines.is_empty();
        self.machines.extend(page.machines);
        self.pages_read += 1;
        if has_more {
            self.next_page_at = now;
            return None;
        }
        self.complete = true;
        // Reading a long list uses calls that launches and releases need, so it is read less often.
        self.next_page_at = now + LIST_INTERVAL_MS * std::mem::take(&mut self.pages_read).div_ceil(2);
        Some(std::mem::take(&mut self.machines))
    }
}

impl LeaderTerm {
    /// Requests the next page of the list, if one is due.
    pub(in crate::leader) fn poll_listing(&mut self, io: &mut Io) {
        let listing = &mut self.autoscaler.listing;
        if listing.in_flight || io.now < listing.next_page_at {
            return;
        }
        let Ok(permit) = io.permits.request(GuardedOperation::ListMachines, io.now) else {
            listing.next_page_at = io.now + LIVENESS_CHECK_MS;
            return;
        };
        if !io.cloud_budget.try_take(1.0, RELEASE_CALL_RESERVE, io.now) {
            return;
        }
        listing.in_flight = true;
        let path = paths::listing(listing.machines.last().map(|machine| machine.id.as_str()));
        let call = io.cloud_call(permit, Method::Get, path, Vec::new());
        self.calls.insert(call, TermCall::ListMachines);
    }

    /// Handles a page of the list, and adopts the machines after the last page.
    pub(in crate::leader) fn handle_list_page(&mut self, outcome: &Outcome, io: &mut Io) {
        let page = outcome.read::<MachinePage>(&[200]);
        let Some(machines) = self.autoscaler.listing.add_page(page, io.now) else {
            return;
        };
        for listed in machines {
            self.adopt_listed(listed, io.now);
        }
    }

    /// Updates a machine from the list, and adopts it if it is unknown.
    fn adopt_listed(&mut self, listed: ListedMachine, now: Timestamp) {
        let id = MachineId(Arc::from(listed.id.as_str()));
        if self.machines.is_recently_released(&id) {
            return;
        }
        let machine = self.machines.get_or_adopt(&id, || {
            log::info!("machine adopted machine={id} from=list");
            let mut machine = Machine::new(
                id.clone(),
                listed.machine_type.clone(),
                listed.zone.clone(),
                listed.spot,
                now,
            );
            machine.needs_fencing_probe = listed.status == ListedStatus::Running;
            machine
        });
        machine.unconfirmed = false;
        let age_ms = (listed.age_s.max(0.0) * SECOND_MS as f64) as u64;
        if age_ms > machine.age_ms_at_first_known + now.saturating_sub(machine.first_known_at) {
            machine.first_known_at = now;
            machine.age_ms_at_first_known = age_ms;
        }
        if machine.addr.is_none() {
            machine.addr = listed.addr;
        }
        if listed.status == ListedStatus::Failed && !machine.listed_failed {
            log::info!("machine listed as failed machine={id}");
            machine.listed_failed = true;
            machine.mark_unreachable(now);
        }
    }

    /// Removes answered requests whose machines must be in the list by now.
    pub(in crate::leader) fn remove_listed_requests(&mut self, settings: &Settings, now: Timestamp) {
        let lag_s = settings.deployment.cloud.list_lag_s * LIST_LAG_MAX_FACTOR;
        let pages = (self.machines.len() / LIST_PAGE_MACHINES) as u64;
        let listing_delay_ms = (lag_s * SECOND_MS as f64) as u64 + LIST_LAG_SLACK_MS + pages * LIST_PAGE_MS;
        let obsolete: Vec<String> = self
            .autoscaler
            .requests
            .iter()
            .filter(|(_, request)| request.answered_at.is_some_and(|at| now >= at + listing_delay_ms))
            .map(|(key, _)| key.clone())
            .collect();
        for key in obsolete {
            self.remove_request(&key);
        }
    }
}
