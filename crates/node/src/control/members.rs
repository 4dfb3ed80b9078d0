//! Drives the membership core of an entry on the control thread and carries out its probes.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use base::UpstreamId;
use config::EntrySettings;
use log::info;
use member::{
    AgentHealth, AgentView, MemberAction, MemberCore, MemberEvent, MemberOptions, MemberReport,
    ProbeAnswer,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::{sync::watch, time::MissedTickBehavior};
use wire::{FleetKey, Payload, StatusReply, StatusRequest};

use crate::{
    context::NodeContext,
    peer::{PeerError, PeerPool},
    view::ViewReader,
};

const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Resolution of the probe schedule.
const TICK: Duration = Duration::from_millis(50);

/// Part of an entry that wants to know what probes found.
pub trait ProbeObserver: Send + Sync {
    /// An agent was probed; `status` is `None` if it did not answer.
    fn probed(
        &self,
        upstream: &str,
        asked_at: Instant,
        received_at: Instant,
        status: Option<&StatusReply>,
    );

    /// Time passed; called several times a second.
    fn tick(&self, now: Instant);
}

/// The agents that an entry probes.
pub struct MemberTable {
    context: NodeContext,
    pool: Arc<PeerPool>,
    observer: Arc<dyn ProbeObserver>,
    state: Mutex<MemberState>,
    /// Changes when an agent may have become lost.
    changes: watch::Sender<u64>,
}

struct MemberState {
    core: MemberCore,
    statuses: HashMap<UpstreamId, StatusReply>,
}

impl MemberState {
    /// Drops the statuses of agents that are no longer probed.
    fn forget_unknown(&mut self) {
        let Self { core, statuses } = self;
        statuses.retain(|upstream, _| core.knows(upstream));
    }
}

impl MemberTable {
    /// Starts probing.
    #[must_use]
    pub fn spawn(
        context: &NodeContext,
        settings: &EntrySettings,
        view: ViewReader,
        observer: Arc<dyn ProbeObserver>,
    ) -> Arc<Self> {
        let host = settings.common.host.clone();
        let options = MemberOptions { host: host.clone(), subset: settings.subset };
        let rng = Box::new(ChaCha8Rng::seed_from_u64(context.incarnation));
        let core = MemberCore::new(options, rng, context.clock.now());
        let table = Arc::new(Self {
            context: context.clone(),
            // Probes run on the control thread and have channels of their own.
            pool: PeerPool::new(FleetKey::new(&settings.common.fleet_key), host),
            observer,
            state: Mutex::new(MemberState { core, statuses: HashMap::new() }),
            changes: watch::Sender::new(0),
        });
        context.spawn_control(table.clone().run(view));
        table
    }

    /// The agents as this entry sees them.
    #[must_use]
    pub fn agents(&self) -> Vec<AgentView> {
        self.lock().core.agents(self.context.clock.now())
    }

    /// The agents with their latest status; `None` if the last probe failed.
    #[must_use]
    pub fn statuses(&self) -> Vec<(AgentView, Option<StatusReply>)> {
        let state = self.lock();
        let agents = state.core.agents(self.context.clock.now()).into_iter();
        agents
            .map(|agent| {
                let status = state.statuses.get(&agent.upstream).cloned();
                (agent, status)
            })
            .collect()
    }

    /// True once every agent has been probed.
    #[must_use]
    pub fn is_probed(&self) -> bool {
        let probed = |agent: &AgentView| agent.health != AgentHealth::Unknown || agent.misses > 0;
        self.agents().iter().all(probed)
    }

    /// The agent beside `upstream`, if it is probed.
    #[must_use]
    pub fn agent(&self, upstream: &str) -> Option<AgentView> {
        self.lock().core.agent(upstream, self.context.clock.now())
    }

    /// Waits until the agent beside `upstream` is lost.
    pub async fn lost(&self, upstream: &str) {
        let mut changes = self.changes.subscribe();
        loop {
            changes.borrow_and_update();
            if self.agent(upstream).is_some_and(|agent| agent.lost) {
                return;
            }
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Records that a connection for a request failed.
    pub fn connect_failed(self: &Arc<Self>, peer: SocketAddr) {
        let at = self.context.clock.now();
        self.feed(MemberEvent::ConnectFailed { peer, at });
    }

    async fn run(self: Arc<Self>, mut view: ViewReader) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    self.observer.tick(self.context.clock.now());
                    self.feed(MemberEvent::Tick);
                }
                () = view.changed() => {
                    let Some(view) = view.get() else { continue };
                    self.feed(MemberEvent::Config(view.config.clone()));
                    self.feed(MemberEvent::Hosts(view.hosts.clone()));
                    self.lock().forget_unknown();
                }
            }
        }
    }

    fn feed(self: &Arc<Self>, event: MemberEvent) {
        let now = self.context.clock.now();
        let actions = self.lock().core.handle(now, event);
        for action in actions {
            match action {
                MemberAction::Probe { upstream, peer, asked } => {
                    self.context.spawn_control(self.clone().probe(upstream, peer, asked));
                }
                MemberAction::Changed => self.changes.send_modify(|count| *count += 1),
                MemberAction::Report(report) => log_report(&report),
            }
        }
    }

    async fn probe(self: Arc<Self>, upstream: UpstreamId, peer: SocketAddr, asked: Instant) {
        let request = Payload::StatusRequest(StatusRequest {});
        let outcome = self.pool.call(peer, request, PROBE_TIMEOUT).await;
        let refused = matches!(outcome, Err(PeerError::Connect { .. }));
        let status = match outcome {
            Ok(Payload::StatusReply(status)) if status.upstream == upstream => Some(status),
            _ => None,
        };
        let received = self.context.clock.now();
        self.observer.probed(&upstream, asked, received, status.as_ref());
        let event = match &status {
            Some(status) => {
                let answer = ProbeAnswer {
                    upstream: upstream.clone(),
                    incarnation: status.incarnation,
                    draining: status.draining,
                };
                MemberEvent::ProbeAnswered { peer, asked, answer }
            }
            None => {
                self.pool.forget(peer);
                MemberEvent::ProbeFailed { peer, asked, refused }
            }
        };
        let missed = status.is_none();
        match status {
            Some(status) => drop(self.lock().statuses.insert(upstream, status)),
            None => drop(self.lock().statuses.remove(&upstream)),
        }
        self.feed(event);
        if missed {
            self.changes.send_modify(|count| *count += 1);
        }
    }

    fn lock(&self) -> MutexGuard<'_, MemberState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn log_report(report: &MemberReport) {
    match report {
        MemberReport::Health { upstream, health } => {
            info!("event=agent_health upstream={upstream} health={health:?}");
        }
        MemberReport::IncarnationChanged { upstream, previous } => {
            info!("event=agent_replaced upstream={upstream} previous={previous}");
        }
        MemberReport::Paused { gap } => info!("event=pause_detected gap_ms={}", gap.as_millis()),
    }
}
