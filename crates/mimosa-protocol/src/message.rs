//! What our own processes say to each other, over TCP or UDP with `postcard`.

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
    /// An entry to a control instance, over TCP.
    pub enum EntryMessage {
        /// Opens a connection; the answer is a snapshot or the deltas that are missing.
        Hello {
            /// Who asks.
            instance: InstanceId,
            /// Its life.
            incarnation: Incarnation,
            /// Where it stands.
            data_centre: DataCentreId,
            /// What it has.
            revision: Revision,
        },
        /// Follows the greeting: where the entry listens for other entries.
        Listens {
            /// The address, for TCP and UDP.
            address: SocketAddr,
        },
        /// The revision in force at the entry; sent on each change and each heartbeat.
        InForce {
            /// The revision.
            revision: Revision,
            /// Counts these messages; the entry remembers when it sent each.
            probe: u64,
        },
        /// Asks to record the intent of a non-idempotent call.
        LedgerBegin(LedgerBegin),
        /// Records how the call ended.
        LedgerFinish(LedgerFinish),
    }

    /// A control instance to an entry, over TCP.
    pub enum ControlMessage {
        /// The whole configuration.
        Snapshot(Box<Configuration>),
        /// The next change.
        Delta(Delta),
        /// The entries that are connected to the control instances; sent when it changes and every
        /// few seconds. It lags, and an entry may live without standing on it.
        Entries(Vec<ListedEntry>),
        /// The sender proved that it is current, by a round that began after it had received the
        /// probe: this is the newest revision.
        Current {
            /// The newest committed revision.
            revision: Revision,
            /// The last probe received before the round began.
            probe: u64,
        },
        /// The answer to [`EntryMessage::LedgerBegin`].
        LedgerBegun {
            /// The call it answers.
            request: RequestId,
            /// What the ledger says.
            answer: LedgerAnswer,
        },
        /// The end of the call is recorded.
        LedgerFinished {
            /// The call.
            request: RequestId,
        },
    }

    /// An entry as the control instances list it.
    pub struct ListedEntry {
        /// The entry.
        pub instance: InstanceId,
        /// Where it stands.
        pub data_centre: DataCentreId,
        /// Where it listens for other entries.
        pub address: SocketAddr,
    }

    /// Names a non-idempotent call for good.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct LedgerKey {
        /// The account.
        pub account: AccountId,
        /// The service.
        pub service: ServiceId,
        /// The caller's `Idempotency-Key`.
        pub idempotency_key: String,
    }

    /// The intent of a non-idempotent call.
    pub struct LedgerBegin {
        /// The call in hand.
        pub request: RequestId,
        /// Its name.
        pub key: LedgerKey,
        /// Digest of method, path and body.
        pub content: Sha256Digest,
        /// When it was asked.
        pub at: Timestamp,
    }

    /// How a non-idempotent call ended.
    pub struct LedgerFinish {
        /// The call in hand.
        pub request: RequestId,
        /// Its name.
        pub key: LedgerKey,
        /// The end.
        pub end: LedgerEnd,
        /// When it ended.
        pub at: Timestamp,
    }

    /// The recorded end of a call.
    pub enum LedgerEnd {
        /// The endpoint answered.
        Answered(RecordedAnswer),
        /// Nothing left for an endpoint: the key may be used again.
        NotRun,
        /// Nobody can tell.
        Unknown,
    }

    /// An answer kept for resends.
    pub struct RecordedAnswer {
        /// HTTP status.
        pub status: u16,
        /// `Content-Type`, if any.
        pub content_type: Option<String>,
        /// The body.
        pub body: Vec<u8>,
    }

    /// What the ledger says about a call.
    pub enum LedgerAnswer {
        /// The intent is committed: run it once.
        Run,
        /// It ran before: this is the answer.
        Recorded(RecordedAnswer),
        /// It may have run before, or runs now.
        Unknown,
        /// The same name came with other content.
        Conflict,
        /// No quorum: nothing was recorded.
        NoQuorum,
    }
}
