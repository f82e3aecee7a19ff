//! Scale-out requests: machines that are being launched in the cloud.

use crate::model::Timestamp;
use crate::protocol::LaunchRequest;

/// A request to the cloud for machines.
#[derive(Debug)]
pub struct ScaleOutRequest {
    /// The request as sent to the cloud.
    pub request: LaunchRequest,
    /// Whether its record is persisted. It must not be sent before that.
    pub persisted: bool,
    /// Whether it may have been sent, by this leader or a former one.
    pub sent: bool,
    /// Whether a call is waiting for its response.
    pub in_flight: bool,
    /// Whether a call got no response. The cloud may still carry it out at any time, even minutes later.
    pub outcome_unknown: bool,
    /// The earliest time of the next call.
    pub retry_at: Timestamp,
    /// When the cloud returned its machines. The record is kept until they must appear in the cloud's list of
    /// machines, because a new leader finds booting machines only through it.
    pub answered_at: Option<Timestamp>,
}

impl ScaleOutRequest {
    /// Creates a request that is neither persisted nor sent yet.
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

    /// Whether the cloud has not returned its machines yet.
    pub fn is_open(&self) -> bool {
        self.answered_at.is_none()
    }
}
