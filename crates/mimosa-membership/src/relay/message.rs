//! Input and output of a follower, and the messages between the entries of a data centre about the
//! configuration.

use mimosa_protocol::Configuration;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Revision;
use mimosa_protocol::Timestamp;
use mimosa_protocol::change::Delta;
use mimosa_protocol::data;
use mimosa_protocol::message::ControlMessage;
use mimosa_protocol::message::EntryMessage;

data! {
    /// A message between entries of a data centre about the configuration, sent over TCP.
    pub enum PeerMessage {
        /// A follower asks for the changes that it misses, and whether these lead to the newest
        /// revision.
        Poll {
            /// The number of the poll, which rises by 1 from 1.
            number: u64,
            /// The revision in force at the follower; zero if there is none.
            revision: Revision,
        },
        /// The answer to a poll: this was the newest revision at some time after the poll.
        Confirm {
            /// The number of the poll. Earlier polls need no answer any more.
            number: u64,
            /// The newest committed revision at that time.
            revision: Revision,
        },
        /// A change, which only counts if it directly follows the revision in force.
        Delta(Delta),
        /// The full configuration, sent if the relay no longer keeps all missing deltas.
        Snapshot(Box<Configuration>),
    }

    /// Input of a follower.
    pub enum Event {
        /// Time passed. Must come at least once per poll interval.
        Tick,
        /// The relay in the view of this entry changed; `None` if there is none.
        RelayChanged(Option<InstanceId>),
        /// The control link is connected.
        ControlConnected,
        /// The control link is lost; the driver reconnects it by itself.
        ControlLost,
        /// A message arrived on the control link; ignored unless the link is connected.
        Control(ControlMessage),
        /// Another entry of the data centre sent a message.
        Peer {
            /// The entry that sent it.
            from: InstanceId,
            /// The decoded message.
            message: PeerMessage,
        },
        /// A heartbeat of another entry reported its configuration.
        PeerRevision {
            /// The entry that sent the heartbeat.
            from: InstanceId,
            /// The revision in force there.
            revision: Revision,
            /// The digest of the configuration in force there.
            digest: u32,
        },
        /// The driver put a delta or a snapshot in force.
        InForce {
            /// The revision in force.
            revision: Revision,
            /// The digest of the configuration, compared with those that peers report.
            digest: u32,
        },
    }

    /// Output of a follower, for the driver to carry out.
    pub enum Action {
        /// Open the control link to any control instance.
        OpenControl,
        /// Close the control link: the relay provides the configuration.
        CloseControl,
        /// Connect the control link to another control instance.
        SwitchControl(ControlFault),
        /// Send on the control link.
        ToControl(EntryMessage),
        /// Send to another entry.
        ToPeer {
            /// The entry to send to.
            to: InstanceId,
            /// The message. It may be lost: the answer to a later poll replaces it.
            message: PeerMessage,
        },
        /// Send the configuration in force to another entry, as a snapshot.
        SendSnapshot {
            /// The entry that lags behind.
            to: InstanceId,
        },
        /// Put a delta in force; it directly follows the previous revision.
        Apply(Delta),
        /// Put a snapshot in force; its revision is newer than the previous one.
        Replace(Box<Configuration>),
        /// The configuration is proved to be the newest; to be passed to
        /// [`crate::freshness::Freshness`].
        Confirmed {
            /// When the question was sent, by this process's clock.
            asked: Timestamp,
            /// The newest committed revision when the question was answered.
            revision: Revision,
        },
        /// Another entry has a different configuration under the same revision.
        Diverged {
            /// The entry whose heartbeat shows the difference.
            from: InstanceId,
            /// The revision in force at both.
            revision: Revision,
        },
    }

    /// Why a follower switches to another control instance.
    #[derive(Copy)]
    pub enum ControlFault {
        /// It offered a revision older than the one in force here, so it is cut off from the
        /// quorum.
        StaleRevision(Revision),
        /// It did not answer within
        /// [`Settings::control_silence`](crate::relay::Settings::control_silence).
        Silent,
    }
}
