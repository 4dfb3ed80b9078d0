//! Counters and latency histograms, served in the Prometheus text format.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    fmt::Write,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, server::conn::http1::Builder, service::service_fn};
use hyper_util::rt::TokioIo;
use log::{debug, info, warn};
use tokio::net::TcpStream;

use crate::frames::{bind, serve_connections};

/// Maximum latency that the histograms can hold, in microseconds; longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Upper bounds of the exported buckets in milliseconds. They are densest between 100 and 400 ms, where the latency
/// targets of the users' routes lie.
const BUCKETS_MS: [u64; 12] = [10, 25, 50, 100, 200, 300, 400, 700, 1_000, 2_000, 5_000, 10_000];

#[derive(Default)]
struct MetricState {
    counters: BTreeMap<String, u64>,
    latencies: BTreeMap<String, (Histogram<u64>, u64)>,
}

/// Counters and histograms of one process.
#[derive(Clone, Default)]
pub(crate) struct MetricSet {
    state: Arc<Mutex<MetricState>>,
}

impl MetricSet {
    /// Increments a counter. `name` may include labels in the text format.
    pub(crate) fn count(&self, name: &str) {
        self.add(name, 1);
    }

    /// Increases a counter by `increase`.
    pub(crate) fn add(&self, name: &str, increase: u64) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        match state.counters.get_mut(name) {
            Some(value) => *value += increase,
            None => {
                state.counters.insert(name.to_owned(), increase);
            }
        }
    }

    /// Records a latency in the histogram `name`.
    pub(crate) fn observe(&self, name: &str, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if !state.latencies.contains_key(name) {
            let Ok(histogram) = Histogram::new_with_max(MAX_LATENCY_US, 2) else { return };
            state.latencies.insert(name.to_owned(), (histogram, 0));
        }
        if let Some((histogram, sum)) = state.latencies.get_mut(name) {
            histogram.saturating_record(micros);
            *sum += micros;
        }
    }

    /// Renders all metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> String {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        for (name, value) in &state.counters {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{name} {value}");
        }
        for (name, (histogram, sum)) in &state.latencies {
            for bound in BUCKETS_MS {
                let count = histogram.count_between(0, bound * 1_000);
                let seconds = Duration::from_millis(bound).as_secs_f64();
                let _ = writeln!(text, "{name}_bucket{{le=\"{seconds}\"}} {count}");
            }
            let _ = writeln!(text, "{name}_bucket{{le=\"+Inf\"}} {}", histogram.len());
            let seconds = Duration::from_micros(*sum).as_secs_f64();
            let _ = writeln!(text, "{name}_sum {seconds}\n{name}_count {}", histogram.len());
        }
        text
    }
}

/// Path at which the state of the process is served as JSON; all other paths serve the metrics.
pub const STATUS_PATH: &str = "/status";

/// Returns the state of the process as JSON.
pub(crate) type StatusFn = Arc<dyn Fn() -> String + Send + Sync>;

/// Serves metrics and state until the task is dropped.
pub(crate) async fn serve_metrics(address: SocketAddr, metrics: MetricSet, status: StatusFn) {
    let listener = match bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            warn!("event=metrics_unavailable address={address} error=\"{error}\"");
            return;
        }
    };
    info!("event=metrics_served address={address}");
    serve_connections(&listener, |stream| serve_scrape(stream, metrics.clone(), status.clone()))
        .await;
}

async fn serve_scrape(stream: TcpStream, metrics: MetricSet, status: StatusFn) {
    let service = service_fn(|request: Request<Incoming>| {
        let text = match request.uri().path() {
            STATUS_PATH => status(),
            _ => metrics.render(),
        };
        async move { Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(text)))) }
    });
    let served =
        Builder::new().keep_alive(false).serve_connection(TokioIo::new(stream), service).await;
    if let Err(error) = served {
        debug!("event=metrics_connection_failed error=\"{error}\"");
    }
}
