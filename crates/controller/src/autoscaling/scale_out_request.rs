//! Scale-out requests: machines that are being rented from the cloud.

use crate::model::Timestamp;
use crate::protocol::LaunchRequest;

/// A request for machines, from the decision until its machines are known.
#[derive(Debug)]
pub struct ScaleOutRequest {
    /// What the cloud is asked for.
    pub request: LaunchRequest,
    /// Its record is persisted: only then it may be sent.
    pub persisted: bool,
    /// It may have been sent, by this leader or a former one.
    pub sent: bool,
    /// A call of it waits for its answer.
    pub in_flight: bool,
    /// A call of it went unanswered: it may be carried out at any time, minutes later.
    pub outcome_unknown: bool,
    /// Not sent again before this time.
    pub retry_at: Timestamp,
    /// When the cloud named its machines. Its record stays until the list must show
    /// them: only it leads a new leader to machines that boot.
    pub answered_at: Option<Timestamp>,
}

impl ScaleOutRequest {
    /// A request that is neither persisted nor sent yet.
    pub fn new(request: LaunchRequest) -> ScaleOutRequest {
        ScaleOutRequest {
            request,
            persisted: false,
            sent: false,
            in_flight: false,
            outcome_unknown: false,
            retry_at: 0,
            answered_at: None,
        }
    }

    /// Whether its machines are not known yet.
    pub fn is_open(&self) -> bool {
        self.answered_at.is_none()
    }
}
