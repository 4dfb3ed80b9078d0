//! Probes agents about twice a second and keeps what they answer.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use base::{DataCentreId, UpstreamId, rendezvous_weight};
use config::{EntrySettings, HostRecord, HostState};
use log::info;
use rand::RngExt;
use serde_json::{Value, json};
use tokio::sync::watch;
use wire::{Payload, StatusReply, StatusRequest};

use super::{
    gate::PauseGate,
    state::{SharedState, report_of},
};
use crate::{
    context::NodeContext,
    peer::PeerPool,
    view::{FleetView, ViewReader},
};

const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Resolution of the probe schedule.
const PROBE_TICK: Duration = Duration::from_millis(50);
/// Longest delay between probes of an agent that does not answer.
const MAX_PROBE_BACKOFF: Duration = Duration::from_secs(4);
/// Probes are spread over this fraction of their interval, so that entries do not probe an agent in step.
const PROBE_JITTER: f64 = 0.1;
/// Missed probes after which requests that wait for the agent give up. One missed probe only stops new work, because a
/// busy host may answer late.
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
    failures: u32,
    due: Instant,
    probing: bool,
}

impl KnownAgent {
    fn new(upstream: UpstreamId, host: &HostRecord, now: Instant) -> Self {
        Self {
            upstream,
            data_centre: host.data_centre.clone(),
            peer: host.peer,
            leaving: host.state == HostState::Leaving,
            status: None,
            failures: 0,
            due: now,
            probing: false,
        }
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
    context: NodeContext,
    settings: EntrySettings,
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
        let table = Arc::new(Self {
            context: context.clone(),
            settings: settings.clone(),
            state,
            gate,
            pool,
            agents: Mutex::default(),
            losses: watch::Sender::new(0),
        });
        context.spawn_control(table.clone().follow_view(view.clone()));
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

    async fn follow_view(self: Arc<Self>, mut view: ViewReader) {
        loop {
            if let Some(view) = view.get() {
                self.state.lock().board.set_fleet(&view.config, &view.hosts);
                self.set_hosts(&view);
            }
            view.changed().await;
        }
    }

    fn set_hosts(&self, view: &FleetView) {
        let now = self.context.clock.now();
        let mut hosts: Vec<_> =
            view.hosts.agents().filter_map(|host| Some((host.upstream.clone()?, host))).collect();
        if hosts.len() > self.settings.subset {
            let subject = self.settings.common.host.as_bytes();
            hosts.sort_by_cached_key(|(upstream, _)| {
                std::cmp::Reverse(rendezvous_weight(subject, upstream))
            });
            hosts.truncate(self.settings.subset);
        }
        let mut agents = self.lock();
        let wanted: HashSet<_> = hosts.iter().map(|(upstream, _)| upstream.clone()).collect();
        agents.retain(|upstream, _| wanted.contains(upstream));
        for (upstream, host) in hosts {
            let agent = agents
                .entry(upstream.clone())
                .or_insert_with(|| KnownAgent::new(upstream.clone(), host, now));
            if agent.peer != host.peer {
                *agent = KnownAgent::new(upstream, host, now);
            }
            agent.data_centre.clone_from(&host.data_centre);
            agent.leaving = host.state == HostState::Leaving;
        }
    }

    async fn run(self: Arc<Self>) {
        loop {
            let now = self.context.clock.now();
            if let Some(gap) = self.gate.tick(now) {
                info!("event=pause_detected gap_ms={}", gap.as_millis());
                self.state.lock().board.forget_reports();
                self.lock().values_mut().for_each(|agent| agent.due = now);
            }
            for (upstream, peer) in self.take_due(now) {
                self.context.spawn_control(self.clone().probe(upstream, peer));
            }
            tokio::time::sleep(PROBE_TICK).await;
        }
    }

    fn take_due(&self, now: Instant) -> Vec<(UpstreamId, SocketAddr)> {
        let mut agents = self.lock();
        let due = agents.values_mut().filter(|agent| !agent.probing && agent.due <= now);
        due.map(|agent| {
            agent.probing = true;
            (agent.upstream.clone(), agent.peer)
        })
        .collect()
    }

    async fn probe(self: Arc<Self>, upstream: UpstreamId, peer: SocketAddr) {
        let asked_at = self.context.clock.now();
        let request = Payload::StatusRequest(StatusRequest {});
        let status = match self.pool.call(peer, request, PROBE_TIMEOUT).await {
            Ok(Payload::StatusReply(status)) if status.upstream == upstream => Some(status),
            _ => None,
        };
        let received_at = self.context.clock.now();
        self.record(&upstream, asked_at, received_at, status.as_ref());
        let mut agents = self.lock();
        let Some(agent) = agents.get_mut(&upstream).filter(|agent| agent.peer == peer) else {
            return;
        };
        agent.failures = if status.is_some() { 0 } else { agent.failures.saturating_add(1) };
        agent.status = status;
        agent.probing = false;
        let doublings = agent.failures.saturating_sub(LOST_AFTER).min(8);
        let delay = (PROBE_INTERVAL * 2_u32.pow(doublings)).min(MAX_PROBE_BACKOFF);
        let jitter = rand::rng().random_range(1.0 - PROBE_JITTER..=1.0 + PROBE_JITTER);
        agent.due = asked_at + delay.mul_f64(jitter);
        let lost = agent.failures == LOST_AFTER;
        drop(agents);
        if lost {
            info!("event=agent_lost upstream={upstream} peer={peer}");
            self.pool.forget(peer);
            self.losses.send_modify(|count| *count += 1);
        }
    }

    fn record(
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

    fn lock(&self) -> MutexGuard<'_, HashMap<UpstreamId, KnownAgent>> {
        self.agents.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
