//! Messages between entries over TCP. Any message may be lost, repeated or delayed; each protocol
//! defines how it recovers.

use mimosa_hold::hold;
use mimosa_hold::part_quarantine::Suspects;
use mimosa_hold::quarantine;
use mimosa_limit::message as limit;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::Epoch;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Revision;
use mimosa_protocol::ServiceId;
use mimosa_protocol::data;
use mimosa_schedule::Action;
use mimosa_schedule::Event;

data! {
    /// Identifies the queue of one service in one data centre.
    #[derive(Hash, PartialOrd, Ord)]
    pub(crate) struct QueueKey {
        pub(crate) data_centre: DataCentreId,
        pub(crate) service: ServiceId,
    }

    /// A message between entries.
    pub(crate) enum PeerMessage {
        /// Opens a connection.
        Hello {
            /// The sending entry.
            instance: InstanceId,
            /// Start time of the sending process.
            incarnation: Incarnation,
            /// The sender's cluster. The receiver closes the connection if it differs from its own.
            cluster: String,
        },
        /// An event for the scheduler of a queue. An entry that does not schedule the queue
        /// forwards it once.
        SchedulerRequest {
            queue: QueueKey,
            /// The entry that owns the request and receives the decisions on it.
            owner: InstanceId,
            /// Whether another entry forwarded it already; it is then not forwarded again.
            forwarded: bool,
            event: Box<Event>,
        },
        /// The scheduler's decision on a request that the receiver owns.
        SchedulerDecision {
            queue: QueueKey,
            action: Action,
        },
        /// The sender schedules a queue under this epoch. Grants of lower epochs are rejected from
        /// now on.
        SchedulerAnnouncement {
            queue: QueueKey,
            epoch: Epoch,
        },
        /// Reports of a slice holder, for the keepers of their partitions.
        LimitReports {
            /// Whether another entry forwarded them already; they are then not forwarded again.
            forwarded: bool,
            reports: Vec<limit::Report>,
        },
        /// Answers of keepers to reports.
        LimitAnswers {
            /// Whether another entry forwarded them already; they are then not forwarded again.
            forwarded: bool,
            /// Each answer with the slice holder that it is for.
            answers: Vec<(limit::Holder, limit::Answer)>,
        },
        /// The settled revisions of a data centre's keepers: everything that they granted under
        /// older revisions has expired.
        LimitSettled {
            /// Whether another entry forwarded them already; they are then not forwarded again.
            forwarded: bool,
            /// The data centre of the keepers.
            data_centre: DataCentreId,
            /// The settled revision of each partition that the sender keeps.
            revisions: Vec<(limit::Partition, Revision)>,
        },
        /// Changes to the sender's holds, for the entry that monitors them.
        HoldReport(hold::Report),
        /// A monitor's acknowledgement of a hold report.
        HoldAck(hold::Ack),
        /// Quarantine records of requests that crashed endpoints.
        QuarantineDelta(quarantine::Delta),
        /// Prompt parts and requests that may crash endpoints.
        Suspects(Suspects),
    }
}
