//! Configuration service and host list: read and watch by long poll, with switches for its faults.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use config::{FleetConfig, HostList};
use hyper::{Method, Request, StatusCode, body::Incoming};
use tokio::sync::watch;

use crate::{
    error::StandinError,
    http::{ConnectionSwitch, HttpAnswer, HttpServer, answer, lock, query_number},
};

/// Longest wait of one watch.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// The configuration service and the host list of the platform.
#[derive(Debug)]
pub struct ConfigService {
    server: HttpServer,
    state: Arc<ServiceState>,
}

#[derive(Debug)]
struct ServiceState {
    documents: Mutex<DocumentHistory>,
    hosts: Mutex<HostHistory>,
    calls: Mutex<CallCounter>,
    changed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct DocumentHistory {
    published: Vec<(u64, Bytes)>,
    /// Index of the document that is served instead of the last one.
    pinned: Option<usize>,
}

#[derive(Debug, Default)]
struct HostHistory {
    visible: Bytes,
    pending: VecDeque<(Instant, Bytes)>,
    lag: Duration,
}

#[derive(Debug)]
struct CallCounter {
    total: u64,
    second: Instant,
    in_second: u64,
    peak_per_second: u64,
}

impl ConfigService {
    /// Starts the service; changes of the host list become visible after `host_lag`.
    ///
    /// # Errors
    /// Fails if the address cannot be listened on.
    pub async fn start(address: SocketAddr, host_lag: Duration) -> Result<Self, StandinError> {
        let hosts = HostHistory { lag: host_lag, ..HostHistory::default() };
        let calls =
            CallCounter { total: 0, second: Instant::now(), in_second: 0, peak_per_second: 0 };
        let state = Arc::new(ServiceState {
            documents: Mutex::default(),
            hosts: Mutex::new(hosts),
            calls: Mutex::new(calls),
            changed: watch::Sender::new(0),
        });
        let shared = Arc::clone(&state);
        let server = HttpServer::start(address, ConnectionSwitch::new(), move |request| {
            let state = Arc::clone(&shared);
            Box::pin(async move { state.handle(request).await })
        })
        .await?;
        Ok(Self { server, state })
    }

    /// Address of the service.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Publishes a configuration, on behalf of operators.
    pub fn publish(&self, config: &FleetConfig) {
        self.publish_bytes(config.revision, config.canonical_bytes());
    }

    /// Publishes any bytes under a revision, valid or not.
    pub fn publish_bytes(&self, revision: u64, document: impl Into<Bytes>) {
        lock(&self.state.documents).published.push((revision, document.into()));
        self.state.wake();
    }

    /// Replaces the host list; readers see it after the lag.
    pub fn set_hosts(&self, list: &HostList) {
        let bytes = Bytes::from(serde_json::to_vec(list).expect("a host list serialises to JSON"));
        let mut hosts = lock(&self.state.hosts);
        if hosts.visible.is_empty() {
            hosts.visible = bytes;
        } else {
            let visible_at = Instant::now() + hosts.lag;
            hosts.pending.push_back((visible_at, bytes));
        }
    }

    /// Refuses and closes connections while `down` is true.
    pub fn set_down(&self, down: bool) {
        self.server.switch().set_refusing(down);
        if down {
            self.server.switch().cut();
        }
    }

    /// Keeps serving the present document while `stale` is true, whatever is published.
    pub fn set_stale(&self, stale: bool) {
        let mut documents = lock(&self.state.documents);
        documents.pinned = if stale { documents.published.len().checked_sub(1) } else { None };
        drop(documents);
        self.state.wake();
    }

    /// Serves the document that was published `steps` publications before the last one; 0 ends the fault.
    pub fn serve_older(&self, steps: usize) {
        let mut documents = lock(&self.state.documents);
        let last = documents.published.len().saturating_sub(1);
        documents.pinned = (steps > 0).then(|| last.saturating_sub(steps));
        drop(documents);
        self.state.wake();
    }

    /// Calls so far; a watch is one call.
    #[must_use]
    pub fn calls(&self) -> u64 {
        lock(&self.state.calls).total
    }

    /// Most calls within one second so far.
    #[must_use]
    pub fn peak_calls_per_second(&self) -> u64 {
        let calls = lock(&self.state.calls);
        calls.peak_per_second.max(calls.in_second)
    }
}

impl ServiceState {
    fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    async fn handle(&self, request: Request<Incoming>) -> HttpAnswer {
        lock(&self.calls).count();
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/v1/config") => {
                let after = query_number(&request, "after").unwrap_or(0);
                let wait = Duration::from_millis(query_number(&request, "wait_ms").unwrap_or(0));
                self.watch(after, wait.min(MAX_WAIT)).await
            }
            (&Method::GET, "/v1/hosts") => answer(StatusCode::OK, lock(&self.hosts).read()),
            _ => answer(StatusCode::NOT_FOUND, ""),
        }
    }

    async fn watch(&self, after: u64, wait: Duration) -> HttpAnswer {
        let deadline = tokio::time::Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            if let Some(document) = lock(&self.documents).above(after) {
                return answer(StatusCode::OK, document);
            }
            let woken = tokio::time::timeout_at(deadline, changed.changed()).await;
            if !matches!(woken, Ok(Ok(()))) {
                return answer(StatusCode::NOT_MODIFIED, "");
            }
        }
    }
}

impl DocumentHistory {
    fn above(&self, after: u64) -> Option<Bytes> {
        let index = self.pinned.or_else(|| self.published.len().checked_sub(1))?;
        let (revision, document) = self.published.get(index)?;
        (*revision > after).then(|| document.clone())
    }
}

impl HostHistory {
    fn read(&mut self) -> Bytes {
        let now = Instant::now();
        while let Some((visible_at, _)) = self.pending.front()
            && *visible_at <= now
            && let Some((_, bytes)) = self.pending.pop_front()
        {
            self.visible = bytes;
        }
        self.visible.clone()
    }
}

impl CallCounter {
    fn count(&mut self) {
        let now = Instant::now();
        if now.duration_since(self.second) >= Duration::from_secs(1) {
            self.peak_per_second = self.peak_per_second.max(self.in_second);
            self.second = now;
            self.in_second = 0;
        }
        self.total += 1;
        self.in_second += 1;
    }
}
