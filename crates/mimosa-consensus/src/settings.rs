//! Settings of a replica.

use std::collections::BTreeSet;
use std::time::Duration;

use mimosa_protocol::ByteSize;
use mimosa_protocol::InstanceId;

/// Settings of a replica, which are not stored and may differ after a restart.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Seed of the election timeouts and of the nonces of forwarded reads. Must differ between
    /// starts and between replicas.
    pub seed: u64,
    /// Time between the heartbeats of a leader. Must be several times shorter than
    /// [`Settings::election_timeout`], so that a lost heartbeat causes no election.
    pub heartbeat_interval: Duration,
    /// Shortest time without contact to a leader after which a follower starts an election; a random
    /// extra of up to the same length is added. Until it has passed, a follower grants no vote
    /// against its leader.
    pub election_timeout: Duration,
    /// How long a leader answers reads without another round, counted from the start of the last
    /// round that a quorum answered. Must be shorter than [`Settings::election_timeout`] by more than
    /// the clocks of two replicas can drift apart in that time. `None`: every read needs a round.
    pub lease: Option<Duration>,
    /// Entries applied since the last snapshot after which the next one is due.
    pub snapshot_after: u64,
    /// Size of those entries after which it is due as well.
    pub snapshot_after_size: ByteSize,
    /// Entries retained before a snapshot's index for followers that are slightly behind.
    pub retained_entries: u64,
    /// Upper bound on the size of the retained entries.
    pub retained_size: ByteSize,
    /// Size of the chunks in which a snapshot is sent.
    pub snapshot_chunk: ByteSize,
    /// Maximum size of the entries in one append; a single entry may exceed it.
    pub batch_size: ByteSize,
    /// Maximum number of unanswered appends per follower.
    pub max_inflight: usize,
    /// Number of uncommitted entries at which proposals are refused.
    pub max_uncommitted: u64,
    /// Size of the uncommitted entries at which proposals are refused.
    pub max_uncommitted_size: ByteSize,
    /// Instances that a leader admits, and that this replica asks for admission.
    pub peers: BTreeSet<InstanceId>,
    /// Whether to ask for admission while this replica is not a voter.
    pub join: bool,
    /// How many voters a leader keeps, and when it replaces inactive ones. `None`: every instance
    /// that asks becomes a voter, and only an operator removes one.
    pub voter_policy: Option<VoterPolicy>,
    /// Bugs to inject, so that tests can show that they detect them.
    #[doc(hidden)]
    pub injected_bugs: Vec<InjectedBug>,
}

/// How a leader maintains the number of voters. Further instances stay learners, ready to replace a
/// voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterPolicy {
    /// Target number of voters. Should be odd: with an even number, a partition into halves leaves
    /// no quorum on either side.
    pub voters: usize,
    /// Time without contact after which a learner replaces a voter. The voter becomes a learner when
    /// it returns.
    pub replace_voter_after: Duration,
    /// Time without contact after which a learner is removed.
    pub remove_learner_after: Duration,
}

/// Deliberate bugs, by which tests show that they detect them.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// Votes are sent before they are synced.
    VoteWithoutPersist,
    /// Entries are acknowledged before they are synced.
    AckBeforeSync,
    /// Elections start without a pre-vote, and followers vote against a live leader.
    NoPreVote,
    /// Entries of earlier terms are committed by counting replicas.
    CommitOldTerm,
    /// A leader answers reads without a round.
    ReadWithoutRound,
    /// Several membership changes may be uncommitted at once.
    ConcurrentMembershipChanges,
    /// Learners are promoted before they have caught up.
    PromoteEarly,
    /// Votes are granted to candidates whose log is behind.
    VoteForAnyLog,
    /// Messages to and from earlier incarnations are accepted.
    AcceptOldIncarnations,
    /// A replica names only the members of the latest membership known to be committed.
    ForgetUncommittedMembers,
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
            injected_bugs: Vec::new(),
        }
    }
}

/// Limit on the log's length, in multiples of what makes a snapshot due: it may grow that far while
/// a snapshot is taken or sent to a follower. Beyond it proposals are refused.
pub(crate) const MAX_LOG_SNAPSHOT_INTERVALS: u64 = 4;

impl Settings {
    pub(crate) fn has_bug(&self, bug: InjectedBug) -> bool {
        self.injected_bugs.contains(&bug)
    }
}
