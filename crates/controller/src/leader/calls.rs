//! The calls that a leader makes in its term. With the term, whoever waits for an answer is gone.

use super::LeaderTerm;
use super::accounting::AccountingCall;
use super::direct_commands::DirectCall;
use crate::constants::STATE_TIMEOUT_MS;
use crate::io::{Io, Method};
use crate::model::{MachineId, Timestamp};
use crate::protocol::paths;
use std::net::SocketAddrV4;

/// A call under way, with what is needed to follow its answer.
#[derive(Debug)]
pub(super) enum TermCall {
    /// A page of records, read at the start of the term.
    Load { sent: Timestamp },
    /// Changes of live jobs' records.
    Watch { sent: Timestamp },
    /// A transaction that the batch writer put together.
    Write,
    /// A record whose version is uncertain.
    Reread {
        key: String,
        /// Notices of peers that jobs had ended that had come when it was asked.
        end_notices: u64,
    },
    /// A direct command to a machine.
    Direct(DirectCall),
    /// A question whether a machine answers.
    Inspect { machine: MachineId },
    /// A page of the cloud's list of machines.
    List,
    /// A scale-out request, by its name.
    Rent { request: String },
    /// Machines that the cloud is to take back.
    Return {
        machines: Vec<MachineId>,
        sent: Timestamp,
    },
    /// The record of the machine types.
    StoreTypes,
    /// Usage of licences, as their server has it.
    Licences { server: SocketAddrV4 },
    /// A change of a cluster's records; the watch tells what came of it.
    Cluster,
    /// Reading or writing of teams' accounts.
    Books(AccountingCall),
}

impl LeaderTerm {
    /// Sends a call to the state service.
    pub(super) fn state_call(
        &mut self,
        method: Method,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
        kind: TermCall,
        io: &mut Io,
    ) {
        let call = io.state_call(method, path, body, timeout_ms);
        self.calls.insert(call, kind);
    }

    /// Reads from the state service, within its usual time.
    pub(super) fn read_state(&mut self, path: String, kind: TermCall, io: &mut Io) {
        self.state_call(Method::Get, path, Vec::new(), STATE_TIMEOUT_MS, kind, io);
    }

    /// Sends a transaction to the state service.
    pub(super) fn transact(&mut self, body: Vec<u8>, kind: TermCall, io: &mut Io) {
        let path = paths::TRANSACTION.to_owned();
        self.state_call(Method::Post, path, body, STATE_TIMEOUT_MS, kind, io);
    }
}
