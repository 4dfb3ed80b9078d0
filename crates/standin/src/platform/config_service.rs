//! Stand-in for the configuration service and the host list: serves reads and long polls, and can inject faults.

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
    http::{ConnectionSwitch, HttpResponse, HttpServer, lock, plain_response, query_number},
};

/// Maximum duration of one long poll.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Configuration service and host list of the platform, with injectable faults.
#[derive(Debug)]
pub struct ConfigService {
    server: HttpServer,
    state: Arc<ConfigState>,
}

#[derive(Debug)]
struct ConfigState {
    documents: Mutex<DocumentHistory>,
    hosts: Mutex<DelayedHostList>,
    requests: Mutex<RequestCounter>,
    changed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct DocumentHistory {
    published: Vec<(u64, Bytes)>,
    /// Index of the document that is served instead of the latest one; `None` without a fault.
    pinned: Option<usize>,
}

#[derive(Debug, Default)]
struct DelayedHostList {
    visible: Bytes,
    pending: VecDeque<(Instant, Bytes)>,
    delay: Duration,
}

#[derive(Debug)]
struct RequestCounter {
    total: u64,
    second_start: Instant,
    in_current_second: u64,
    peak_per_second: u64,
}

impl ConfigService {
    /// Starts the service; changes of the host list become visible after `host_list_delay`.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn start(
        address: SocketAddr,
        host_list_delay: Duration,
    ) -> Result<Self, StandinError> {
        let hosts = DelayedHostList { delay: host_list_delay, ..DelayedHostList::default() };
        let requests = RequestCounter {
            total: 0,
            second_start: Instant::now(),
            in_current_second: 0,
            peak_per_second: 0,
        };
        let state = Arc::new(ConfigState {
            documents: Mutex::default(),
            hosts: Mutex::new(hosts),
            requests: Mutex::new(requests),
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

    /// Address of the HTTP interface.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Publishes a configuration, as an operator would.
    pub fn publish(&self, config: &FleetConfig) {
        self.publish_bytes(config.revision, config.canonical_bytes());
    }

    /// Publishes arbitrary bytes, valid or not, under a revision.
    pub fn publish_bytes(&self, revision: u64, document: impl Into<Bytes>) {
        lock(&self.state.documents).published.push((revision, document.into()));
        self.state.notify_watchers();
    }

    /// Replaces the host list; readers see the change after the delay. The first list is visible immediately.
    pub fn set_hosts(&self, list: &HostList) {
        let bytes = Bytes::from(serde_json::to_vec(list).expect("a host list serialises to JSON"));
        let mut hosts = lock(&self.state.hosts);
        if hosts.visible.is_empty() {
            hosts.visible = bytes;
        } else {
            let visible_at = Instant::now() + hosts.delay;
            hosts.pending.push_back((visible_at, bytes));
        }
    }

    /// Closes all connections and refuses new ones while `down` is true.
    pub fn set_down(&self, down: bool) {
        self.server.switch().set_refusing(down);
        if down {
            self.server.switch().cut();
        }
    }

    /// Keeps serving the currently latest document while `stale` is true, even if newer ones are published.
    pub fn set_stale(&self, stale: bool) {
        let mut documents = lock(&self.state.documents);
        documents.pinned = if stale { documents.published.len().checked_sub(1) } else { None };
        drop(documents);
        self.state.notify_watchers();
    }

    /// Serves the document that is `steps` publications older than the latest one; 0 ends the fault.
    pub fn serve_older(&self, steps: usize) {
        let mut documents = lock(&self.state.documents);
        let last = documents.published.len().saturating_sub(1);
        documents.pinned = (steps > 0).then(|| last.saturating_sub(steps));
        drop(documents);
        self.state.notify_watchers();
    }

    /// Number of requests so far; a long poll counts as one.
    #[must_use]
    pub fn request_count(&self) -> u64 {
        lock(&self.state.requests).total
    }

    /// Maximum number of requests within one second so far.
    #[must_use]
    pub fn peak_requests_per_second(&self) -> u64 {
        let requests = lock(&self.state.requests);
        requests.peak_per_second.max(requests.in_current_second)
    }
}

impl ConfigState {
    fn notify_watchers(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    async fn handle(&self, request: Request<Incoming>) -> HttpResponse {
        lock(&self.requests).count();
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/v1/config") => {
                let after = query_number(&request, "after").unwrap_or(0);
                let wait = Duration::from_millis(query_number(&request, "wait_ms").unwrap_or(0));
                self.watch(after, wait.min(MAX_WAIT)).await
            }
            (&Method::GET, "/v1/hosts") => plain_response(StatusCode::OK, lock(&self.hosts).read()),
            _ => plain_response(StatusCode::NOT_FOUND, ""),
        }
    }

    async fn watch(&self, after: u64, wait: Duration) -> HttpResponse {
        let deadline = tokio::time::Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            if let Some(document) = lock(&self.documents).newer_than(after) {
                return plain_response(StatusCode::OK, document);
            }
            let notified = tokio::time::timeout_at(deadline, changed.changed()).await;
            if !matches!(notified, Ok(Ok(()))) {
                return plain_response(StatusCode::NOT_MODIFIED, "");
            }
        }
    }
}

impl DocumentHistory {
    fn newer_than(&self, after: u64) -> Option<Bytes> {
        let index = self.pinned.or_else(|| self.published.len().checked_sub(1))?;
        let (revision, document) = self.published.get(index)?;
        (*revision > after).then(|| document.clone())
    }
}

impl DelayedHostList {
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

impl RequestCounter {
    fn count(&mut self) {
        let now = Instant::now();
        if now.duration_since(self.second_start) >= Duration::from_secs(1) {
            self.peak_per_second = self.peak_per_second.max(self.in_current_second);
            self.second_start = now;
            self.in_current_second = 0;
        }
        self.total += 1;
        self.in_current_second += 1;
    }
}
