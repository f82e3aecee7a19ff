//! Calls that a leader makes during its term. Responses that arrive after the term are dropped.

use super::LeaderTerm;
use super::accounting::AccountingCall;
use super::direct_commands::DirectCall;
use crate::constants::STATE_TIMEOUT_MS;
use crate::io::{Io, Method};
use crate::model::{MachineId, Timestamp};
use crate::protocol::paths;
use std::net::SocketAddrV4;

/// A call in flight, with the context needed to handle its response.
#[derive(Debug)]
pub(super) enum TermCall {
    /// Reads a page of records during recovery.
    RecordsPage { sent: Timestamp },
    /// Watches the records of live jobs for changes.
    Watch { sent: Timestamp },
    /// A transaction assembled by the batch writer, or a token renewal.
    Transaction { sent: Timestamp },
    /// Reads a record whose version is uncertain.
    Reread {
        key: String,
        /// Number of end-of-job notices received from peers when the read was sent.
        end_notices: u64,
    },
    /// A direct command to a machine.
    Direct(DirectCall),
    /// Probes a machine.
    Probe { machine: MachineId },
    /// Reads a page of the cloud's machine list.
    ListMachines,
    /// Sends a scale-out request, identified by its key.
    Launch { request: String },
    /// Releases machines to the cloud.
    Release {
        machines: Vec<MachineId>,
        sent: Timestamp,
    },
    /// Writes the machine types.
    StoreMachineTypes,
    /// Reads licence usage from a licence server.
    LicenceUsage { server: SocketAddrV4 },
    /// Changes the records of a submitted cluster. The record watch delivers the result.
    SubmitCluster,
    /// Reads or writes the accounts of teams.
    Accounting(AccountingCall),
}

impl LeaderTerm {
    /// Sends a call to the state service.
    pub(super) fn state_call(
        &mut self,
        method: Method,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
        term_call: TermCall,
        io: &mut Io,
    ) {
        let call = io.state_call(method, path, body, timeout_ms);
        self.calls.insert(call, term_call);
    }

    /// Reads from the state service with the default timeout.
    pub(super) fn read_state(&mut self, path: String, term_call: TermCall, io: &mut Io) {
        self.state_call(Method::Get, path, Vec::new(), STATE_TIMEOUT_MS, term_call, io);
    }

    /// Sends a transaction to the state service.
    pub(super) fn transact(&mut self, body: Vec<u8>, term_call: TermCall, io: &mut Io) {
        let path = paths::TRANSACTION.to_owned();
        self.state_call(Method::Post, path, body, STATE_TIMEOUT_MS, term_call, io);
    }
}
