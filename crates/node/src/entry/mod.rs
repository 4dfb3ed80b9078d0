//! The entry: resolves addresses for callers, issues request keys and forwards requests to agents.

mod agents;
mod api;
mod cache;
mod exchange;
mod forward;
mod gate;
mod keys;
mod metrics;
mod notices;
mod request;
mod respond;
mod service;
mod state;
mod stream;

use std::{sync::Arc, time::Duration};

use config::EntrySettings;
use log::info;
use once::{KEY_SIGNING_CONTEXT, KeySigner};
use serde_json::{Value, json};
use tokio::time::timeout;
use wire::FleetKey;

pub use self::agents::{AgentTable, KnownAgent};
use self::{
    api::CallerApi,
    forward::Forwarder,
    gate::PauseGate,
    metrics::EntryMetrics,
    notices::{CrashNotifier, NoticeHandler},
    state::SharedState,
};
use crate::{
    admin::{AdminApi, AdminSource},
    alarm::AlarmRegistry,
    context::{NodeContext, NodeListeners},
    control, http,
    peer::PeerPool,
    server::FrameServer,
};

/// Maximum network delay of an address response and of the request that follows it. It is added to the time to live, so
/// that requests to an address that is still valid are served during a planned stop.
const ADDRESS_TRANSIT_TIME: Duration = Duration::from_millis(250);

/// A running entry.
pub struct EntryNode {
    context: NodeContext,
    forwarder: Arc<Forwarder>,
    settings: EntrySettings,
    callers: http::HttpServer,
}

impl EntryNode {
    /// Starts an entry with the given listeners.
    ///
    /// # Panics
    /// Panics if `listeners` has no listener for callers.
    #[must_use]
    pub fn start(context: NodeContext, settings: EntrySettings, listeners: NodeListeners) -> Self {
        let key = FleetKey::new(&settings.common.fleet_key);
        let signer = KeySigner::new(key.derive(KEY_SIGNING_CONTEXT));
        let control = control::spawn(&context, &settings.common);
        let view = control.view;
        let now = context.clock.now();
        let state = Arc::new(SharedState::new(now, &settings.objectives));
        let gate = Arc::new(PauseGate::new(now));
        let agents =
            AgentTable::spawn(&context, &settings, view.clone(), state.clone(), gate.clone());
        // Requests have a separate connection pool, so that control traffic never waits for them.
        let pool = PeerPool::new(key.clone(), settings.common.host.clone());
        let own_address = settings.common.peer_listen;
        let notices = CrashNotifier::new(
            &context,
            own_address,
            view.clone(),
            agents.clone(),
            state.clone(),
            pool.clone(),
        );
        let forwarder = Arc::new(Forwarder {
            context: context.clone(),
            view,
            agents,
            state,
            notices: notices.clone(),
            gate,
            metrics: EntryMetrics::new(settings.common.statsd),
            pool,
            counters: forward::ForwardCounters::default(),
        });
        let handlers: Vec<Arc<dyn crate::server::FrameHandler>> =
            vec![control.handler, Arc::new(NoticeHandler(notices))];
        let server = FrameServer::new(key, settings.common.host.clone(), handlers);
        server.spawn(&context, listeners.peer);
        let api = CallerApi::new(&settings, signer, forwarder.clone());
        let listener = listeners.http.expect("an entry has a listener for callers");
        let callers = http::spawn_server(&context, listener, api);
        let source = Arc::new(EntryStatus {
            settings: settings.clone(),
            forwarder: forwarder.clone(),
            alarms: control.alarms,
        });
        http::spawn_server(&context, listeners.admin, AdminApi::new(source));
        info!("event=entry_started host={}", settings.common.host);
        Self { context, forwarder, settings, callers }
    }

    /// Stops gracefully: address responses no longer name this entry, and requests in progress finish.
    ///
    /// Callers keep addresses for their time to live, so the entry serves callers for that long before it closes their
    /// connections.
    pub async fn drain(self) {
        let limit = self.settings.common.drain_timeout();
        self.context.draining.cancel();
        let ttl = Duration::from_millis(self.settings.address_ttl_ms) + ADDRESS_TRANSIT_TIME;
        tokio::time::sleep(ttl.min(limit)).await;
        self.context.closing.cancel();
        let held = self.forwarder.wait_until_idle(limit).await;
        // The last responses may still be in transit to the callers.
        let _ = timeout(limit, self.callers.wait_until_closed()).await;
        info!("event=entry_stopped host={} held={held}", self.settings.common.host);
        self.context.killed.cancel();
    }

    /// Stops at once without finishing requests, as a crash would.
    pub fn kill(&self) {
        self.context.killed.cancel();
    }
}

struct EntryStatus {
    settings: EntrySettings,
    forwarder: Arc<Forwarder>,
    alarms: Arc<AlarmRegistry>,
}

impl EntryStatus {
    /// Returns the alarms of this process and of the agents that it probes.
    fn alarm_lines(&self, revision: base::Revision, agents: &[KnownAgent]) -> Vec<String> {
        let own_alarms = self.alarms.active_alarms(self.forwarder.context.clock.now());
        own_alarms
            .into_iter()
            .chain(agents.iter().filter_map(|agent| agent.alarm(revision)))
            .collect()
    }
}

impl AdminSource for EntryStatus {
    fn is_ready(&self) -> bool {
        let draining = self.forwarder.context.draining.is_cancelled();
        self.forwarder.fresh_view().is_some() && self.forwarder.agents.is_probed() && !draining
    }

    fn status(&self) -> Value {
        let view = self.forwarder.view.get();
        let agents = self.forwarder.agents.list();
        json!({
            "role": "entry",
            "host": self.settings.common.host,
            "data_centre": self.settings.common.data_centre,
            "revision": view.as_ref().map(|view| view.config.revision),
            "preset": view.as_ref().map(|view| view.config.preset),
            "config_age_s": view.as_ref().map(|view| view.adopted_at.elapsed().as_secs()),
            "data_centres": view.as_ref().map(|view| view.config.data_centres.clone()),
            "hosts": view.as_ref().map(|view| view.hosts.hosts.clone()),
            "upstreams": agents.iter().map(|agent| agent.to_json()).collect::<Vec<_>>(),
            "reader": self.alarms.reader_json(),
            "alarms": self.alarm_lines(view.as_ref().map_or(0, |view| view.config.revision), &agents),
            "draining": self.forwarder.context.draining.is_cancelled(),
            "in_progress": self.forwarder.in_progress(),
            "crash_records": self.forwarder.state.lock().crashes.len(),
        })
    }

    fn report(&self) -> Option<Value> {
        let now = self.forwarder.context.clock.now();
        let report = self.forwarder.state.lock().meter.report(now);
        serde_json::to_value(report).ok()
    }
}
