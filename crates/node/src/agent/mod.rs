//! The agent of one upstream: admits the requests that entries forward, sends them to the upstream and relays its
//! responses.

mod admit;
mod cache;
mod core;
mod crash;
mod forward;
mod gate;
mod keyed;
mod monitor;
mod progress;
mod relay;
mod response;

use std::{sync::Arc, time::Duration};

use config::AgentSettings;
use log::info;
use once::RecordOptions;
use ports::{HttpEngine, HttpService, ModelEngine, PlainService};
use serde_json::{Value, json};
use wire::FleetKey;

use self::{core::RequestCore, forward::ForwardHandler};
pub use self::{
    monitor::{UpstreamMonitor, UpstreamState},
    response::{ResponseError, TokenValidator},
};
use crate::{
    admin::{AdminApi, AdminSource},
    alarm::AlarmRegistry,
    context::{NodeContext, NodeListeners},
    control, http,
    peer::PeerPool,
    server::FrameServer,
    view::ViewReader,
    weights::{self, LoadSignal},
};

/// Interval between load reports to the weights module; short compared with the transfer of a chunk.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// A running agent.
pub struct AgentNode {
    context: NodeContext,
    forward: Arc<ForwardHandler>,
    settings: AgentSettings,
}

impl AgentNode {
    /// Starts an agent with the default options for the records of keyed requests.
    #[must_use]
    pub fn start(context: NodeContext, settings: AgentSettings, listeners: NodeListeners) -> Self {
        Self::start_with_record_options(context, settings, listeners, RecordOptions::default())
    }

    /// Starts an agent with the given options for the records of keyed requests.
    #[must_use]
    pub fn start_with_record_options(
        context: NodeContext,
        settings: AgentSettings,
        listeners: NodeListeners,
        record_options: RecordOptions,
    ) -> Self {
        let key = FleetKey::new(&settings.common.fleet_key);
        let pool = PeerPool::new(key.clone(), settings.common.host.clone());
        let control = control::spawn(&context, &settings.common);
        let engine: Arc<dyn ModelEngine> = Arc::new(HttpEngine::new(settings.upstream_address));
        let service: Arc<dyn PlainService> = Arc::new(HttpService::new(settings.upstream_address));
        let core = RequestCore::spawn(
            &context,
            &settings,
            control.view.clone(),
            engine.clone(),
            service.clone(),
        );
        let weights =
            weights::spawn(&context, &settings, control.view.clone(), engine.clone(), &pool);
        spawn_load_reports(&context, core.clone(), weights.load);
        let forward = ForwardHandler::new(core, weights.progress, &key, record_options);
        let mut handlers = weights.handlers;
        handlers.push(control.handler);
        handlers.push(forward.clone());
        let server = FrameServer::new(key, settings.common.host.clone(), handlers);
        server.spawn(&context, listeners.peer);
        let source = Arc::new(AgentStatus {
            forward: forward.clone(),
            view: control.view,
            alarms: control.alarms,
            context: context.clone(),
        });
        http::spawn_server(&context, listeners.admin, AdminApi::new(source));
        info!("event=agent_started host={} upstream={}", settings.common.host, settings.upstream);
        Self { context, forward, settings }
    }

    /// Stops gracefully: refuses new requests, and waits for those in progress until the drain timeout.
    pub async fn drain(self) {
        self.context.draining.cancel();
        let held = self.forward.wait_until_idle(self.settings.common.drain_timeout()).await;
        info!("event=agent_stopped host={} held={held}", self.settings.common.host);
        self.context.killed.cancel();
    }

    /// Stops at once without finishing requests, as a crash would.
    pub fn kill(&self) {
        self.context.killed.cancel();
    }
}

struct AgentStatus {
    forward: Arc<ForwardHandler>,
    view: ViewReader,
    alarms: Arc<AlarmRegistry>,
    context: NodeContext,
}

impl AdminSource for AgentStatus {
    fn is_ready(&self) -> bool {
        self.view.get().is_some()
    }

    fn status(&self) -> Value {
        let status = self.forward.status();
        let view = self.view.get();
        json!({
            "role": "agent",
            "upstream": status.upstream,
            "revision": status.revision,
            "config_age_s": view.map(|view| view.adopted_at.elapsed().as_secs()),
            "incarnation": status.incarnation,
            "uptime_ms": status.uptime_ms,
            "draining": status.draining,
            "reader": self.alarms.reader_json(),
            "alarms": self.alarms.active_alarms(self.context.clock.now()),
            "held_bytes": status.held_bytes,
            "wanted_bytes": status.wanted_bytes,
            "upstream_up": status.upstream_up,
            "limit": status.load.limit,
            "in_use": status.load.in_use,
            "queued": status.load.queued,
            "ready": status.ready.iter().map(|ready| ready.model.as_str()).collect::<Vec<_>>(),
        })
    }
}

/// Reports the load of the upstream to the weights module. Queued requests mean that live requests are slowed down.
fn spawn_load_reports(context: &NodeContext, core: Arc<RequestCore>, signal: LoadSignal) {
    context.spawn_traffic(async move {
        loop {
            let load = core.admitter.load();
            signal.report(load.in_use, load.queued > 0);
            tokio::time::sleep(LOAD_REPORT_INTERVAL).await;
        }
    });
}
