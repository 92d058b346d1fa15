//! Holds on endpoints, and the messages about them between owners and monitors.
//!
//! A hold is any resource that a request occupies at an endpoint: KV blocks, a prefill result, a
//! transfer, a call in progress. Its owner is an entry. The owner registers the hold with a
//! monitor, another entry of its data centre, before it sends anything to the endpoint. See
//! [`crate::owner`] and [`crate::monitor`].

use std::time::Duration;

use mimosa_protocol::EndpointId;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::RequestId;
use mimosa_protocol::data;
use mimosa_protocol::quantity;

use crate::attempt::AttemptNumber;

/// Settings of owners and monitors. All entries must agree on the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldSettings {
    /// How long a monitor waits for a report before it considers the owner failed, and an owner for
    /// an acknowledgement before it considers its holds lost.
    pub lease: Duration,
    /// Time that a monitor adds to the lease, for clocks that run at different speeds.
    pub lease_margin: Duration,
    /// Time between reports without changes, and between repeated cancellations.
    pub heartbeat: Duration,
    /// How long a monitor repeats a cancellation that no endpoint confirms.
    pub cancel_timeout: Duration,
}

impl Default for HoldSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(2),
            lease_margin: Duration::from_millis(100),
            heartbeat: Duration::from_millis(200),
            cancel_timeout: Duration::from_secs(60),
        }
    }
}

impl HoldSettings {
    /// Upper bound on the time from an owner's last report until the monitor first cancels its
    /// holds.
    pub fn max_cancel_delay(&self) -> Duration {
        self.lease + self.lease_margin + self.heartbeat
    }
}

quantity! {
    /// Sequence number of an owner's sessions with monitors, from 1 in each incarnation.
    SessionNumber(u64);
    /// Sequence number of the changes of one session, from 1.
    ChangeNumber(u64);
    /// Sequence number of the reports of one session, from 1.
    ReportNumber(u64);
    /// Counts how often a monitor discarded its state within one incarnation, from 0.
    Term(u64);
}

data! {
    /// Identifies a hold: at most one per attempt and endpoint.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct HoldId {
        /// The request that the resource serves.
        pub request: RequestId,
        /// The attempt of the request, so that cancelling an old one does not end a new one.
        pub attempt: AttemptNumber,
        /// The endpoint that holds the resource.
        pub endpoint: EndpointId,
    }

    /// A change of an owner's holds.
    pub enum Change {
        /// The hold may exist from now on.
        Add(HoldId),
        /// The hold added by this change is gone: it ended, or its owner cancelled it.
        Remove(ChangeNumber),
    }

    /// An owner's report to a monitor with the unacknowledged changes. It renews the lease.
    pub struct Report {
        /// The entry that owns the holds.
        pub owner: InstanceId,
        /// The owner's incarnation. A later one makes the monitor cancel the holds of this one.
        pub incarnation: Incarnation,
        /// The session. A later one of the same owner makes the monitor cancel the holds of this
        /// one.
        pub session: SessionNumber,
        /// The monitor epoch that the session belongs to. It is unknown at first: the monitor then
        /// ignores the changes and only answers with its epoch.
        pub monitor_epoch: Option<MonitorEpoch>,
        /// Sequence number of the report in the session.
        pub number: ReportNumber,
        /// The number of the first change listed; the others follow without gaps.
        pub first_change: ChangeNumber,
        /// The first unacknowledged changes, in order. The monitor skips those that it has applied.
        pub changes: Vec<Change>,
    }

    /// A period in which a monitor did not discard its state.
    #[derive(Copy, Default, Hash, PartialOrd, Ord)]
    pub struct MonitorEpoch {
        /// The incarnation of the monitor's process.
        pub incarnation: Incarnation,
        /// The term within the incarnation.
        pub term: Term,
    }

    /// A monitor's answer to a report.
    pub struct Ack {
        /// The entry that monitors the holds.
        pub monitor: InstanceId,
        /// The monitor's epoch. A later one than the owner knows tells it that the monitor
        /// discarded its holds.
        pub monitor_epoch: MonitorEpoch,
        /// The owner's incarnation in the report; another incarnation ignores the answer.
        pub incarnation: Incarnation,
        /// The session of the report; the owner ignores answers in another session.
        pub session: SessionNumber,
        /// The report that it answers. The owner's lease starts when that report was sent.
        pub number: ReportNumber,
        /// The last change applied; this change and earlier ones are acknowledged.
        pub applied_through: ChangeNumber,
        /// Whether the monitor ended the session: its holds are being cancelled.
        pub fenced: bool,
    }
}
