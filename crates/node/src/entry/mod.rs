//! The entry: address answers, request keys and forwarding.

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
    notices::{NoticeBoard, NoticeHandler},
    state::SharedState,
};
use crate::{
    admin::{AdminApi, AdminSource},
    alarm::AlarmBoard,
    context::{NodeContext, NodeListeners},
    control, http,
    peer::PeerPool,
    server::FrameServer,
};

/// Time that an address answer and the request that follows it travel at most.
const ANSWER_TRAVEL_TIME: Duration = Duration::from_millis(250);

/// A running entry.
pub struct EntryNode {
    context: NodeContext,
    forwarder: Arc<Forwarder>,
    settings: EntrySettings,
    callers: http::HttpServer,
}

impl EntryNode {
    /// Starts an entry.
    ///
    /// # Panics
    /// If `listeners` has no listener for callers.
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
        // Requests use channels of their own, so that control traffic never waits for them.
        let pool = PeerPool::new(key.clone(), settings.common.host.clone());
        let own_peer = settings.common.peer_listen;
        let notices = NoticeBoard::new(
            &context,
            own_peer,
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

    /// Stops gracefully: address answers no longer name this entry, requests in progress finish.
    ///
    /// Callers keep an address answer for its time to live, so the entry serves them for that long before it closes
    /// connections.
    pub async fn drain(self) {
        let limit = self.settings.common.drain_timeout();
        self.context.draining.cancel();
        let ttl = Duration::from_millis(self.settings.address_ttl_ms) + ANSWER_TRAVEL_TIME;
        tokio::time::sleep(ttl.min(limit)).await;
        self.context.closing.cancel();
        let held = self.forwarder.finish(limit).await;
        // The last answers may still be on their way to the callers.
        let _ = timeout(limit, self.callers.closed()).await;
        info!("event=entry_stopped host={} held={held}", self.settings.common.host);
        self.context.killed.cancel();
    }

    /// Stops at once, as a crash would.
    pub fn kill(&self) {
        self.context.killed.cancel();
    }
}

struct EntryStatus {
    settings: EntrySettings,
    forwarder: Arc<Forwarder>,
    alarms: Arc<AlarmBoard>,
}

impl EntryStatus {
    /// Alarms of this process and of the agents that it probes.
    fn alarm_lines(&self, revision: base::Revision, agents: &[KnownAgent]) -> Vec<String> {
        let own = self.alarms.list(self.forwarder.context.clock.now());
        own.into_iter().chain(agents.iter().filter_map(|agent| agent.alarm(revision))).collect()
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
