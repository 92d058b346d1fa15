//! Messages between entries over TCP. Any message may be lost, repeated or delayed; each protocol
//! defines how it recovers.

use mimosa_hold::hold;
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
        /// The data centre.
        pub(crate) data_centre: DataCentreId,
        /// The service.
        pub(crate) service: ServiceId,
    }

    /// A message between entries.
    pub(crate) enum PeerMessage {
        /// Opens a connection.
        Hello {
            /// The sender.
            instance: InstanceId,
            /// Its incarnation.
            incarnation: Incarnation,
            /// Its cluster. The receiver closes the connection if it differs from its own.
            cluster: String,
        },
        /// An event for the scheduler of a queue. Any entry of the data centre forwards it once.
        SchedulerRequest {
            /// The queue.
            queue: QueueKey,
            /// The entry that owns the request.
            owner: InstanceId,
            /// Whether it was forwarded before.
            forwarded: bool,
            /// The event.
            event: Box<Event>,
        },
        /// The scheduler's decision on a request that the receiver owns.
        SchedulerDecision {
            /// The queue.
            queue: QueueKey,
            /// The decision.
            action: Action,
        },
        /// The sender schedules a queue under this epoch. Grants of lower epochs are rejected from
        /// now on.
        SchedulerAnnouncement {
            /// The queue.
            queue: QueueKey,
            /// The epoch.
            epoch: Epoch,
        },
        /// Reports of a slice holder, for the keepers of their partitions.
        LimitReports {
            /// Whether it was forwarded before.
            forwarded: bool,
            /// The reports.
            reports: Vec<limit::Report>,
        },
        /// Answers of keepers.
        LimitAnswers {
            /// Whether it was forwarded before.
            forwarded: bool,
            /// The answers, each with the holder that it is for.
            answers: Vec<(limit::Holder, limit::Answer)>,
        },
        /// The settled revisions of a data centre's keepers.
        LimitSettled {
            /// Whether it was forwarded before.
            forwarded: bool,
            /// The data centre.
            data_centre: DataCentreId,
            /// The settled revision of each partition that the sender keeps.
            revisions: Vec<(limit::Partition, Revision)>,
        },
        /// Changes to an owner's holds, for its monitor.
        HoldReport(hold::Report),
        /// The monitor's acknowledgement.
        HoldAck(hold::Ack),
        /// Quarantine records of requests that crashed endpoints.
        QuarantineDelta(quarantine::Delta),
    }
}
