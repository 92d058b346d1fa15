//! Messages between entries and control instances, encoded with `postcard`.

use std::net::SocketAddr;

use crate::change::Delta;
use crate::configuration::Configuration;
use crate::hash::Sha256Digest;
use crate::id::AccountId;
use crate::id::DataCentreId;
use crate::id::Incarnation;
use crate::id::InstanceId;
use crate::id::RequestId;
use crate::id::Revision;
use crate::id::ServiceId;
use crate::time::Timestamp;

data! {
    /// A message from an entry to a control instance, over TCP.
    pub enum EntryMessage {
        /// Handshake. The control instance replies with a snapshot or the missing deltas.
        Hello {
            /// Name of the entry, unique within the cluster.
            instance: InstanceId,
            /// Incarnation of the entry's process. The connection is refused if a higher one of the
            /// same name is known.
            incarnation: Incarnation,
            /// Data centre of the entry.
            data_centre: DataCentreId,
            /// Revision of the configuration that the entry has; 0 if it has none.
            revision: Revision,
        },
        /// Sent after the handshake: where the entry accepts messages of other entries.
        Listens {
            /// Address for both TCP and UDP.
            address: SocketAddr,
        },
        /// The revision that the entry applies; sent on each change and with each heartbeat.
        InForce {
            /// The revision of the configuration by which the entry decides.
            revision: Revision,
            /// Sequence number of the message. The entry records when it sent each one.
            probe: u64,
        },
        /// Requests that the start of a non-idempotent call be recorded; the call may run only after
        /// [`LedgerAnswer::Run`].
        LedgerBegin(LedgerBegin),
        /// Requests that the outcome of the call be recorded; sent again until it is acknowledged or
        /// the sender gives up.
        LedgerFinish(LedgerFinish),
    }

    /// A message from a control instance to an entry, over TCP.
    pub enum ControlMessage {
        /// The complete configuration; sent if the deltas after the entry's revision are no longer
        /// kept.
        Snapshot(Box<Configuration>),
        /// The changes to the next revision.
        Delta(Delta),
        /// The entries that are connected to the control instances; sent when the list changes
        /// and every few seconds. The list may be outdated or miss an entry that is alive.
        Entries(Vec<ListedEntry>),
        /// Confirms the newest revision. The sender verified that it is up to date by a quorum
        /// round that started after it received the probe.
        Current {
            /// The newest committed revision.
            revision: Revision,
            /// Sequence number of the last [`EntryMessage::InForce`] received before the round.
            probe: u64,
        },
        /// The answer to [`EntryMessage::LedgerBegin`].
        LedgerBegun {
            /// The request that asked to begin the call.
            request: RequestId,
            /// Whether the call may run.
            answer: LedgerAnswer,
        },
        /// The answer to [`EntryMessage::LedgerFinish`]: the outcome is recorded.
        LedgerFinished {
            /// The request that ran the call.
            request: RequestId,
        },
    }

    /// An entry in the list of [`ControlMessage::Entries`].
    pub struct ListedEntry {
        /// Name of the entry.
        pub instance: InstanceId,
        /// Data centre of the entry.
        pub data_centre: DataCentreId,
        /// TCP and UDP address at which the entry accepts messages of other entries.
        pub address: SocketAddr,
    }

    /// Identifies a non-idempotent call. A resend of the call has the same key.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct LedgerKey {
        /// Account of the client. Equal keys of different accounts are different calls.
        pub account: AccountId,
        /// The called service. Equal keys for different services are different calls.
        pub service: ServiceId,
        /// Value of the client's `Idempotency-Key` header; at most 255 bytes.
        pub idempotency_key: String,
    }

    /// The start of a non-idempotent call, recorded before the call runs.
    pub struct LedgerBegin {
        /// The request that runs the call.
        pub request: RequestId,
        /// Identity of the call.
        pub key: LedgerKey,
        /// Digest of method, path and body, by which a key that is reused for another call is
        /// detected.
        pub content: Sha256Digest,
        /// When the call was requested, by the entry's clock. The ledger dates the call by the
        /// command's time instead.
        pub at: Timestamp,
    }

    /// The outcome of a non-idempotent call.
    pub struct LedgerFinish {
        /// The request that ran the call.
        pub request: RequestId,
        /// Identity of the call.
        pub key: LedgerKey,
        /// The outcome to record; only the first one of the request that ran the call counts.
        pub end: LedgerEnd,
        /// When the call ended, by the clock of the sender. The ledger does not use it.
        pub at: Timestamp,
    }

    /// The outcome of a call.
    pub enum LedgerEnd {
        /// The endpoint sent a complete answer.
        Answered(RecordedAnswer),
        /// Nothing was sent to an endpoint; the idempotency key may be used again.
        NotRun,
        /// The call may or may not have taken effect.
        Unknown,
    }

    /// An answer that is stored to be replayed to resends.
    pub struct RecordedAnswer {
        /// HTTP status code that the endpoint answered.
        pub status: u16,
        /// Value of the `Content-Type` header, if any.
        pub content_type: Option<String>,
        /// Complete response body.
        pub body: Vec<u8>,
    }

    /// Answer to the request to begin a call.
    pub enum LedgerAnswer {
        /// The start is committed: the call may run once.
        Run,
        /// The call ran before with this answer.
        Recorded(RecordedAnswer),
        /// The call may have run before, or is running.
        Unknown,
        /// The same key was used for a call with other content.
        Conflict,
        /// Nothing was recorded: no quorum was available, the ledger is full, or the idempotency
        /// key is too long. The call must not run.
        NoQuorum,
    }
}
