//! Non-idempotent calls: each name runs at most once within its retention.

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

/// How long a name is remembered after its intent was committed. A caller that resends later
/// than this starts a new call.
pub const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// Names remembered at once; a further call is refused as not run.
pub const MAX_CALLS: usize = 200_000;
/// Names that one account may hold, so that it cannot crowd out the others.
pub const MAX_CALLS_PER_ACCOUNT: usize = MAX_CALLS / 4;
/// Largest answer that is kept, in bytes of its body; a resend of a call with a larger one is
/// told that the end is unknown.
pub const MAX_ANSWER_BYTES: usize = 64 << 10;
/// Bytes of answers kept at once; beyond it a call ends without its answer being kept.
pub const MAX_ANSWERS_BYTES: usize = 64 << 20;
/// Longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

data! {
    /// One call.
    struct Call {
        account: AccountId,
        request: RequestId,
        content: Sha256Digest,
        at: Timestamp,
        state: CallState,
    }

    /// How far a call is.
    enum CallState {
        Running,
        Answered(RecordedAnswer),
        Unknown,
    }
}

/// The calls by the digest of their name, which has a fixed size.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    calls: BTreeMap<Sha256Digest, Call>,
    by_age: BTreeSet<(Timestamp, Sha256Digest)>,
    per_account: BTreeMap<AccountId, usize>,
    answers_bytes: usize,
}

impl Ledger {
    /// Records the intent of a call, or says what is known of it. Only [`LedgerAnswer::Run`]
    /// allows it to run.
    pub fn begin(&mut self, now: Timestamp, begin: &LedgerBegin) -> LedgerAnswer {
        self.expire(now);
        let name = name(&begin.key);
        if let Some(call) = self.calls.get(&name) {
            return call.answer(begin);
        }
        if !self.has_room(&begin.key) {
            return LedgerAnswer::NoQuorum;
        }
        let account = begin.key.account.clone();
        *self.per_account.entry(account.clone()).or_default() += 1;
        self.by_age.insert((now, name));
        let call = Call {
            account,
            request: begin.request,
            content: begin.content,
            at: now,
            state: CallState::Running,
        };
        self.calls.insert(name, call);
        LedgerAnswer::Run
    }

    /// Records how a call ended. Only the request that was allowed to run counts, and only its
    /// first end.
    pub fn finish(&mut self, now: Timestamp, finish: LedgerFinish) {
        self.expire(now);
        let name = name(&finish.key);
        let Some(call) = self.calls.get_mut(&name) else {
            return;
        };
        if call.request != finish.request || call.state != CallState::Running {
            return;
        }
        match finish.end {
            LedgerEnd::NotRun => {
                let at = call.at;
                self.by_age.remove(&(at, name));
                self.forget(&name);
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

    /// Calls remembered.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call is remembered.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Calls of which no end is recorded yet.
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
            let (_, name) = self.by_age.pop_first().expect("a first was seen");
            self.forget(&name);
        }
    }

    fn has_room(&self, key: &LedgerKey) -> bool {
        let of_account = self.per_account.get(&key.account).copied().unwrap_or(0);
        self.calls.len() < MAX_CALLS
            && of_account < MAX_CALLS_PER_ACCOUNT
            && key.idempotency_key.len() <= MAX_KEY_BYTES
    }

    fn forget(&mut self, name: &Sha256Digest) {
        let Some(call) = self.calls.remove(name) else {
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

/// The digest that stands for a name.
fn name(key: &LedgerKey) -> Sha256Digest {
    let bytes = postcard::to_stdvec(key).expect("a name has no unencodable part");
    Sha256Digest::of(&bytes)
}

impl Call {
    fn answer(&self, begin: &LedgerBegin) -> LedgerAnswer {
        if self.content != begin.content {
            return LedgerAnswer::Conflict;
        }
        match &self.state {
            // The same request asks again because it did not hear the answer: it has not run yet.
            CallState::Running if self.request == begin.request => LedgerAnswer::Run,
            CallState::Running | CallState::Unknown => LedgerAnswer::Unknown,
            CallState::Answered(answer) => LedgerAnswer::Recorded(answer.clone()),
        }
    }
}
