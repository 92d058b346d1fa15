//! Measures the memory of open streams.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use miette::IntoDiagnostic;
use miette::Result;
use miette::miette;

use crate::client::Connection;
use crate::client::Target;
use crate::meter;

/// Numbers of open streams at which memory is measured.
pub const STREAM_COUNTS: [usize; 2] = [500, 1_000];
/// Delay before each memory reading, for pending allocations to finish.
const SETTLE_TIME: Duration = Duration::from_millis(1_200);

/// Limit for connecting and receiving the first token of a stream.
const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(5);

/// Streams that stay open until this is dropped.
#[derive(Debug, Default)]
pub struct OpenStreams {
    streams: Vec<(Connection, Response<Incoming>)>,
    /// Growth of the resident set size at each of [`STREAM_COUNTS`], in bytes.
    pub memory_growth_bytes: Vec<u64>,
}

/// Opens streams, reads the first token of each and keeps them open. Measures memory at each of
/// [`STREAM_COUNTS`].
///
/// # Errors
///
/// If a stream cannot be opened, is rejected or sends no token within 5 s.
pub async fn open_streams(target: &Target) -> Result<OpenStreams> {
    let mut open = OpenStreams::default();
    tokio::time::sleep(SETTLE_TIME).await;
    let baseline = meter::resident_bytes();
    for count in STREAM_COUNTS {
        while open.streams.len() < count {
            let stream = tokio::time::timeout(FIRST_TOKEN_TIMEOUT, open_stream(target)).await;
            let stream = stream
                .map_err(|_| miette!("stream {} sent no token within 5 s", open.streams.len()))?;
            open.streams.push(stream?);
        }
        tokio::time::sleep(SETTLE_TIME).await;
        open.memory_growth_bytes
            .push(meter::resident_bytes().saturating_sub(baseline));
    }
    Ok(open)
}

/// Opens a stream and waits for its first token.
async fn open_stream(target: &Target) -> Result<(Connection, Response<Incoming>)> {
    let mut connection = Connection::connect(target).await?;
    let mut resp = connection.send().await?;
    let status = resp.status();
    let Some(frame) = resp.frame().await else {
        return Err(miette!("stream ended without a token, status {status}"));
    };
    let first_frame = frame.into_diagnostic()?;
    if status != 200 {
        return Err(miette!(
            "stream rejected with status {status}: {first_frame:?}"
        ));
    }
    Ok((connection, resp))
}
