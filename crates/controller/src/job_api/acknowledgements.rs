//! Acknowledgements that a job has ended. Whoever reports the end to a user waits for them, and no task of the job may
//! start from then on. So a node gives its acknowledgement only once no start of the job can leave it any more.

use super::JobApi;
use crate::constants::MAX_PEER_NOTICES;
use crate::io::{Effect, Io};
use crate::model::JobId;
use crate::peers::Frame;

/// Whom an acknowledgement is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AcknowledgementRecipient {
    /// The peer with this index in the settings.
    Peer(usize),
    /// This node, which is about to report the end itself.
    ThisNode,
}

/// An acknowledgement that is due once no start of the job can be sent.
#[derive(Debug)]
pub(super) struct WithheldAcknowledgement {
    job: JobId,
    nonce: u64,
    recipient: AcknowledgementRecipient,
}

impl JobApi {
    /// Handles a peer's notice that it is about to report the job's end. The notice is acknowledged if it could be
    /// recorded, immediately or as soon as no start of the job can be sent.
    pub fn on_end_notice(&mut self, job: JobId, nonce: u64, peer: Option<usize>, io: &mut Io) {
        let is_recorded = self.on_peer_notice(job.clone(), true, io.now);
        if let Some(peer) = peer.filter(|_| is_recorded) {
            self.acknowledge_end(job, nonce, AcknowledgementRecipient::Peer(peer), io);
        }
    }

    /// Acknowledges the end of a job, or keeps the acknowledgement until no start of the job can be sent.
    pub(super) fn acknowledge_end(
        &mut self,
        job: JobId,
        nonce: u64,
        recipient: AcknowledgementRecipient,
        io: &mut Io,
    ) {
        let acknowledgement = WithheldAcknowledgement {
            job,
            nonce,
            recipient,
        };
        if !io.starts_in_flight.may_be_sent(&acknowledgement.job, io.now) {
            self.deliver_acknowledgement(acknowledgement, io);
        } else if self.withheld_acknowledgements.len() < MAX_PEER_NOTICES {
            self.withheld_acknowledgements.push(acknowledgement);
        }
    }

    /// Delivers the acknowledgements that need not be withheld any more.
    pub(super) fn deliver_due_acknowledgements(&mut self, io: &mut Io) {
        let (starts, now) = (&io.starts_in_flight, io.now);
        let due = self
            .withheld_acknowledgements
            .extract_if(.., |withheld| !starts.may_be_sent(&withheld.job, now));
        for acknowledgement in due.collect::<Vec<_>>() {
            self.deliver_acknowledgement(acknowledgement, io);
        }
    }

    fn deliver_acknowledgement(&mut self, acknowledgement: WithheldAcknowledgement, io: &mut Io) {
        let WithheldAcknowledgement {
            job,
            nonce,
            recipient,
        } = acknowledgement;
        match recipient {
            AcknowledgementRecipient::Peer(peer) => {
                let index = self.index;
                let bytes = Frame::EndAcknowledged { job, nonce, index }.encode();
                io.effects.push(Effect::Frame { peer, bytes });
            }
            AcknowledgementRecipient::ThisNode => self.on_end_acknowledged(&job, nonce, io),
        }
    }
}
