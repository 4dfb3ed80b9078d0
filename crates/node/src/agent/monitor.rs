//! Reads the status of the upstream at intervals and on demand.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::{Clock, ContentDigest, Incarnation, UpstreamId};
use config::{AgentSettings, UpstreamKind};
use limit::UpstreamEpoch;
use ports::{LoadedModel, ModelEngine, PlainService, PlatformError};
use tokio::{
    sync::{Mutex, watch},
    time::timeout,
};

use crate::{context::NodeContext, view::ViewReader};

const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout for a status read. A request whose connection broke waits for this read before it gets its response.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Consecutive failed reads after which the upstream counts as down. After a refused connection it counts as down at
/// once.
const MAX_MISSED_READS: u32 = 2;

/// Last known status of the upstream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamState {
    /// False until the first successful read, and while the upstream counts as down.
    pub up: bool,
    /// True if the last read was successful.
    pub responded: bool,
    /// Number of consecutive failed reads.
    pub missed_reads: u32,
    /// Time at which the last read began; `None` before the first one.
    pub read_at: Option<Instant>,
    /// Incarnation in the last successful read.
    pub incarnation: Incarnation,
    /// Epoch of the engine's caches; 0 for a plain service.
    pub cache_epoch: u64,
    /// Number of requests in progress at the last read, as the upstream counts them.
    pub in_use: u32,
    /// Models that the engine reports as loaded; empty for a plain service.
    pub loaded: Vec<LoadedModel>,
}

impl UpstreamState {
    /// Returns the incarnation and cache epoch, which change when the upstream restarts or its caches are cleared.
    #[must_use]
    pub fn epoch(&self) -> UpstreamEpoch {
        UpstreamEpoch { incarnation: self.incarnation, cache_epoch: self.cache_epoch }
    }

    /// Returns true if this version of the model is loaded.
    #[must_use]
    pub fn serves(&self, model: &str, manifest: ContentDigest) -> bool {
        self.loaded.iter().any(|loaded| loaded.model == model && loaded.manifest == manifest)
    }

    fn after_missed_read(&self, error: Option<&PlatformError>) -> Self {
        let missed_reads = self.missed_reads.saturating_add(1);
        let refused = error.is_some_and(PlatformError::is_not_sent);
        let up = self.up && !refused && missed_reads < MAX_MISSED_READS;
        Self { up, responded: false, missed_reads, ..self.clone() }
    }
}

/// Reads the status of the upstream and publishes it.
pub struct UpstreamMonitor {
    clock: Arc<dyn Clock>,
    upstream: UpstreamId,
    view: ViewReader,
    engine: Arc<dyn ModelEngine>,
    service: Arc<dyn PlainService>,
    state: watch::Sender<UpstreamState>,
    read_lock: Mutex<()>,
}

impl UpstreamMonitor {
    /// Starts the task that reads the status at intervals.
    #[must_use]
    pub fn spawn(
        context: &NodeContext,
        settings: &AgentSettings,
        view: ViewReader,
        engine: Arc<dyn ModelEngine>,
        service: Arc<dyn PlainService>,
    ) -> Arc<Self> {
        let monitor = Arc::new(Self {
            clock: context.clock.clone(),
            upstream: settings.upstream.clone(),
            view,
            engine,
            service,
            state: watch::Sender::new(UpstreamState::default()),
            read_lock: Mutex::default(),
        });
        let task_monitor = monitor.clone();
        let mut view = monitor.view.clone();
        context.spawn_traffic(async move {
            loop {
                task_monitor.read(task_monitor.clock.now()).await;
                tokio::select! {
                    () = tokio::time::sleep(POLL_INTERVAL) => {}
                    // The kind of the upstream is known only from the first configuration on.
                    () = view.changed() => {}
                }
            }
        });
        monitor
    }

    /// Returns the latest status.
    #[must_use]
    pub fn get(&self) -> UpstreamState {
        self.state.borrow().clone()
    }

    /// Returns a receiver that is notified after every read.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<UpstreamState> {
        self.state.subscribe()
    }

    /// Returns the status from a read that began at `not_before` or later, and reads it again if there is none.
    /// Concurrent callers share one read.
    pub async fn read(&self, not_before: Instant) -> UpstreamState {
        let _read_guard = self.read_lock.lock().await;
        let last = self.get();
        if last.read_at.is_some_and(|read_at| read_at >= not_before) {
            return last;
        }
        let read_at = self.clock.now();
        let state = match timeout(PROBE_TIMEOUT, self.fetch_status()).await {
            Ok(Ok(state)) => state,
            Ok(Err(error)) => last.after_missed_read(Some(&error)),
            Err(_) => last.after_missed_read(None),
        };
        let state = UpstreamState { read_at: Some(read_at), ..state };
        self.state.send_replace(state.clone());
        state
    }

    async fn fetch_status(&self) -> Result<UpstreamState, PlatformError> {
        let Some(kind) = self.kind() else { return Ok(UpstreamState::default()) };
        let reachable = UpstreamState { up: true, responded: true, ..UpstreamState::default() };
        if kind == UpstreamKind::Model {
            let status = self.engine.status().await?;
            return Ok(UpstreamState {
                incarnation: status.incarnation,
                cache_epoch: status.cache_epoch,
                in_use: status.in_use,
                loaded: status.loaded,
                ..reachable
            });
        }
        let status = self.service.status().await?;
        Ok(UpstreamState { incarnation: status.incarnation, in_use: status.in_use, ..reachable })
    }

    /// Returns true if the configuration in force registers the upstream as a model engine.
    #[must_use]
    pub fn is_model(&self) -> bool {
        self.kind() == Some(UpstreamKind::Model)
    }

    /// Returns the kind of the upstream, or `None` while no configuration that registers it is in force.
    fn kind(&self) -> Option<UpstreamKind> {
        let view = self.view.get()?;
        view.config.upstream(&self.upstream).map(|record| record.kind)
    }
}
