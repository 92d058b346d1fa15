//! The audit trail: the operator, time, order number, values before and after, and result of each
//! order.

use std::collections::VecDeque;

use mimosa_protocol::OperatorId;
use mimosa_protocol::OrderNumber;
use mimosa_protocol::Revision;
use mimosa_protocol::Timestamp;
use mimosa_protocol::data;
use serde::Deserialize;
use serde::Serialize;

use crate::plan::ChangeLine;
use crate::plan::PlanId;

/// Audit records kept; the oldest are evicted first.
pub const MAX_AUDIT_RECORDS: usize = 16_384;

data! {
    /// The record of one order. Never contains a key or the digest of one.
    pub struct AuditRecord {
        /// The sequence number: starts at 1, rises by 1 and is never reused.
        pub sequence: u64,
        /// When the order was applied.
        pub at: Timestamp,
        /// The operator who sent the order.
        pub operator: OperatorId,
        /// The order number; for routing changes the log index.
        pub number: OrderNumber,
        /// The requested operation.
        pub action: String,
        /// The plan that the order made or asked to confirm; `None` if no plan was made, and for
        /// routing changes.
        pub plan: Option<PlanId>,
        /// The planned or confirmed changes; empty if the order was refused.
        pub lines: Vec<ChangeLine>,
        /// The result of the order.
        pub result: AuditResult,
    }

    /// The result of an order.
    #[serde(rename_all = "snake_case")]
    pub enum AuditResult {
        /// A plan was made; the configuration is unchanged.
        Planned {
            /// The revision that the plan was made at.
            revision: Revision,
        },
        /// The changes were accepted.
        Accepted {
            /// The revision in force from then on.
            revision: Revision,
        },
        /// The order was refused; the configuration is unchanged.
        Refused {
            /// The refusal as a stable identifier.
            code: String,
            /// The refusal as a message.
            reason: String,
        },
    }
}

/// The newest audit records, up to [`MAX_AUDIT_RECORDS`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditTrail {
    records: VecDeque<AuditRecord>,
    last: u64,
}

impl AuditTrail {
    /// Appends a record under the next sequence number, whatever `record.sequence` holds.
    pub fn append(&mut self, record: AuditRecord) {
        self.last += 1;
        self.records.push_back(AuditRecord {
            sequence: self.last,
            ..record
        });
        if self.records.len() > MAX_AUDIT_RECORDS {
            self.records.pop_front();
        }
    }

    /// The kept records with a higher sequence number, oldest first.
    pub fn after(&self, sequence: u64) -> impl Iterator<Item = &AuditRecord> {
        let first = self.oldest();
        let skip = (sequence + 1).saturating_sub(first);
        self.records
            .iter()
            .skip(usize::try_from(skip).unwrap_or(usize::MAX))
    }

    /// The sequence number of the oldest kept record; one above [`Self::last`] if there is none.
    pub fn oldest(&self) -> u64 {
        self.last + 1 - self.records.len() as u64
    }

    /// The sequence number of the newest record; 0 before the first one.
    pub const fn last(&self) -> u64 {
        self.last
    }
}
