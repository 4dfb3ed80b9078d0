//! Sends metrics of requests to StatsD.

use std::{
    net::{SocketAddr, UdpSocket},
    sync::Arc,
    time::Duration,
};

use burn::{RequestKind, RequestResult};
use cadence::{Counted, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink};
use log::warn;

const PREFIX: &str = "wigeon.entry";
/// Maximum number of metrics in the queue; more are dropped, so that a slow receiver does not use up memory.
const MAX_QUEUED_METRICS: usize = 4_096;

/// StatsD client for metrics of requests; without an address it sends nothing.
#[derive(Clone)]
pub struct EntryMetrics {
    client: Arc<StatsdClient>,
}

impl EntryMetrics {
    /// Creates the client for the receiver at `address`. If the socket cannot be opened, logs the error and sends
    /// nothing.
    #[must_use]
    pub fn new(address: Option<SocketAddr>) -> Self {
        let client = address
            .and_then(connect)
            .unwrap_or_else(|| StatsdClient::from_sink(PREFIX, NopMetricSink));
        Self { client: Arc::new(client) }
    }

    /// Counts a finished request, and reports its latency if it got a response.
    pub fn request(&self, kind: RequestKind, result: RequestResult, latency: Duration) {
        let kind = kind.to_string();
        let result_name = match result {
            RequestResult::InTime => "in_time",
            RequestResult::Late => "late",
            RequestResult::NotRun => "not_run",
            RequestResult::Unknown => "unknown",
        };
        self.client
            .count_with_tags("requests", 1)
            .with_tag("kind", &kind)
            .with_tag("result", result_name)
            .send();
        if matches!(result, RequestResult::InTime | RequestResult::Late) {
            self.client.time_with_tags("latency", latency).with_tag("kind", &kind).send();
        }
    }

    /// Counts a request whose caller disconnected before the end.
    pub fn cancelled(&self) {
        self.count("cancelled");
    }

    /// Counts a retry that the retry budget did not allow.
    pub fn retry_denied(&self) {
        self.count("retry_denied");
    }

    /// Counts a stream that was resumed in a new attempt.
    pub fn resumed(&self) {
        self.count("resumed");
    }

    fn count(&self, name: &str) {
        self.client.count_with_tags(name, 1).send();
    }
}

fn connect(address: SocketAddr) -> Option<StatsdClient> {
    let local = SocketAddr::new(
        match address {
            SocketAddr::V4(_) => std::net::Ipv4Addr::UNSPECIFIED.into(),
            SocketAddr::V6(_) => std::net::Ipv6Addr::UNSPECIFIED.into(),
        },
        0,
    );
    let socket = UdpSocket::bind(local).and_then(|socket| {
        socket.set_nonblocking(true)?;
        Ok(socket)
    });
    let socket = socket.inspect_err(|error| warn!("event=statsd_failed error=\"{error}\"")).ok()?;
    let sink = UdpMetricSink::from(address, socket)
        .inspect_err(|error| warn!("event=statsd_failed error=\"{error}\""))
        .ok()?;
    let sink = QueuingMetricSink::with_capacity(sink, MAX_QUEUED_METRICS);
    Some(StatsdClient::from_sink(PREFIX, sink))
}
