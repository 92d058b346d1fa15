//! Reads request bodies, limited in size, time and memory.

use axum::body::Body;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use mimosa_memory::Refused;
use mimosa_protocol::AccountId;
use mimosa_protocol::Refusal;
use mimosa_protocol::RefusalReason;
use mimosa_transport::reserved_buffer::ReservedBuffer;
use mimosa_transport::reserved_buffer::WhenFull;

use crate::shared::Shared;

/// Nothing was sent to an endpoint. A stalled body is evicted within seconds, most others end sooner.
pub(crate) const MEMORY_FULL: Refusal =
    Refusal::not_run(RefusalReason::MemoryFull).retry_after(Shared::RETRY_DELAY);
const TOO_LARGE: Refusal = Refusal::not_run(RefusalReason::TooLarge);
const SLOW_SENDER: Refusal = Refusal::not_run(RefusalReason::SlowSender);

/// Reads a whole request body. Memory is reserved as bytes arrive, not by the declared length.
///
/// # Errors
///
/// [`RefusalReason::TooLarge`] if the body exceeds the size, before any of it is read if it declares its
/// length; [`RefusalReason::SlowSender`] if it is not complete in time, or is evicted because it stalls;
/// [`RefusalReason::MemoryFull`] if there is no room; [`RefusalReason::Malformed`] if it is cut off.
pub(crate) async fn read(
    shared: &Shared,
    owner: Option<AccountId>,
    body: Body,
) -> Result<ReservedBuffer, Refusal> {
    let limits = &shared.settings.limits;
    let max_size = usize::try_from(limits.body.0).unwrap_or(usize::MAX);
    let declared = body.size_hint().exact();
    if declared.is_some_and(|declared| declared > max_size as u64) {
        return Err(TOO_LARGE);
    }
    let declared = declared.map(|declared| declared as usize);
    let process = &shared.memory.process;
    let mut buffer = process.buffer(owner, declared, max_size, WhenFull::Refuse);
    let evicted = buffer.reservation().signal().clone();
    let filling = tokio::time::timeout(limits.body_time, fill(&mut buffer, body, max_size));
    let filled = tokio::select! {
        biased;
        filled = filling => filled,
        () = evicted.wait() => return Err(SLOW_SENDER),
    };
    filled.map_err(|_| SLOW_SENDER)??;
    // From now on the request waits for endpoints, not for its client.
    buffer.reservation().progress().stop_waiting();
    Ok(buffer)
}

async fn fill(buffer: &mut ReservedBuffer, mut body: Body, max_size: usize) -> Result<(), Refusal> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::not_run(RefusalReason::Malformed))?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if buffer.len() + data.len() > max_size {
            return Err(TOO_LARGE);
        }
        let pushed = buffer.push(data).await;
        pushed.map_err(|Refused| match buffer.reservation().signal().is_set() {
            true => SLOW_SENDER,
            false => MEMORY_FULL,
        })?;
    }
    Ok(())
}
