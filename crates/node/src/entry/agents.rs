//! Probes agents about twice a second and keeps what they answer.

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
    ProbeAnswer,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::sync::watch;
use wire::{Payload, StatusReply, StatusRequest};

use super::{
    gate::PauseGate,
    state::{SharedState, report_of},
};
use crate::{
    context::NodeContext,
    peer::{PeerError, PeerPool},
    view::ViewReader,
};

/// A probe that takes longer is missed; an agent in another region answers within 10 ms.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Resolution of the probe schedule.
const TICK: Duration = Duration::from_millis(50);
/// Missed probes after which requests that wait for the agent give up. Fewer only stop new work, because a busy host
/// may answer late.
const LOST_AFTER: u32 = 3;

/// An agent and its latest status.
#[derive(Clone, Debug)]
pub struct KnownAgent {
    /// Upstream beside the agent.
    pub upstream: UpstreamId,
    /// Data centre of its host.
    pub data_centre: DataCentreId,
    /// Address for frames.
    pub peer: SocketAddr,
    /// True if the host list says that the host leaves.
    pub leaving: bool,
    /// Latest status; `None` if the last probe failed.
    pub status: Option<StatusReply>,
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

    /// What operators should know about the agent while `revision` is in force here.
    #[must_use]
    pub fn alarm(&self, revision: base::Revision) -> Option<String> {
        let upstream = &self.upstream;
        let Some(status) = &self.status else {
            return Some(format!("agent of {upstream} does not answer"));
        };
        if status.revision < revision {
            let behind = status.revision;
            return Some(format!(
                "agent of {upstream} has revision {behind} in force, not {revision}"
            ));
        }
        if status.draining {
            let held = status.load.in_use + status.load.queued;
            return Some(format!("agent of {upstream} drains and still holds {held} requests"));
        }
        (!status.upstream_up).then(|| format!("upstream {upstream} does not answer its agent"))
    }

    /// State for operators.
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

/// Table of agents: what the membership core says, and the latest status of each.
pub struct AgentTable {
    context: NodeContext,
    core: Mutex<MemberCore>,
    state: Arc<SharedState>,
    gate: Arc<PauseGate>,
    pool: Arc<PeerPool>,
    agents: Mutex<HashMap<UpstreamId, KnownAgent>>,
    /// Changes when an agent is lost.
    losses: watch::Sender<u64>,
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
        // Probes run on the control thread and have channels of their own.
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
            losses: watch::Sender::new(0),
        });
        context.spawn_control(table.clone().follow_view(view));
        context.spawn_control(table.clone().run());
        table
    }

    /// All known agents.
    #[must_use]
    pub fn list(&self) -> Vec<KnownAgent> {
        let mut agents: Vec<_> = self.lock().values().cloned().collect();
        agents.sort_by(|left, right| left.upstream.cmp(&right.upstream));
        agents
    }

    /// True once every agent has been probed.
    #[must_use]
    pub fn is_probed(&self) -> bool {
        self.lock().values().all(|agent| agent.status.is_some() || agent.failures > 0)
    }

    /// Addresses of the agents that are probed.
    #[must_use]
    pub fn peers(&self) -> Vec<SocketAddr> {
        self.lock().values().map(|agent| agent.peer).collect()
    }

    /// Address of the agent beside an upstream, if it is probed.
    #[must_use]
    pub fn peer(&self, upstream: &str) -> Option<SocketAddr> {
        self.lock().get(upstream).map(|agent| agent.peer)
    }

    /// True if the agent has missed so many probes that nothing waits for it any more.
    #[must_use]
    pub fn is_lost(&self, upstream: &str) -> bool {
        self.lock().get(upstream).is_some_and(|agent| agent.failures >= LOST_AFTER)
    }

    /// Waits until the agent is lost.
    pub async fn lost(&self, upstream: &str) {
        let mut losses = self.losses.subscribe();
        while !self.is_lost(upstream) {
            if losses.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Records that a connection for a request failed.
    pub fn connect_failed(self: &Arc<Self>, upstream: &str) {
        if let Some(peer) = self.peer(upstream) {
            let at = self.context.clock.now();
            self.handle(MemberEvent::ConnectFailed { peer, at });
        }
    }

    async fn follow_view(self: Arc<Self>, mut view: ViewReader) {
        loop {
            if let Some(view) = view.get() {
                self.state.lock().board.set_fleet(&view.config, &view.hosts);
                self.handle(MemberEvent::Config(view.config.clone()));
                self.handle(MemberEvent::Hosts(view.hosts.clone()));
            }
            view.changed().await;
        }
    }

    async fn run(self: Arc<Self>) {
        loop {
            if let Some(gap) = self.gate.tick(self.context.clock.now()) {
                info!("event=pause_detected gap_ms={}", gap.as_millis());
                self.state.lock().board.forget_reports();
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
                MemberAction::Probe { upstream, peer, asked } => {
                    self.context.spawn_control(self.clone().probe(upstream, peer, asked));
                }
                MemberAction::Changed => {}
                MemberAction::Report(report) => self.log(now, &report),
            }
        }
    }

    fn set_agents(&self, views: Vec<AgentView>) {
        let mut agents = self.lock();
        let mut held = std::mem::take(&mut *agents);
        for view in views {
            let known = held.remove(&view.upstream).filter(|agent| agent.peer == view.peer);
            let mut agent = known.unwrap_or_else(|| KnownAgent::new(view.clone()));
            agent.leaving = view.leaving;
            agent.health = view.health;
            agents.insert(view.upstream, agent);
        }
    }

    fn log(&self, now: Instant, report: &MemberReport) {
        match report {
            MemberReport::Health { upstream, health } => {
                warn!("event=agent_health upstream={upstream} health={health:?}");
                let mut state = self.state.lock();
                if *health == AgentHealth::Suspect
                    && let Some(incarnation) = state.board.incarnation(upstream)
                {
                    state.board.record_failure(now, upstream, incarnation);
                }
            }
            MemberReport::IncarnationChanged { upstream, previous } => {
                warn!("event=agent_restarted upstream={upstream} previous={previous}");
            }
            MemberReport::Paused { gap } => info!("event=probes_reset gap_ms={}", gap.as_millis()),
        }
    }

    async fn probe(self: Arc<Self>, upstream: UpstreamId, peer: SocketAddr, asked: Instant) {
        let request = Payload::StatusRequest(StatusRequest {});
        let answer = self.pool.call(peer, request, PROBE_TIMEOUT).await;
        let refused = matches!(answer, Err(PeerError::Connect { .. }));
        let Ok(Payload::StatusReply(status)) = answer else {
            self.count_failure(&upstream, peer);
            self.handle(MemberEvent::ProbeFailed { peer, asked, refused });
            return;
        };
        let answer = ProbeAnswer {
            upstream: status.upstream.as_str().into(),
            incarnation: status.incarnation,
            draining: status.draining,
        };
        if answer.upstream == upstream {
            let mut state = self.state.lock();
            let received_at = self.context.clock.now();
            let report = report_of(&status);
            if state.board.record_report(asked, received_at, &upstream, report) {
                state.prefixes.forget(&upstream);
            }
            drop(state);
            if let Some(agent) = self.lock().get_mut(&upstream).filter(|agent| agent.peer == peer) {
                agent.failures = 0;
                agent.status = Some(status);
            }
        }
        self.handle(MemberEvent::ProbeAnswered { peer, asked, answer });
    }

    fn count_failure(&self, upstream: &str, peer: SocketAddr) {
        let lost = {
            let mut agents = self.lock();
            let Some(agent) = agents.get_mut(upstream).filter(|agent| agent.peer == peer) else {
                return;
            };
            agent.failures = agent.failures.saturating_add(1);
            agent.status = None;
            agent.failures == LOST_AFTER
        };
        if lost {
            info!("event=agent_lost upstream={upstream} peer={peer}");
            self.pool.forget(peer);
            self.losses.send_modify(|count| *count += 1);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<UpstreamId, KnownAgent>> {
        self.agents.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
