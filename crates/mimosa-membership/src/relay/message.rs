//! What a follower is told and decides, and what the entries of a data centre tell each other about
//! the configuration.

use mimosa_protocol::Configuration;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Revision;
use mimosa_protocol::Timestamp;
use mimosa_protocol::change::Delta;
use mimosa_protocol::data;
use mimosa_protocol::message::ControlMessage;
use mimosa_protocol::message::EntryMessage;

data! {
    /// What the entries of a data centre tell each other over TCP about the configuration.
    pub enum PeerMessage {
        /// A follower asks for what it misses and whether that is the newest.
        Ask {
            /// Counts the follower's questions.
            number: u64,
            /// What it has.
            revision: Revision,
        },
        /// The answer: after the question this was the newest revision.
        Confirm {
            /// The question.
            number: u64,
            /// The newest revision.
            revision: Revision,
        },
        /// The next change.
        Delta(Delta),
        /// The whole configuration.
        Snapshot(Box<Configuration>),
    }

    /// What a follower is told.
    pub enum Event {
        /// Time passed.
        Tick,
        /// Who is the relay, as far as this entry knows.
        RelayChanged(Option<InstanceId>),
        /// The control link stands.
        ControlConnected,
        /// The control link is gone.
        ControlLost,
        /// A control instance spoke.
        Control(ControlMessage),
        /// Another entry of the data centre spoke.
        Peer {
            /// Who.
            from: InstanceId,
            /// What it said.
            message: PeerMessage,
        },
        /// A heartbeat told what is in force at another entry.
        Heard {
            /// Who.
            from: InstanceId,
            /// Its revision.
            revision: Revision,
            /// Digest of its configuration.
            digest: u32,
        },
        /// The driver has put a delta or a snapshot in force.
        InForce {
            /// The revision.
            revision: Revision,
            /// Digest of the configuration.
            digest: u32,
        },
    }

    /// What the driver is to do or to know.
    pub enum Action {
        /// Open the control link, to any control instance.
        OpenControl,
        /// Close the control link.
        CloseControl,
        /// Leave this control instance for another.
        ChangeControl(ControlFault),
        /// Send on the control link.
        ToControl(EntryMessage),
        /// Send to another entry.
        ToPeer {
            /// The receiver.
            to: InstanceId,
            /// The message.
            message: PeerMessage,
        },
        /// Send the configuration in force to another entry, as a snapshot.
        SendSnapshot {
            /// The receiver.
            to: InstanceId,
        },
        /// Put a delta in force; it follows the revision before.
        Apply(Delta),
        /// Put a snapshot in force.
        Replace(Box<Configuration>),
        /// The configuration was proved to be the newest: tell [`crate::freshness::Freshness`].
        Confirmed {
            /// When the question was sent.
            asked: Timestamp,
            /// The newest revision.
            revision: Revision,
        },
        /// Another entry has other contents under the same revision.
        Diverged {
            /// Who.
            from: InstanceId,
            /// The revision.
            revision: Revision,
        },
    }

    /// Why a control instance is left.
    #[derive(Copy)]
    pub enum ControlFault {
        /// It offered a revision below the one in force here: it was cut off.
        OldRevision(Revision),
        /// It did not answer.
        Silent,
    }
}
