//! Messages between the entries of a data centre, sent over UDP.

use mimosa_protocol::DataCentreId;
use mimosa_protocol::Epoch;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Revision;
use mimosa_protocol::data;

use crate::view::Identity;
use crate::view::View;

data! {
    /// A datagram between two entries. It may be lost, repeated or reordered.
    pub struct Message {
        /// The process that sent it.
        pub from: Identity,
        /// The data centre of the sender; datagrams of another data centre are ignored.
        pub data_centre: DataCentreId,
        /// The heartbeat, or the step of an agreement.
        pub body: Body,
    }

    /// The contents of a datagram.
    pub enum Body {
        /// The sender is alive.
        Heartbeat(Heartbeat),
        /// Phase 1 request of the agreement on the view after a base.
        Prepare(Prepare),
        /// Phase 1 answer: the sender rejects lower ballots from now on.
        Promise(Promise),
        /// Phase 2 request: accept a proposed view.
        Accept(Accept),
        /// Phase 2 answer: the sender accepted the view and acknowledges no lease of the base any
        /// more.
        Accepted {
            /// The epoch of the base, as in [`Prepare::base`].
            base: Epoch,
            /// The ballot of the accepted proposal.
            ballot: Ballot,
        },
        /// The newest chosen view that the sender knows.
        Install(View),
        /// The receiver is a superseded incarnation of its instance and must stop.
        Stop {
            /// The later incarnation, which is running.
            by: Incarnation,
        },
    }

    /// A heartbeat, which also carries lease acknowledgements and the state of the sender.
    pub struct Heartbeat {
        /// The sequence number of the heartbeat, from 1 in each incarnation of the sender.
        pub sequence: u64,
        /// The newest heartbeat that the sender received from the receiver. Together with the
        /// sender's epoch it acknowledges the receiver's lease.
        pub echo: Option<Echo>,
        /// Whether the sender acknowledges leases of its view. `false` once it accepted the next
        /// view.
        pub acknowledges: bool,
        /// The epoch of the newest view that the sender knows.
        pub epoch: Epoch,
        /// Whether the sender votes in that view.
        pub votes: bool,
        /// The sender's report about itself.
        pub report: Report,
    }

    /// Identifies a heartbeat of the receiver.
    #[derive(Copy)]
    pub struct Echo {
        /// The incarnation that sent the heartbeat.
        pub incarnation: Incarnation,
        /// The sequence number of the heartbeat, whose sending time starts the lease.
        pub sequence: u64,
    }

    /// The report of an entry about itself.
    #[derive(Copy, Default)]
    pub struct Report {
        /// Whether the entry finishes its work and then stops.
        pub draining: bool,
        /// The revision of the configuration in force there.
        pub revision: Revision,
        /// The digest of that configuration, compared between entries at the same revision.
        pub digest: u32,
        /// The digest of its load; the entries define the contents.
        pub load: u32,
    }

    /// Orders the rounds of one agreement: by round, then by proposer.
    #[derive(PartialOrd, Ord)]
    pub struct Ballot {
        /// The number of the round, above all that the proposer knows of.
        pub round: u64,
        /// The entry that leads the round.
        pub proposer: InstanceId,
    }

    /// The request of phase 1.
    pub struct Prepare {
        /// The epoch of the view whose members vote; zero to form the first view.
        pub base: Epoch,
        /// The ballot of the round, which the answers repeat.
        pub ballot: Ballot,
        /// All entries that the proposer counts when it forms the first view; otherwise empty.
        pub counted: Vec<InstanceId>,
    }

    /// The answer to [`Prepare`].
    pub struct Promise {
        /// The epoch of the base, as in [`Prepare::base`].
        pub base: Epoch,
        /// The promised ballot: the sender rejects lower ones.
        pub ballot: Ballot,
        /// The proposal that the sender accepted in an earlier round; `None` if there is none.
        pub accepted: Option<Proposal>,
    }

    /// The request of phase 2.
    pub struct Accept {
        /// The epoch of the base, as in [`Prepare::base`].
        pub base: Epoch,
        /// The proposal to accept unless a higher ballot was promised.
        pub proposal: Proposal,
    }

    /// A view proposed in a round.
    pub struct Proposal {
        /// The ballot of the round that proposes the view.
        pub ballot: Ballot,
        /// The proposed view: the one with the highest ballot that the promises report, if any.
        pub view: View,
    }
}
