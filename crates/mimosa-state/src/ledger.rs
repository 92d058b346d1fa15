//! The ledger of non-idempotent calls: a call runs at most once per idempotency key within the
//! retention.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::data;
use mimosa_protocol::hash::Sha256Digest;
use mimosa_protocol::message::LedgerAnswer;
use mimosa_protocol::message::LedgerBegin;
use mimosa_protocol::message::LedgerEnd;
use mimosa_protocol::message::LedgerFinish;
use mimosa_protocol::message::LedgerKey;
use mimosa_protocol::message::RecordedAnswer;
use serde::Deserialize;
use serde::Serialize;

/// How long a key is kept after the start of its call was committed. A resend after that starts a
/// new call.
pub const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// Maximum number of calls kept; a further call is refused as not run.
pub const MAX_CALLS: usize = 200_000;
/// Maximum number of calls kept per account, so that one account cannot fill the ledger.
pub const MAX_CALLS_PER_ACCOUNT: usize = MAX_CALLS / 4;
/// Largest answer body that is kept; a resend of a call with a larger answer is told that the
/// outcome is unknown.
pub const MAX_ANSWER_BYTES: usize = 64 << 10;
/// Total size of the kept answer bodies; beyond it a call finishes without its answer being kept.
pub const MAX_ANSWERS_BYTES: usize = 64 << 20;
/// Longest accepted idempotency key; a call with a longer one is refused as not run.
pub const MAX_KEY_BYTES: usize = 255;

data! {
    struct Call {
        account: AccountId,
        request: RequestId,
        content: Sha256Digest,
        at: Timestamp,
        state: CallState,
    }

    enum CallState {
        Running,
        Answered(RecordedAnswer),
        /// The outcome is not known, or its answer was too large to keep.
        Unknown,
    }
}

/// The recorded calls, by the digest of their key, so that memory does not depend on the length of
/// a key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    calls: BTreeMap<Sha256Digest, Call>,
    by_age: BTreeSet<(Timestamp, Sha256Digest)>,
    per_account: BTreeMap<AccountId, usize>,
    answers_bytes: usize,
}

impl Ledger {
    /// Records that a call is about to run, or returns what is known of an earlier call of the same
    /// key. Only [`LedgerAnswer::Run`] permits running the call. [`LedgerAnswer::NoQuorum`] also
    /// stands for a full ledger and for a key longer than [`MAX_KEY_BYTES`].
    pub fn begin(&mut self, now: Timestamp, begin: &LedgerBegin) -> LedgerAnswer {
        self.expire(now);
        let digest = key_digest(&begin.key);
        if let Some(call) = self.calls.get(&digest) {
            return call.answer(begin);
        }
        if !self.has_room(&begin.key) {
            return LedgerAnswer::NoQuorum;
        }
        let account = begin.key.account.clone();
        *self.per_account.entry(account.clone()).or_default() += 1;
        self.by_age.insert((now, digest));
        let call = Call {
            account,
            request: begin.request,
            content: begin.content,
            at: now,
            state: CallState::Running,
        };
        self.calls.insert(digest, call);
        LedgerAnswer::Run
    }

    /// Records the outcome of a call. Only the first outcome counts, and only from the request that
    /// was permitted to run.
    pub fn finish(&mut self, now: Timestamp, finish: LedgerFinish) {
        self.expire(now);
        let digest = key_digest(&finish.key);
        let Some(call) = self.calls.get_mut(&digest) else {
            return;
        };
        if call.request != finish.request || call.state != CallState::Running {
            return;
        }
        match finish.end {
            LedgerEnd::NotRun => {
                let at = call.at;
                self.by_age.remove(&(at, digest));
                self.remove_call(&digest);
            }
            LedgerEnd::Unknown => call.state = CallState::Unknown,
            LedgerEnd::Answered(answer) => {
                let bytes = answer.body.len();
                let fits =
                    bytes <= MAX_ANSWER_BYTES && self.answers_bytes + bytes <= MAX_ANSWERS_BYTES;
                call.state = if fits {
                    self.answers_bytes += bytes;
                    CallState::Answered(answer)
                } else {
                    CallState::Unknown
                };
            }
        }
    }

    /// Number of calls kept, at most [`MAX_CALLS`].
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call is kept.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Number of calls without a recorded outcome.
    pub fn running(&self) -> usize {
        self.calls
            .values()
            .filter(|call| call.state == CallState::Running)
            .count()
    }

    fn expire(&mut self, now: Timestamp) {
        while let Some((at, _)) = self.by_age.first() {
            if now.since(*at) < RETENTION {
                return;
            }
            let (_, digest) = self.by_age.pop_first().expect("the set is not empty");
            self.remove_call(&digest);
        }
    }

    fn has_room(&self, key: &LedgerKey) -> bool {
        let of_account = self.per_account.get(&key.account).copied().unwrap_or(0);
        self.calls.len() < MAX_CALLS
            && of_account < MAX_CALLS_PER_ACCOUNT
            && key.idempotency_key.len() <= MAX_KEY_BYTES
    }

    fn remove_call(&mut self, digest: &Sha256Digest) {
        let Some(call) = self.calls.remove(digest) else {
            return;
        };
        if let CallState::Answered(answer) = call.state {
            self.answers_bytes -= answer.body.len();
        }
        if let Some(count) = self.per_account.get_mut(&call.account) {
            *count -= 1;
            if *count == 0 {
                self.per_account.remove(&call.account);
            }
        }
    }
}

fn key_digest(key: &LedgerKey) -> Sha256Digest {
    let bytes = postcard::to_stdvec(key).expect("every part of a key can be encoded");
    Sha256Digest::of(&bytes)
}

impl Call {
    fn answer(&self, begin: &LedgerBegin) -> LedgerAnswer {
        if self.content != begin.content {
            return LedgerAnswer::Conflict;
        }
        match &self.state {
            // The request resends `begin` because the first reply was lost, so it has not run yet.
            CallState::Running if self.request == begin.request => LedgerAnswer::Run,
            CallState::Running | CallState::Unknown => LedgerAnswer::Unknown,
            CallState::Answered(answer) => LedgerAnswer::Recorded(answer.clone()),
        }
    }
}
