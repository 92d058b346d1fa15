//! Commits ledger operations on behalf of one entry.

use std::sync::Arc;
use std::time::Duration;

use mimosa_protocol::Timestamp;
use mimosa_protocol::message::ControlMessage;
use mimosa_protocol::message::LedgerAnswer;
use mimosa_protocol::message::LedgerBegin;
use mimosa_protocol::message::LedgerEnd;
use mimosa_protocol::message::LedgerFinish;
use mimosa_state::CommandResult;
use mimosa_state::Operation;
use tokio::sync::mpsc;

use crate::clock;
use crate::replicator::ProposeError;
use crate::replicator::Replicator;

/// Attempts to commit the outcome of a call. After the last one the call stays without an outcome,
/// and its idempotency key is answered as unknown.
const FINISH_ATTEMPTS: u32 = 20;
const FINISH_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Commits the start of a call and sends the answer to `answers`.
pub async fn begin(
    replicator: Arc<dyn Replicator>,
    begin: LedgerBegin,
    answers: mpsc::Sender<ControlMessage>,
) {
    let request = begin.request;
    let result = replicator
        .propose(Operation::LedgerBegin(begin.clone()))
        .await;
    let answer = match result {
        Ok(CommandResult::LedgerBegun(answer)) => answer,
        Ok(_) | Err(ProposeError::NoQuorum) => LedgerAnswer::NoQuorum,
        Err(ProposeError::OutcomeUnknown) => {
            tokio::spawn(commit_finish(replicator, not_run(begin, clock::now())));
            LedgerAnswer::NoQuorum
        }
    };
    let message = ControlMessage::LedgerBegun { request, answer };
    answers.send(message).await.ok();
}

/// Commits the outcome of a call and acknowledges it through `answers`. Sends nothing if no attempt
/// was confirmed.
pub async fn finish(
    replicator: Arc<dyn Replicator>,
    finish: LedgerFinish,
    answers: mpsc::Sender<ControlMessage>,
) {
    let request = finish.request;
    if commit_finish(replicator, finish).await {
        let message = ControlMessage::LedgerFinished { request };
        answers.send(message).await.ok();
    }
}

/// The outcome of a call for whose start no commit was confirmed. The entry was told that nothing was
/// recorded and does not run the call; if the start was committed after all, this frees its
/// idempotency key.
fn not_run(begin: LedgerBegin, at: Timestamp) -> LedgerFinish {
    LedgerFinish {
        request: begin.request,
        key: begin.key,
        end: LedgerEnd::NotRun,
        at,
    }
}

/// Returns false if no attempt was confirmed.
async fn commit_finish(replicator: Arc<dyn Replicator>, finish: LedgerFinish) -> bool {
    for _ in 0..FINISH_ATTEMPTS {
        let operation = Operation::LedgerFinish(finish.clone());
        if replicator.propose(operation).await.is_ok() {
            return true;
        }
        tokio::time::sleep(FINISH_RETRY_DELAY).await;
    }
    false
}
