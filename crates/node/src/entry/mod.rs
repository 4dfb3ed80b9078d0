//! The entry: address answers, request keys and forwarding.

mod agents;
mod api;
mod forward;

use std::sync::Arc;

use config::EntrySettings;
use log::info;
use serde_json::{Value, json};
use wire::FleetKey;

pub use self::agents::{AgentTable, KnownAgent};
use self::{api::CallerApi, forward::Forwarder};
use crate::{
    admin::{AdminApi, AdminSource},
    context::{NodeContext, NodeListeners},
    control, http,
    peer::PeerPool,
    server::FrameServer,
    view::ViewReader,
};

/// A running entry.
pub struct EntryNode {
    context: NodeContext,
    forwarder: Arc<Forwarder>,
    settings: EntrySettings,
}

impl EntryNode {
    /// Starts an entry.
    ///
    /// # Panics
    /// If `listeners` has no listener for callers.
    #[must_use]
    pub fn start(context: NodeContext, settings: EntrySettings, listeners: NodeListeners) -> Self {
        let key = FleetKey::new(&settings.common.fleet_key);
        let pool = PeerPool::new(key.clone(), settings.common.host.clone());
        let control = control::spawn(&context, &settings.common, &pool);
        let agents = AgentTable::spawn(&context, control.view.clone(), pool.clone());
        let forwarder = Forwarder::new(&context, control.view.clone(), agents.clone(), pool);
        let server = FrameServer::new(key, settings.common.host.clone(), vec![control.handler]);
        server.spawn(&context, listeners.peer);
        let api = CallerApi::new(&context, &settings, control.view.clone(), forwarder.clone());
        let listener = listeners.http.expect("an entry has a listener for callers");
        http::spawn_server(&context, listener, api);
        let source =
            Arc::new(EntryStatus { settings: settings.clone(), agents, view: control.view });
        http::spawn_server(&context, listeners.admin, AdminApi::new(source));
        info!("event=entry_started host={}", settings.common.host);
        Self { context, forwarder, settings }
    }

    /// Stops gracefully: address answers no longer name this entry, requests in progress finish.
    pub async fn drain(self) {
        self.context.draining.cancel();
        let held = self.forwarder.finish(self.settings.common.drain_timeout()).await;
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
    agents: Arc<AgentTable>,
    view: ViewReader,
}

impl AdminSource for EntryStatus {
    fn is_ready(&self) -> bool {
        self.view.get().is_some()
    }

    fn status(&self) -> Value {
        let view = self.view.get();
        let agents = self.agents.list();
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
        })
    }
}
