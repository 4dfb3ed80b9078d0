//! State machine that tracks the health of the agents probed by one entry.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use base::{DataCentreId, HostId, Incarnation, UpstreamId};
use config::{FleetConfig, HostList, HostRecord, HostState};
use rand::Rng;

use crate::{
    agent::{AgentHealth, AgentState, AgentView},
    groups::{AgentGroup, agent_groups},
    subset::choose_subset,
};

/// Maximum gap between two ticks. A longer one means that the process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);
/// Maximum probes per second for each agent of the subset, on average. It exceeds the regular rate of 2 to leave room
/// for rechecks, and limits the probe traffic when many agents fail, recover or are discovered at once.
const MAX_PROBES_PER_AGENT_S: f64 = 2.5;
/// Maximum number of probes sent in one burst, as a fraction of the subset.
const PROBE_BURST: f64 = 0.25;

/// Identity of this entry and the size of its subset.
#[derive(Clone, Debug)]
pub struct MemberOptions {
    /// Host id of this entry, as it appears in the host list.
    pub host: HostId,
    /// Number of agents to probe; [`choose_subset`] may return up to twice as many.
    pub subset: usize,
}

/// Response of an agent to a probe.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProbeResponse {
    /// Upstream that the agent fronts.
    pub upstream: UpstreamId,
    /// Incarnation of the responding agent process.
    pub incarnation: Incarnation,
    /// True if the agent accepts no new work.
    pub draining: bool,
}

/// Input of [`MemberCore::handle`].
#[derive(Clone, Debug)]
pub enum MemberEvent {
    /// Timer tick, expected several times a second.
    Tick,
    /// A host list was received; ignored unless its version is higher than the current one.
    Hosts(Arc<HostList>),
    /// A configuration took effect.
    Config(Arc<FleetConfig>),
    /// An agent responded to a probe.
    ProbeSucceeded {
        /// Address that was probed.
        peer: SocketAddr,
        /// Time at which the probe was sent, copied from [`MemberAction::Probe`].
        sent_at: Instant,
        /// Response of the agent.
        response: ProbeResponse,
    },
    /// A probe failed or timed out.
    ProbeFailed {
        /// Address that was probed.
        peer: SocketAddr,
        /// Time at which the probe was sent, copied from [`MemberAction::Probe`].
        sent_at: Instant,
        /// True if the connection was refused.
        refused: bool,
    },
    /// A connection for a request failed.
    ConnectFailed {
        /// Address of the agent that could not be reached.
        peer: SocketAddr,
        /// Time of the failure.
        at: Instant,
    },
}

/// Output of [`MemberCore::handle`], to be carried out by the I/O layer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberAction {
    /// Probe an agent and report the outcome as a [`MemberEvent`].
    Probe {
        /// Upstream that the agent fronts.
        upstream: UpstreamId,
        /// Address on which the agent accepts frames.
        peer: SocketAddr,
        /// Time at which the probe is sent. It identifies the probe and has to be passed back with its outcome.
        sent_at: Instant,
    },
    /// The state of at least one agent changed; publish [`MemberCore::agents`] again.
    Changed,
    /// Log an event.
    Report(MemberReport),
}

/// An event for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberReport {
    /// An agent became suspect or recovered.
    Health {
        /// Upstream that the agent fronts.
        upstream: UpstreamId,
        /// New health of the agent.
        health: AgentHealth,
    },
    /// An agent restarted: a different incarnation responded. State held by the previous incarnation is lost.
    IncarnationChanged {
        /// Upstream that the agent fronts.
        upstream: UpstreamId,
        /// Incarnation that responded before the restart.
        previous: Incarnation,
    },
    /// The process was paused. All earlier observations are discarded as stale.
    Paused {
        /// Time since the last tick.
        gap: Duration,
    },
}

/// Tracks the agents in the subset of one entry.
pub struct MemberCore {
    options: MemberOptions,
    rng: Box<dyn Rng + Send>,
    hosts: Arc<HostList>,
    config: Option<Arc<FleetConfig>>,
    groups: Vec<AgentGroup>,
    agents: BTreeMap<UpstreamId, AgentState>,
    last_tick: Instant,
    probe_tokens: f64,
    actions: Vec<MemberAction>,
}

impl MemberCore {
    /// Creates a core without agents. Agents are added once a configuration and a host list have been handled.
    #[must_use]
    pub fn new(options: MemberOptions, rng: Box<dyn Rng + Send>, now: Instant) -> Self {
        Self {
            options,
            rng,
            hosts: Arc::default(),
            config: None,
            groups: Vec::new(),
            agents: BTreeMap::new(),
            last_tick: now,
            probe_tokens: 0.0,
            actions: Vec::new(),
        }
    }

    /// Returns the current state of every agent in the subset.
    #[must_use]
    pub fn agents(&self, now: Instant) -> Vec<AgentView> {
        self.agents.values().map(|agent| agent.view(now)).collect()
    }

    /// Returns the fraction of the subset that is suspect. A high value points to a fault of this entry's own network.
    #[must_use]
    pub fn suspect_share(&self) -> f64 {
        let suspect =
            self.agents.values().filter(|agent| agent.health() == AgentHealth::Suspect).count();
        suspect as f64 / self.agents.len().max(1) as f64
    }

    /// Processes an event and returns the actions that result from it, in the order in which to carry them out.
    pub fn handle(&mut self, now: Instant, event: MemberEvent) -> Vec<MemberAction> {
        self.detect_pause(now);
        match event {
            MemberEvent::Tick => self.tick(now),
            MemberEvent::Hosts(hosts) if hosts.version > self.hosts.version => {
                self.hosts = hosts;
                self.update_agents(now);
            }
            MemberEvent::Hosts(_) => {}
            MemberEvent::Config(config) => self.set_config(now, config),
            MemberEvent::ProbeSucceeded { peer, sent_at, response } => {
                self.probe_succeeded(now, peer, sent_at, &response);
            }
            MemberEvent::ProbeFailed { peer, sent_at, refused } => {
                self.apply(peer, Some(sent_at), |agent, rng| agent.probe_failed(now, refused, rng));
            }
            MemberEvent::ConnectFailed { peer, at } => {
                self.apply(peer, None, |agent, rng| agent.connect_failed(at, rng));
            }
        }
        self.publish_changes(now);
        std::mem::take(&mut self.actions)
    }

    fn detect_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick);
        if gap <= PAUSE_THRESHOLD {
            return;
        }
        self.last_tick = now;
        for agent in self.agents.values_mut() {
            agent.reset(now, &mut *self.rng);
        }
        self.actions.push(MemberAction::Report(MemberReport::Paused { gap }));
    }

    fn tick(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.last_tick).as_secs_f64();
        self.last_tick = now;
        let count = self.agents.len() as f64;
        let burst = (count * PROBE_BURST).max(1.0);
        let refill = elapsed * MAX_PROBES_PER_AGENT_S * count;
        self.probe_tokens = (self.probe_tokens + refill).min(burst);
        let mut due: Vec<_> = Vec::new();
        for agent in self.agents.values_mut() {
            let previous = agent.health();
            agent.expire_probe(now, &mut *self.rng);
            self.actions.extend(health_report(previous, agent));
            if agent.probe_due(now) {
                due.push(agent);
            }
        }
        // Suspect agents are probed last: they are probably gone and must not delay probes of agents in use.
        due.sort_by_key(|agent| agent.health() == AgentHealth::Suspect);
        for agent in due {
            if self.probe_tokens < 1.0 {
                break;
            }
            self.probe_tokens -= 1.0;
            agent.start_probe(now);
            let (upstream, peer) = (agent.upstream.clone(), agent.peer);
            self.actions.push(MemberAction::Probe { upstream, peer, sent_at: now });
        }
    }

    fn set_config(&mut self, now: Instant, config: Arc<FleetConfig>) {
        let is_unchanged = self.config.as_ref().is_some_and(|current| {
            current.upstreams == config.upstreams
                && current.services == config.services
                && current.data_centres == config.data_centres
                && current.preset_rule() == config.preset_rule()
        });
        if !is_unchanged {
            self.groups = agent_groups(&config);
            self.config = Some(config);
            self.update_agents(now);
        }
    }

    fn update_agents(&mut self, now: Instant) {
        let hosts = self.hosts.clone();
        // A leaving host may still be listed together with its replacement, which takes precedence.
        let mut records: BTreeMap<UpstreamId, &HostRecord> = BTreeMap::new();
        for record in hosts.agents() {
            let Some(upstream) = &record.upstream else { continue };
            let previous = records.get(upstream);
            if previous.is_none_or(|previous| previous.state == HostState::Leaving) {
                records.insert(upstream.clone(), record);
            }
        }
        let entries: Vec<_> = hosts.entries().map(|record| record.id.as_str()).collect();
        let listed = records.keys().cloned().collect();
        let (own, subset) = (&self.options.host, self.options.subset);
        let chosen = choose_subset(own, &entries, &listed, &self.groups, subset);
        self.agents.retain(|upstream, _| chosen.contains(upstream));
        for upstream in chosen {
            let record = records[&upstream];
            let existing = self.agents.get_mut(&upstream);
            let existing =
                existing.filter(|agent| agent.host == record.id && agent.peer == record.peer);
            match existing {
                Some(agent) => agent.set_leaving(record.state == HostState::Leaving),
                None => {
                    let agent = AgentState::new(record, upstream.clone(), now, &mut *self.rng);
                    self.agents.insert(upstream, agent);
                }
            }
        }
        self.actions.push(MemberAction::Changed);
    }

    fn probe_succeeded(
        &mut self,
        now: Instant,
        peer: SocketAddr,
        sent_at: Instant,
        response: &ProbeResponse,
    ) {
        let mut recovered_in: Option<DataCentreId> = None;
        let mut previous_incarnation = None;
        self.apply(peer, Some(sent_at), |agent, rng| {
            // The address may have been reassigned to another agent.
            if agent.upstream != response.upstream {
                agent.probe_failed(now, true, rng);
                return;
            }
            if agent.health() == AgentHealth::Suspect {
                recovered_in = Some(agent.data_centre.clone());
            }
            previous_incarnation =
                agent.probe_succeeded(now, response.incarnation, response.draining, rng);
        });
        if let Some(previous) = previous_incarnation {
            let upstream = response.upstream.clone();
            let report = MemberReport::IncarnationChanged { upstream, previous };
            self.actions.extend([MemberAction::Report(report), MemberAction::Changed]);
        }
        if let Some(data_centre) = recovered_in {
            for agent in self.agents.values_mut().filter(|agent| agent.data_centre == data_centre) {
                agent.recheck(now, &mut *self.rng);
            }
        }
    }

    /// Applies an observation to the agent at `peer`, unless it belongs to a probe that is no longer in flight.
    fn apply(
        &mut self,
        peer: SocketAddr,
        sent_at: Option<Instant>,
        observation: impl FnOnce(&mut AgentState, &mut dyn Rng),
    ) {
        let agent = self.agents.values_mut().find(|agent| agent.peer == peer);
        let Some(agent) =
            agent.filter(|agent| sent_at.is_none_or(|sent_at| agent.is_probe_pending(sent_at)))
        else {
            return;
        };
        let previous = agent.health();
        observation(agent, &mut *self.rng);
        self.actions.extend(health_report(previous, agent));
    }

    fn publish_changes(&mut self, now: Instant) {
        let mut changed = false;
        for agent in self.agents.values_mut() {
            changed |= agent.update_usable(now);
        }
        if changed && !self.actions.contains(&MemberAction::Changed) {
            self.actions.push(MemberAction::Changed);
        }
    }
}

/// Returns a report if the health of an agent differs from `previous`. The first response of a new agent is not
/// reported.
fn health_report(previous: AgentHealth, agent: &AgentState) -> Option<MemberAction> {
    let health = agent.health();
    let is_reported =
        previous != health && (previous, health) != (AgentHealth::Unknown, AgentHealth::Up);
    let upstream = agent.upstream.clone();
    is_reported.then_some(MemberAction::Report(MemberReport::Health { upstream, health }))
}
