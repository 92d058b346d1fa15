//! Holds on endpoints, and what owners and guards say to each other about them.
//!
//! A hold is anything that a request occupies at an endpoint: KV blocks, a prefill result, a
//! transfer, a call in hand. Its owner, an entry, mirrors it to a guard, another entry of its
//! data centre, before anything is sent to the endpoint. See [`crate::owner`] and
//! [`crate::monitor`].

use std::time::Duration;

use mimosa_protocol::EndpointId;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::RequestId;
use mimosa_protocol::data;
use mimosa_protocol::quantity;

use crate::attempt::AttemptNumber;

/// Settings of owners and guards. All entries must agree on the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldSettings {
    /// How long a guard waits for a report before it takes the owner as gone, and an owner for
    /// an answer before it takes its holds as lost.
    pub lease: Duration,
    /// What a guard adds to the lease, for clocks that differ in speed.
    pub lease_margin: Duration,
    /// Time between reports when nothing changes, and between repeated cancels.
    pub heartbeat: Duration,
    /// How long a guard repeats a cancel that no endpoint confirms.
    pub cancel_patience: Duration,
}

impl Default for HoldSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(2),
            lease_margin: Duration::from_millis(100),
            heartbeat: Duration::from_millis(200),
            cancel_patience: Duration::from_secs(60),
        }
    }
}

impl HoldSettings {
    /// How long after its owner's last report a hold's first cancel leaves the guard, at most.
    pub fn cancel_bound(&self) -> Duration {
        self.lease + self.lease_margin + self.heartbeat
    }
}

quantity! {
    /// Counts an owner's sessions with guards.
    Session(u64);
    /// Counts the changes of one session.
    ChangeNumber(u64);
    /// Counts the reports of one session.
    ReportNumber(u64);
    /// Counts how often a guard had to forget everything in one life.
    Term(u64);
}

data! {
    /// Names a hold.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct HoldId {
        /// The request.
        pub request: RequestId,
        /// Its attempt.
        pub attempt: AttemptNumber,
        /// Where it is held.
        pub endpoint: EndpointId,
    }

    /// A change of an owner's holds.
    pub enum Change {
        /// The hold may exist from now on.
        Add(HoldId),
        /// The hold that this change added is gone: it ended, or its owner cancelled it.
        Remove(ChangeNumber),
    }

    /// An owner to a guard: changes that were not acknowledged. Renews the lease.
    pub struct Report {
        /// The owner.
        pub owner: InstanceId,
        /// Its life.
        pub incarnation: Incarnation,
        /// The session.
        pub session: Session,
        /// The life of the guard that the session is with. Unknown at first: the guard then
        /// takes in nothing and only names itself.
        pub life: Option<GuardLife>,
        /// Which report of the session.
        pub number: ReportNumber,
        /// The number of the first change listed; the first of a session is one.
        pub first: ChangeNumber,
        /// The changes, in order.
        pub changes: Vec<Change>,
    }

    /// The part of a guard's life in which it forgot nothing.
    #[derive(Copy, Default, Hash, PartialOrd, Ord)]
    pub struct GuardLife {
        /// The life of the process.
        pub incarnation: Incarnation,
        /// The term in it.
        pub term: Term,
    }

    /// A guard's answer to a report.
    pub struct Ack {
        /// The guard.
        pub guard: InstanceId,
        /// Its life.
        pub life: GuardLife,
        /// The owner's life.
        pub incarnation: Incarnation,
        /// The session.
        pub session: Session,
        /// The report that it answers.
        pub number: ReportNumber,
        /// Changes up to this one are applied.
        pub through: ChangeNumber,
        /// Whether the guard ended the session: its holds are being cancelled.
        pub fenced: bool,
    }
}
