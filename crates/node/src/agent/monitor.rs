//! Polls the upstream's own status.

use std::{sync::Arc, time::Duration};

use base::Incarnation;
use config::AgentSettings;
use platform::{LoadedModel, ModelEngine, PlainService};
use tokio::sync::watch;

use super::is_model;
use crate::{context::NodeContext, view::ViewReader};

const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// What the upstream last said of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamState {
    /// False until it answered, and after it failed to answer.
    pub up: bool,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Epoch of its caches; engines only.
    pub cache_epoch: u64,
    /// Requests in progress as it reports them, with a lag.
    pub in_use: u32,
    /// Models that it names as loaded.
    pub loaded: Vec<LoadedModel>,
}

/// Publishes the state of the upstream.
#[derive(Clone)]
pub struct UpstreamMonitor {
    state: watch::Receiver<UpstreamState>,
}

impl UpstreamMonitor {
    /// Starts polling.
    #[must_use]
    pub fn spawn(
        context: &NodeContext,
        settings: &AgentSettings,
        view: ViewReader,
        engine: Arc<dyn ModelEngine>,
        service: Arc<dyn PlainService>,
    ) -> Self {
        let (sender, state) = watch::channel(UpstreamState::default());
        let upstream = settings.upstream.clone();
        context.spawn_traffic(async move {
            loop {
                let state = if is_model(&view, &upstream) {
                    poll_engine(&*engine).await
                } else {
                    poll_service(&*service).await
                };
                let last = sender.borrow().clone();
                sender.send_replace(state.unwrap_or(UpstreamState { up: false, ..last }));
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        });
        Self { state }
    }

    /// The latest state.
    #[must_use]
    pub fn get(&self) -> UpstreamState {
        self.state.borrow().clone()
    }

    /// A receiver that is told of every poll.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<UpstreamState> {
        self.state.clone()
    }
}

async fn poll_engine(engine: &dyn ModelEngine) -> Option<UpstreamState> {
    let status = engine.status().await.ok()?;
    Some(UpstreamState {
        up: true,
        incarnation: status.incarnation,
        cache_epoch: status.cache_epoch,
        in_use: status.in_use,
        loaded: status.loaded,
    })
}

async fn poll_service(service: &dyn PlainService) -> Option<UpstreamState> {
    let status = service.status().await.ok()?;
    let incarnation = status.incarnation;
    Some(UpstreamState { up: true, incarnation, in_use: status.in_use, ..UpstreamState::default() })
}
