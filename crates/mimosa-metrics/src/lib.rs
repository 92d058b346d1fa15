//! Serves the metrics of a process over HTTP in the Prometheus text format.
//!
//! Every path returns the metrics, as the address serves nothing else.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::LazyLock;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use log::debug;
use log::warn;
use mimosa_protocol::Result;
use mimosa_transport::accept;
use prometheus::IntCounter;
use prometheus::Registry;
use prometheus::TextEncoder;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Time within which a client must send the request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Upper bounds of the buckets of latency histograms, in seconds. They range from a network hop within a region
/// to the longest time that clients wait.
pub const LATENCY_BUCKETS_SECONDS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.9, 1.5, 3.0, 6.0, 15.0,
];

/// Counts log lines of this process that were dropped because the log output was too slow.
pub static DROPPED_LOG_LINES: LazyLock<IntCounter> = LazyLock::new(|| {
    let help = "Log lines that were left out as the output was too slow for them";
    IntCounter::new("mimosa_log_lines_left_out_total", help).expect("the name is valid")
});

/// An HTTP server that answers every request with the metrics of one registry.
pub struct MetricsServer {
    listener: TcpListener,
    address: SocketAddr,
    registry: Registry,
}

impl MetricsServer {
    /// Binds the address and adds the process-wide metrics to the registry.
    ///
    /// # Errors
    ///
    /// [`mimosa_protocol::Error::Network`] if the address cannot be bound.
    pub async fn bind(address: SocketAddr, registry: Registry) -> Result<Self> {
        let (listener, address) = accept::bind(address).await?;
        if let Err(e) = registry.register(Box::new(DROPPED_LOG_LINES.clone())) {
            warn!("cannot register the count of dropped log lines, which is not served: {e}");
        }
        Ok(Self {
            listener,
            address,
            registry,
        })
    }

    /// Returns the bound address, with the port that was selected for port 0.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves requests until the future is dropped.
    pub async fn run(self) {
        let registry = self.registry;
        accept::run(self.listener, "metrics", |stream| {
            serve_connection(stream, registry.clone())
        })
        .await;
    }
}

async fn serve_connection(stream: TcpStream, registry: Registry) {
    let service = service_fn(move |_| {
        let response = render(&registry);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(e) = connection.await {
        debug!("a metrics connection failed: {e}");
    }
}

fn render(registry: &Registry) -> Response<Full<Bytes>> {
    match TextEncoder::new().encode_to_string(&registry.gather()) {
        Ok(text) => Response::new(Full::new(text.into())),
        Err(e) => {
            warn!("cannot encode the metrics, answering with status 500: {e}");
            let mut response = Response::new(Full::default());
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}
