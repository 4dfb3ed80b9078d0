//! What this entry knows of the agents it probes, for the choice of upstreams and for operators.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use config::EntrySettings;
use log::info;
use member::AgentView;
use serde_json::{Value, json};
use wire::StatusReply;

use super::{
    gate::PauseGate,
    state::{SharedState, report_of},
};
use crate::{
    context::NodeContext,
    control::{MemberTable, ProbeObserver},
    view::ViewReader,
};

/// An agent and its latest status.
#[derive(Clone, Debug)]
pub struct KnownAgent {
    /// What membership says about it.
    pub agent: AgentView,
    /// Latest status; `None` if the last probe failed.
    pub status: Option<StatusReply>,
}

impl KnownAgent {
    /// State for operators.
    #[must_use]
    pub fn to_json(&self) -> Value {
        let status = self.status.as_ref();
        json!({
            "upstream": self.agent.upstream,
            "data_centre": self.agent.data_centre,
            "peer": self.agent.peer,
            "leaving": self.agent.leaving,
            "reachable": status.is_some(),
            "draining": status.map(|status| status.draining),
            "upstream_up": status.map(|status| status.upstream_up),
            "revision": status.map(|status| status.revision),
            "limit": status.map(|status| status.load.limit),
            "in_use": status.map(|status| status.load.in_use),
            "queued": status.map(|status| status.load.queued),
            "ready": status.map(|status| {
                status.ready.iter().map(|ready| json!({
                    "model": ready.model,
                    "manifest": base::ContentDigest::from_slice(&ready.manifest).map(|digest| digest.to_string()).ok(),
                })).collect::<Vec<_>>()
            }),
        })
    }
}

/// Table of agents, refreshed by probes.
pub struct AgentTable {
    members: Arc<MemberTable>,
}

impl AgentTable {
    /// Starts probing.
    #[must_use]
    pub fn spawn(
        context: &NodeContext,
        settings: &EntrySettings,
        view: ViewReader,
        state: Arc<SharedState>,
        gate: Arc<PauseGate>,
    ) -> Arc<Self> {
        context.spawn_control(follow_view(view.clone(), state.clone()));
        let observer = Arc::new(BoardObserver { state, gate });
        Arc::new(Self { members: MemberTable::spawn(context, settings, view, observer) })
    }

    /// All known agents, by upstream.
    #[must_use]
    pub fn list(&self) -> Vec<KnownAgent> {
        let statuses = self.members.statuses().into_iter();
        statuses.map(|(agent, status)| KnownAgent { agent, status }).collect()
    }

    /// True once every agent has been probed.
    #[must_use]
    pub fn is_probed(&self) -> bool {
        self.members.is_probed()
    }

    /// Addresses of the agents that are probed.
    #[must_use]
    pub fn peers(&self) -> Vec<SocketAddr> {
        self.members.agents().into_iter().map(|agent| agent.peer).collect()
    }

    /// Address of the agent beside an upstream, if it is probed.
    #[must_use]
    pub fn peer(&self, upstream: &str) -> Option<SocketAddr> {
        self.members.agent(upstream).map(|agent| agent.peer)
    }

    /// True if the agent has missed so many probes that nothing waits for it any more.
    #[must_use]
    pub fn is_lost(&self, upstream: &str) -> bool {
        self.members.agent(upstream).is_some_and(|agent| agent.lost)
    }

    /// Waits until the agent is lost.
    pub async fn lost(&self, upstream: &str) {
        self.members.lost(upstream).await;
    }

    /// Records that a connection to the agent beside an upstream failed.
    pub fn connect_failed(&self, upstream: &str) {
        if let Some(peer) = self.peer(upstream) {
            self.members.connect_failed(peer);
        }
    }
}

async fn follow_view(mut view: ViewReader, state: Arc<SharedState>) {
    loop {
        if let Some(view) = view.get() {
            state.lock().board.set_fleet(&view.config, &view.hosts);
        }
        view.changed().await;
    }
}

/// Passes what probes find to the board from which upstreams are chosen.
struct BoardObserver {
    state: Arc<SharedState>,
    gate: Arc<PauseGate>,
}

impl ProbeObserver for BoardObserver {
    fn probed(
        &self,
        upstream: &str,
        asked_at: Instant,
        received_at: Instant,
        status: Option<&StatusReply>,
    ) {
        let mut state = self.state.lock();
        match status {
            Some(status) => {
                let report = report_of(status);
                if state.board.record_report(asked_at, received_at, upstream, report) {
                    state.prefixes.forget(upstream);
                }
            }
            None => {
                if let Some(incarnation) = state.board.incarnation(upstream) {
                    state.board.record_failure(received_at, upstream, incarnation);
                }
            }
        }
    }

    fn tick(&self, now: Instant) {
        if let Some(gap) = self.gate.tick(now) {
            info!("event=gate_closed gap_ms={}", gap.as_millis());
            self.state.lock().board.forget_reports();
        }
    }
}
