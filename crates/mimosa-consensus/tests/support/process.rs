//! A running process: a replica, its store and a small state machine.

use mimosa_consensus::AppendOutcome;
use mimosa_consensus::Body;
use mimosa_consensus::Entry;
use mimosa_consensus::HardState;
use mimosa_consensus::LogIndex;
use mimosa_consensus::Message;
use mimosa_consensus::Payload;
use mimosa_consensus::Replica;
use mimosa_storage::FileStore;
use mimosa_storage::LogStore;
use mimosa_storage::replica as replica_store;

pub struct Process {
    pub replica: Replica,
    pub store: FileStore,
    pub applied: LogIndex,
    /// Digest of all applied commands, in order.
    pub digest: u64,
}

impl Process {
    pub fn apply(&mut self, entry: &Entry) {
        assert_eq!(
            entry.index,
            self.applied.next(),
            "entries must be applied in order without a gap"
        );
        self.applied = entry.index;
        if let Payload::Command(bytes) = &entry.payload {
            let mix =
                |digest: u64, byte: &u8| (digest ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3);
            self.digest = bytes.iter().fold(self.digest.rotate_left(5) + 1, mix);
        }
    }

    /// Describes a vote or acknowledgement in a message that is not on the disk.
    pub fn durability_violation(&self, message: &Message) -> Option<String> {
        let voted_for = match &message.body {
            Body::Vote(_) => Some(message.from.instance.clone()),
            Body::VoteReply { granted: true } => Some(message.to.clone()),
            _ => None,
        };
        if let Some(instance) = voted_for {
            let HardState { term, vote } = replica_store::load(&self.store).ok()?.hard_state;
            let is_stored = vote.is_some_and(|vote| vote.instance == instance);
            return (term != message.term || !is_stored)
                .then(|| format!("{} sent a vote before its sync", message.from));
        }
        let Body::AppendReply(reply) = &message.body else {
            return None;
        };
        match reply.outcome {
            AppendOutcome::Accepted(index) if index.0 > self.store.last_index().0 => Some(format!(
                "{} acknowledged entry {index} before its sync",
                message.from
            )),
            _ => None,
        }
    }

    /// The encoded state machine, padded to need several chunks in tests with small ones.
    pub fn state(&self) -> Vec<u8> {
        let mut bytes = [self.applied.0, self.digest].map(u64::to_le_bytes).concat();
        bytes.resize(100, 0);
        bytes
    }

    pub fn restore(bytes: &[u8]) -> (LogIndex, u64) {
        let field = |at: usize| u64::from_le_bytes(bytes[at..at + 8].try_into().expect("8 bytes"));
        (LogIndex(field(0)), field(8))
    }
}
