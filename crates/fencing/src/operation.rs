//! The table of guarded operations: the system that each acts on, what fences a replaced leader
//! there, what is recorded beforehand, and what the successor does with such a record.

use std::fmt;

/// An operation that only one controller may carry out at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum GuardedOperation {
    /// Deciding which task runs on which machine, and sending the starts.
    PlaceTasks,
    /// Renting machines from the cloud.
    LaunchMachines,
    /// Returning machines to the cloud.
    ReleaseMachines,
    /// Stopping running tasks to make room or to restore a guarantee.
    PreemptTasks,
    /// Deleting records that are no longer needed.
    DeleteRecords,
    /// Reading the cloud's list of machines.
    ListMachines,
    /// Storing the list of machine types.
    RecordMachineTypes,
}

/// What keeps a call of a replaced leader from doing harm in the system that receives it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fence {
    /// The state service compares the leader's fencing token in the same transaction.
    Transaction,
    /// The worker rejects commands with a lower fencing token than the highest it has seen.
    Token,
    /// The receiver compares nothing: a permit bounds when the call is sent, and a recorded
    /// intent tells the successor of a call that is carried out late.
    PermitAndIntent,
    /// None is needed: the operation only reads.
    None,
}

/// How one operation is fenced.
#[derive(Debug, Clone, Copy)]
pub struct OperationSpec {
    /// The operation.
    pub operation: GuardedOperation,
    /// The system that it acts on.
    pub target: &'static str,
    /// What fences a replaced leader there.
    pub fence: Fence,
    /// What is durable before the call is sent.
    pub intent: &'static str,
    /// What a successor does with an intent that it finds.
    pub successor: &'static str,
}

/// All guarded operations, one specification each.
pub const GUARDED_OPERATIONS: [OperationSpec; 7] = [
    OperationSpec {
        operation: GuardedOperation::PlaceTasks,
        target: "workers",
        fence: Fence::Token,
        intent: "the start, in the machine's record, while the job is live",
        successor: "counts the task as running until it is provably gone",
    },
    OperationSpec {
        operation: GuardedOperation::LaunchMachines,
        target: "the cloud",
        fence: Fence::PermitAndIntent,
        intent: "the request, under a name that contains the fencing token",
        successor: "repeats the request, which is idempotent under its name",
    },
    OperationSpec {
        operation: GuardedOperation::ReleaseMachines,
        target: "the cloud",
        fence: Fence::PermitAndIntent,
        intent: "the return flag in the machine's record",
        successor: "places nothing there and repeats the return until the cloud confirms it",
    },
    OperationSpec {
        operation: GuardedOperation::PreemptTasks,
        target: "workers",
        fence: Fence::Token,
        intent: "none: a lost stop is decided again",
        successor: "decides again from the worker's reports",
    },
    OperationSpec {
        operation: GuardedOperation::DeleteRecords,
        target: "the state service",
        fence: Fence::Transaction,
        intent: "none: only records found to be unneeded are deleted",
        successor: "finds them again",
    },
    OperationSpec {
        operation: GuardedOperation::ListMachines,
        target: "the cloud",
        fence: Fence::None,
        intent: "none: it only reads",
        successor: "reads again",
    },
    OperationSpec {
        operation: GuardedOperation::RecordMachineTypes,
        target: "the state service",
        fence: Fence::Transaction,
        intent: "none: the write is idempotent",
        successor: "writes it again",
    },
];

impl GuardedOperation {
    /// All operations, in the order of [`GUARDED_OPERATIONS`].
    pub fn all() -> impl Iterator<Item = GuardedOperation> {
        GUARDED_OPERATIONS.iter().map(|spec| spec.operation)
    }

    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            GuardedOperation::PlaceTasks => "place",
            GuardedOperation::LaunchMachines => "rent",
            GuardedOperation::ReleaseMachines => "return",
            GuardedOperation::PreemptTasks => "reclaim",
            GuardedOperation::DeleteRecords => "clean_up",
            GuardedOperation::ListMachines => "list",
            GuardedOperation::RecordMachineTypes => "keep_types",
        }
    }
}

impl fmt::Display for GuardedOperation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

#[cfg(test)]
mod tests;
