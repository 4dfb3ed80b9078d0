//! Reads the upstream's own status, at intervals and on demand.

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
/// Longest wait for one status answer; a request whose connection broke waits for it before it is answered.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Unanswered reads in a row after which the upstream counts as down. A refused connection counts at once.
const MAX_MISSES: u32 = 2;

/// What the upstream last said of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamState {
    /// False until it answered, and after it failed to answer.
    pub up: bool,
    /// True if the last read was answered.
    pub answered: bool,
    /// Unanswered reads in a row.
    pub misses: u32,
    /// When the last read began.
    pub read_at: Option<Instant>,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Epoch of its caches; engines only.
    pub cache_epoch: u64,
    /// Requests in progress as it reports them, with a lag.
    pub in_use: u32,
    /// Models that it names as loaded.
    pub loaded: Vec<LoadedModel>,
}

impl UpstreamState {
    /// Lifetime of the upstream and of its caches.
    #[must_use]
    pub fn epoch(&self) -> UpstreamEpoch {
        UpstreamEpoch { incarnation: self.incarnation, cache_epoch: self.cache_epoch }
    }

    /// True if the upstream serves this version of the model.
    #[must_use]
    pub fn serves(&self, model: &str, manifest: ContentDigest) -> bool {
        self.loaded.iter().any(|loaded| loaded.model == model && loaded.manifest == manifest)
    }

    fn after_miss(&self, error: Option<&PlatformError>) -> Self {
        let misses = self.misses.saturating_add(1);
        let refused = error.is_some_and(PlatformError::is_not_sent);
        let up = self.up && !refused && misses < MAX_MISSES;
        Self { up, answered: false, misses, ..self.clone() }
    }
}

/// Publishes the state of the upstream.
pub struct UpstreamMonitor {
    clock: Arc<dyn Clock>,
    upstream: UpstreamId,
    view: ViewReader,
    engine: Arc<dyn ModelEngine>,
    service: Arc<dyn PlainService>,
    state: watch::Sender<UpstreamState>,
    reading: Mutex<()>,
}

impl UpstreamMonitor {
    /// Starts reading at intervals.
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
            reading: Mutex::default(),
        });
        let task_monitor = monitor.clone();
        let mut view = monitor.view.clone();
        context.spawn_traffic(async move {
            loop {
                task_monitor.read(task_monitor.clock.now()).await;
                tokio::select! {
                    () = tokio::time::sleep(POLL_INTERVAL) => {}
                    // The first configuration tells what kind of upstream this is.
                    () = view.changed() => {}
                }
            }
        });
        monitor
    }

    /// The latest state.
    #[must_use]
    pub fn get(&self) -> UpstreamState {
        self.state.borrow().clone()
    }

    /// A receiver that is told of every read.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<UpstreamState> {
        self.state.subscribe()
    }

    /// The outcome of a read that began at `not_before` or later; reads anew if there is none. Concurrent callers share
    /// one read.
    pub async fn read(&self, not_before: Instant) -> UpstreamState {
        let _reading = self.reading.lock().await;
        let last = self.get();
        if last.read_at.is_some_and(|read_at| read_at >= not_before) {
            return last;
        }
        let read_at = self.clock.now();
        let state = match timeout(PROBE_TIMEOUT, self.ask()).await {
            Ok(Ok(state)) => state,
            Ok(Err(error)) => last.after_miss(Some(&error)),
            Err(_) => last.after_miss(None),
        };
        let state = UpstreamState { read_at: Some(read_at), ..state };
        self.state.send_replace(state.clone());
        state
    }

    async fn ask(&self) -> Result<UpstreamState, PlatformError> {
        let Some(kind) = self.kind() else { return Ok(UpstreamState::default()) };
        let answered = UpstreamState { up: true, answered: true, ..UpstreamState::default() };
        if kind == UpstreamKind::Model {
            let status = self.engine.status().await?;
            return Ok(UpstreamState {
                incarnation: status.incarnation,
                cache_epoch: status.cache_epoch,
                in_use: status.in_use,
                loaded: status.loaded,
                ..answered
            });
        }
        let status = self.service.status().await?;
        Ok(UpstreamState { incarnation: status.incarnation, in_use: status.in_use, ..answered })
    }

    /// True if the upstream is a model engine, as far as the configuration in force tells.
    #[must_use]
    pub fn is_model(&self) -> bool {
        self.kind() == Some(UpstreamKind::Model)
    }

    /// Kind of the upstream; `None` while no configuration that registers it is in force.
    fn kind(&self) -> Option<UpstreamKind> {
        let view = self.view.get()?;
        view.config.upstream(&self.upstream).map(|record| record.kind)
    }
}
