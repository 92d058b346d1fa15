//! Validation of grants at the entry before an attempt starts.

use std::collections::BTreeSet;

use mimosa_protocol::Epoch;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use thiserror::Error;

use crate::Grant;

/// Reason for rejecting a grant. The attempt must not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FenceError {
    /// The grant is of a scheduler that has been replaced by one with a higher epoch.
    #[error("grant of epoch {granted} is superseded by epoch {known}")]
    OldEpoch {
        /// Epoch of the grant.
        granted: Epoch,
        /// Highest epoch that the entry knows.
        known: Epoch,
    },
    /// The grant arrived after its latest start.
    #[error("grant expired at {start_by}")]
    Expired {
        /// Latest start that the grant allowed.
        start_by: Timestamp,
    },
    /// The same grant was accepted before.
    #[error("grant was already accepted")]
    Repeated,
}

/// Rejects grants of superseded schedulers, expired grants and duplicate grants.
///
/// Each entry has one fence per service. An accepted grant is stored until it expires; a later
/// duplicate is rejected as expired.
#[derive(Clone, Debug, Default)]
pub struct GrantFence {
    epoch: Epoch,
    accepted: BTreeSet<(Timestamp, RequestId)>,
}

impl GrantFence {
    /// Highest known epoch, which is included in the reports to a scheduler.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Records that a scheduler of this epoch exists. Grants of lower epochs are rejected from now
    /// on.
    pub fn observe(&mut self, epoch: Epoch) {
        self.epoch = self.epoch.max(epoch);
    }

    /// Validates a grant and records it as accepted.
    ///
    /// # Errors
    ///
    /// Returns a [`FenceError`] if the grant is superseded, expired or a duplicate.
    pub fn accept(&mut self, now: Timestamp, grant: &Grant) -> Result<(), FenceError> {
        if grant.epoch < self.epoch {
            return Err(FenceError::OldEpoch {
                granted: grant.epoch,
                known: self.epoch,
            });
        }
        let start_by = grant.start_by;
        if now > start_by {
            return Err(FenceError::Expired { start_by });
        }
        self.observe(grant.epoch);
        self.remove_expired(now);
        if !self.accepted.insert((start_by, grant.request)) {
            return Err(FenceError::Repeated);
        }
        Ok(())
    }

    fn remove_expired(&mut self, now: Timestamp) {
        while self.accepted.first().is_some_and(|(until, _)| *until < now) {
            self.accepted.pop_first();
        }
    }
}
