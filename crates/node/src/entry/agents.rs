//! Probes the agents about twice a second and keeps their latest status.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use base::{DataCentreId, UpstreamId};
use config::EntrySettings;
use log::{info, warn};
use member::{
    AgentHealth, AgentView, MemberAction, MemberCore, MemberEvent, MemberOptions, MemberReport,
    ProbeResponse,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::sync::watch;
use wire::{Payload, StatusRequest, StatusResponse};

use super::{
    cache::apply_cache_events,
    gate::PauseGate,
    state::{SharedState, to_upstream_report},
};
use crate::{
    context::NodeContext,
    peer::{PeerError, PeerPool},
    view::ViewReader,
};

/// Timeout for a probe; an agent in another region responds within 10 ms.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between ticks of the probe schedule.
const TICK: Duration = Duration::from_millis(50);
/// Consecutive failed probes after which an agent counts as lost and requests that wait for it fail. Fewer failures
/// only stop new requests to it, because a busy host may respond late.
const LOST_AFTER_FAILURES: u32 = 3;

/// An agent and its latest status.
#[derive(Clone, Debug)]
pub struct KnownAgent {
    /// Upstream of the agent.
    pub upstream: UpstreamId,
    /// Data centre of the agent's host.
    pub data_centre: DataCentreId,
    /// Address of the agent's frame protocol.
    pub peer: SocketAddr,
    /// True if the host is marked as leaving in the host list.
    pub leaving: bool,
    /// Latest status; `None` if the last probe failed.
    pub status: Option<StatusResponse>,
    health: AgentHealth,
    failures: u32,
}

impl KnownAgent {
    fn new(view: AgentView) -> Self {
        Self {
            upstream: view.upstream,
            data_centre: view.data_centre,
            peer: view.peer,
            leaving: view.leaving,
            status: None,
            health: view.health,
            failures: 0,
        }
    }

    /// Returns the alarm for operators about the agent, or `None` if there is none; `revision` is in force in this
    /// process.
    #[must_use]
    pub fn alarm(&self, revision: base::Revision) -> Option<String> {
        let upstream = &self.upstream;
        let Some(status) = &self.status else {
            return Some(format!("agent of {upstream} does not respond to probes"));
        };
        if status.revision < revision {
            let behind = status.revision;
            return Some(format!(
                "agent of {upstream} has revision {behind} in force, expected {revision}"
            ));
        }
        if status.draining {
            let remaining = status.load.in_use + status.load.queued;
            return Some(format!("agent of {upstream} is draining with {remaining} requests left"));
        }
        (!status.upstream_up).then(|| format!("upstream {upstream} does not respond to its agent"))
    }

    /// Returns the state of the agent for the administration API.
    #[must_use]
    pub fn to_json(&self) -> Value {
        let status = self.status.as_ref();
        json!({
            "upstream": self.upstream,
            "data_centre": self.data_centre,
            "peer": self.peer,
            "leaving": self.leaving,
            "reachable": status.is_some(),
            "suspect": self.health == AgentHealth::Suspect,
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

/// Table of the agents from the membership core, with the latest status of each.
pub struct AgentTable {
    context: NodeContext,
    core: Mutex<MemberCore>,
    state: Arc<SharedState>,
    gate: Arc<PauseGate>,
    pool: Arc<PeerPool>,
    agents: Mutex<HashMap<UpstreamId, KnownAgent>>,
    /// Number of agents lost so far; its receivers are notified of each loss.
    loss_count: watch::Sender<u64>,
}

impl AgentTable {
    /// Starts probing the agents.
    #[must_use]
    pub fn spawn(
        context: &NodeContext,
        settings: &EntrySettings,
        view: ViewReader,
        state: Arc<SharedState>,
        gate: Arc<PauseGate>,
    ) -> Arc<Self> {
        // Probes run on the control thread and have a separate connection pool.
        let key = wire::FleetKey::new(&settings.common.fleet_key);
        let pool = PeerPool::new(key, settings.common.host.clone());
        let options = MemberOptions { host: settings.common.host.clone(), subset: settings.subset };
        let rng = Box::new(ChaCha8Rng::from_rng(&mut rand::rng()));
        let table = Arc::new(Self {
            context: context.clone(),
            core: Mutex::new(MemberCore::new(options, rng, context.clock.now())),
            state,
            gate,
            pool,
            agents: Mutex::default(),
            loss_count: watch::Sender::new(0),
        });
        context.spawn_control(table.clone().watch_view(view));
        context.spawn_control(table.clone().tick_loop());
        table
    }

    /// Returns all known agents, ordered by upstream.
    #[must_use]
    pub fn list(&self) -> Vec<KnownAgent> {
        let mut agents: Vec<_> = self.lock().values().cloned().collect();
        agents.sort_by(|left, right| left.upstream.cmp(&right.upstream));
        agents
    }

    /// Returns true once every agent has responded to a probe or failed one.
    #[must_use]
    pub fn is_probed(&self) -> bool {
        self.lock().values().all(|agent| agent.status.is_some() || agent.failures > 0)
    }

    /// Returns the addresses of all known agents.
    #[must_use]
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.lock().values().map(|agent| agent.peer).collect()
    }

    /// Returns the address of an upstream's agent, or `None` if the agent is not known.
    #[must_use]
    pub fn peer_address(&self, upstream: &str) -> Option<SocketAddr> {
        self.lock().get(upstream).map(|agent| agent.peer)
    }

    /// Returns true if the agent has failed so many consecutive probes that it counts as lost.
    #[must_use]
    pub fn is_lost(&self, upstream: &str) -> bool {
        self.lock().get(upstream).is_some_and(|agent| agent.failures >= LOST_AFTER_FAILURES)
    }

    /// Waits until the agent counts as lost.
    pub async fn wait_until_lost(&self, upstream: &str) {
        let mut loss_count = self.loss_count.subscribe();
        while !self.is_lost(upstream) {
            if loss_count.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Records that a connection to the agent failed for a request.
    pub fn connect_failed(self: &Arc<Self>, upstream: &str) {
        if let Some(peer) = self.peer_address(upstream) {
            let at = self.context.clock.now();
            self.handle(MemberEvent::ConnectFailed { peer, at });
        }
    }

    async fn watch_view(self: Arc<Self>, mut view: ViewReader) {
        loop {
            if let Some(view) = view.get() {
                self.state.lock().upstreams.set_fleet(&view.config, &view.hosts);
                self.handle(MemberEvent::Config(view.config.clone()));
                self.handle(MemberEvent::Hosts(view.hosts.clone()));
            }
            view.changed().await;
        }
    }

    async fn tick_loop(self: Arc<Self>) {
        loop {
            if let Some(gap) = self.gate.tick(self.context.clock.now()) {
                info!("event=pause_detected gap_ms={}", gap.as_millis());
                self.state.lock().upstreams.clear_reports();
            }
            self.handle(MemberEvent::Tick);
            tokio::time::sleep(TICK).await;
        }
    }

    fn handle(self: &Arc<Self>, event: MemberEvent) {
        let now = self.context.clock.now();
        let (actions, views) = {
            let mut core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
            let actions = core.handle(now, event);
            let changed = actions.contains(&MemberAction::Changed);
            (actions, changed.then(|| core.agents(now)))
        };
        if let Some(views) = views {
            self.set_agents(views);
        }
        for action in actions {
            match action {
                MemberAction::Probe { upstream, peer, sent_at } => {
                    self.context.spawn_control(self.clone().probe(upstream, peer, sent_at));
                }
                MemberAction::Changed => {}
                MemberAction::Report(report) => self.handle_report(now, &report),
            }
        }
    }

    fn set_agents(&self, views: Vec<AgentView>) {
        let mut agents = self.lock();
        let mut previous_agents = std::mem::take(&mut *agents);
        for view in views {
            let known_agent =
                previous_agents.remove(&view.upstream).filter(|agent| agent.peer == view.peer);
            let mut agent = known_agent.unwrap_or_else(|| KnownAgent::new(view.clone()));
            agent.leaving = view.leaving;
            agent.health = view.health;
            agents.insert(view.upstream, agent);
        }
    }

    fn handle_report(&self, now: Instant, report: &MemberReport) {
        match report {
            MemberReport::Health { upstream, health } => {
                warn!("event=agent_health upstream={upstream} health={health:?}");
                let mut state = self.state.lock();
                if *health == AgentHealth::Suspect
                    && let Some(incarnation) = state.upstreams.incarnation(upstream)
                {
                    state.upstreams.record_failure(now, upstream, incarnation);
                }
            }
            MemberReport::IncarnationChanged { upstream, previous } => {
                warn!("event=agent_restarted upstream={upstream} previous={previous}");
            }
            MemberReport::Paused { gap } => info!("event=probes_reset gap_ms={}", gap.as_millis()),
        }
    }

    async fn probe(self: Arc<Self>, upstream: UpstreamId, peer: SocketAddr, sent_at: Instant) {
        let generation = self.cache_generation(&upstream);
        let cache_after = self.state.lock().prefixes.last_seq(&upstream).unwrap_or(0);
        let request = StatusRequest { cache_generation: generation, cache_after };
        let request = Payload::StatusRequest(request);
        let response = self.pool.exchange(peer, request, PROBE_TIMEOUT).await;
        let refused = matches!(response, Err(PeerError::Connect { .. }));
        let Ok(Payload::StatusResponse(status)) = response else {
            self.count_failure(&upstream, peer);
            self.handle(MemberEvent::ProbeFailed { peer, sent_at, refused });
            return;
        };
        let response = ProbeResponse {
            upstream: status.upstream.as_str().into(),
            incarnation: status.incarnation,
            draining: status.draining,
        };
        if response.upstream == upstream {
            let mut state = self.state.lock();
            let received_at = self.context.clock.now();
            let report = to_upstream_report(&status);
            if state.upstreams.record_report(sent_at, received_at, &upstream, report) {
                state.prefixes.remove_upstream(&upstream);
            }
            apply_cache_events(&mut state.prefixes, received_at, &upstream, generation, &status);
            drop(state);
            if let Some(agent) = self.lock().get_mut(&upstream).filter(|agent| agent.peer == peer) {
                agent.failures = 0;
                agent.status = Some(status);
            }
        }
        self.handle(MemberEvent::ProbeSucceeded { peer, sent_at, response });
    }

    /// Returns the cache generation in the agent's last status, or 0 if it has none.
    fn cache_generation(&self, upstream: &str) -> u64 {
        let agents = self.lock();
        let status = agents.get(upstream).and_then(|agent| agent.status.as_ref());
        status.map_or(0, |status| status.cache_generation)
    }

    fn count_failure(&self, upstream: &str, peer: SocketAddr) {
        let lost = {
            let mut agents = self.lock();
            let Some(agent) = agents.get_mut(upstream).filter(|agent| agent.peer == peer) else {
                return;
            };
            agent.failures = agent.failures.saturating_add(1);
            agent.status = None;
            agent.failures == LOST_AFTER_FAILURES
        };
        if lost {
            info!("event=agent_lost upstream={upstream} peer={peer}");
            self.pool.close_idle(peer);
            self.loss_count.send_modify(|count| *count += 1);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<UpstreamId, KnownAgent>> {
        self.agents.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
