//! How a replica behaves.

use std::collections::BTreeSet;
use std::time::Duration;

use mimosa_protocol::ByteSize;
use mimosa_protocol::InstanceId;

/// How a replica behaves.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Seed of the random part of election timeouts and of the names of forwarded reads. Each start
    /// of each replica needs another one.
    pub seed: u64,
    /// Time between the heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Shortest silence after which a follower stands for election; a random part up to once more
    /// this time is added. Within it a follower gives no vote against its leader.
    pub election_timeout: Duration,
    /// How long a leader answers reads after a quorum last heard from it, without asking again.
    /// It must be shorter than [`Settings::election_timeout`] by more than the clocks of two
    /// replicas can drift apart meanwhile. `None`: every read asks a quorum.
    pub lease: Option<Duration>,
    /// Entries applied since the last snapshot after which the next one is due.
    pub snapshot_after: u64,
    /// Their size after which it is due as well.
    pub snapshot_after_size: ByteSize,
    /// Entries kept before a snapshot's index for followers that are a little behind.
    pub retained_entries: u64,
    /// Their size at most.
    pub retained_size: ByteSize,
    /// Size of the parts in which a snapshot is sent.
    pub snapshot_chunk: ByteSize,
    /// Size of the commands in one append; one command may exceed it.
    pub batch_size: ByteSize,
    /// Appends that may be on their way to one follower.
    pub max_inflight: usize,
    /// Entries that may wait to be committed before proposals are refused.
    pub max_uncommitted: u64,
    /// Their size before proposals are refused.
    pub max_uncommitted_size: ByteSize,
    /// Instances that a leader admits, and that a replica asks for admission.
    pub peers: BTreeSet<InstanceId>,
    /// Whether to ask for admission while this replica is not a voter.
    pub join: bool,
    /// How many voters a leader keeps, and how it replaces those that are gone. `None`: every
    /// instance that asks becomes a voter, and only an operator removes one.
    pub voter_policy: Option<VoterPolicy>,
    /// Deliberate flaws, for tests of tests.
    #[doc(hidden)]
    pub flaws: Vec<Flaw>,
}

/// The voters that a leader keeps. Further instances stay learners, ready to take a seat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterPolicy {
    /// Voters. An odd number: with an even one, a cut into halves leaves no quorum on either side.
    pub voters: usize,
    /// Silence after which a learner takes a voter's seat. The voter becomes a learner when it is
    /// back.
    pub replace_voter_after: Duration,
    /// Silence after which a learner is forgotten.
    pub remove_learner_after: Duration,
}

/// Deliberate flaws, by which tests show that they would notice them.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// Votes leave before they are synced.
    VoteWithoutPersist,
    /// Entries are acknowledged before they are synced.
    AckBeforeSync,
    /// Elections start without asking whether they can be won.
    NoPreVote,
    /// Entries of earlier terms are committed by counting copies.
    CommitOldTerm,
    /// A leader answers reads without asking a quorum.
    ReadWithoutRound,
    /// Several changes of members may be on their way at once.
    ManyMembershipChanges,
    /// Learners are promoted before they have caught up.
    PromoteEarly,
    /// Votes are given to candidates whose log is behind.
    VoteForAnyLog,
    /// Messages to and from earlier incarnations are taken.
    TakeOldIncarnations,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            seed: 0,
            heartbeat_interval: Duration::from_millis(100),
            election_timeout: Duration::from_millis(1_000),
            lease: None,
            snapshot_after: 4_096,
            snapshot_after_size: ByteSize(4 * 1024 * 1024),
            retained_entries: 512,
            retained_size: ByteSize(1024 * 1024),
            snapshot_chunk: ByteSize(256 * 1024),
            batch_size: ByteSize(256 * 1024),
            max_inflight: 16,
            max_uncommitted: 16_384,
            max_uncommitted_size: ByteSize(8 * 1024 * 1024),
            peers: BTreeSet::new(),
            join: true,
            voter_policy: None,
            flaws: Vec::new(),
        }
    }
}

/// A log may hold this many times what makes a snapshot due, while one is taken or on its way to a
/// follower. Then proposals are refused.
pub(crate) const MAX_SNAPSHOTS_LATE: u64 = 4;

impl Settings {
    /// Whether a flaw is switched on.
    pub(crate) fn has(&self, flaw: Flaw) -> bool {
        self.flaws.contains(&flaw)
    }
}
