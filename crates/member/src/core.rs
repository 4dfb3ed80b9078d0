//! The state machine of membership.

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

/// A longer gap between two ticks means that the process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);
/// Probes a second for each agent of the subset, above the regular rate of 2 to leave room for rechecks. This bounds
/// the probes when many agents fail, return or become known at once.
const MAX_PROBES_PER_AGENT_S: f64 = 2.5;
/// Probes that may be sent at once, as a share of the subset.
const PROBE_BURST: f64 = 0.25;

/// Identity of this entry and the size of its subset.
#[derive(Clone, Debug)]
pub struct MemberOptions {
    /// Id of this host.
    pub host: HostId,
    /// Agents to probe; see [`choose_subset`].
    pub subset: usize,
}

/// What an agent says about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProbeAnswer {
    /// Upstream beside the agent.
    pub upstream: UpstreamId,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// True if it takes no new work.
    pub draining: bool,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum MemberEvent {
    /// Time passed; expected several times a second.
    Tick,
    /// A host list is in force.
    Hosts(Arc<HostList>),
    /// A configuration is in force.
    Config(Arc<FleetConfig>),
    /// A probe was answered.
    ProbeAnswered {
        /// Address that was probed.
        peer: SocketAddr,
        /// When the probe was sent, as the action said.
        asked: Instant,
        /// The answer.
        answer: ProbeAnswer,
    },
    /// A probe was not answered.
    ProbeFailed {
        /// Address that was probed.
        peer: SocketAddr,
        /// When the probe was sent, as the action said.
        asked: Instant,
        /// True if the connection was refused.
        refused: bool,
    },
    /// A connection for a request failed.
    ConnectFailed {
        /// Address of the agent.
        peer: SocketAddr,
        /// When it failed.
        at: Instant,
    },
}

/// What the shell has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberAction {
    /// Probe an agent and report the answer.
    Probe {
        /// Upstream beside it.
        upstream: UpstreamId,
        /// Address for frames.
        peer: SocketAddr,
        /// Has to be passed back with the answer.
        asked: Instant,
    },
    /// The state of agents changed; publish [`MemberCore::agents`].
    Changed,
    /// Log an event.
    Report(MemberReport),
}

/// An event for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberReport {
    /// An agent became suspect or answers again.
    Health {
        /// Upstream beside it.
        upstream: UpstreamId,
        /// New health.
        health: AgentHealth,
    },
    /// Another incarnation of an agent answers; what the previous one held is lost.
    IncarnationChanged {
        /// Upstream beside it.
        upstream: UpstreamId,
        /// Previous incarnation.
        previous: Incarnation,
    },
    /// The process was paused; every observation is stale.
    Paused {
        /// Time since the last tick.
        gap: Duration,
    },
}

/// Membership as one entry sees it.
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
    /// Creates the core of an entry that knows no agent.
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

    /// The agents of the subset.
    #[must_use]
    pub fn agents(&self, now: Instant) -> Vec<AgentView> {
        self.agents.values().map(|agent| agent.view(now)).collect()
    }

    /// Share of the subset that is suspect. A high share points to this entry's own network.
    #[must_use]
    pub fn suspect_share(&self) -> f64 {
        let suspect =
            self.agents.values().filter(|agent| agent.health() == AgentHealth::Suspect).count();
        suspect as f64 / self.agents.len().max(1) as f64
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Instant, event: MemberEvent) -> Vec<MemberAction> {
        self.detect_pause(now);
        match event {
            MemberEvent::Tick => self.tick(now),
            MemberEvent::Hosts(hosts) if hosts.version > self.hosts.version => {
                self.hosts = hosts;
                self.choose_agents(now);
            }
            MemberEvent::Hosts(_) => {}
            MemberEvent::Config(config) => self.set_config(now, config),
            MemberEvent::ProbeAnswered { peer, asked, answer } => {
                self.probe_answered(now, peer, asked, &answer);
            }
            MemberEvent::ProbeFailed { peer, asked, refused } => {
                self.observe(peer, Some(asked), |agent, rng| agent.probe_failed(now, refused, rng));
            }
            MemberEvent::ConnectFailed { peer, at } => {
                self.observe(peer, None, |agent, rng| agent.connect_failed(at, rng));
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
            agent.forget(now, &mut *self.rng);
        }
        self.actions.push(MemberAction::Report(MemberReport::Paused { gap }));
    }

    fn tick(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.last_tick).as_secs_f64();
        self.last_tick = now;
        let count = self.agents.len() as f64;
        let burst = (count * PROBE_BURST).max(1.0);
        let earned = elapsed * MAX_PROBES_PER_AGENT_S * count;
        self.probe_tokens = (self.probe_tokens + earned).min(burst);
        let mut due: Vec<_> = Vec::new();
        for agent in self.agents.values_mut() {
            let before = agent.health();
            agent.expire_probe(now, &mut *self.rng);
            self.actions.extend(health_report(before, agent));
            if agent.probe_due(now) {
                due.push(agent);
            }
        }
        // Agents that answered last come first: what is in use must not wait for what is probably gone.
        due.sort_by_key(|agent| agent.health() == AgentHealth::Suspect);
        for agent in due {
            if self.probe_tokens < 1.0 {
                break;
            }
            self.probe_tokens -= 1.0;
            agent.start_probe(now);
            let (upstream, peer) = (agent.upstream.clone(), agent.peer);
            self.actions.push(MemberAction::Probe { upstream, peer, asked: now });
        }
    }

    fn set_config(&mut self, now: Instant, config: Arc<FleetConfig>) {
        let same = self.config.as_ref().is_some_and(|held| {
            held.upstreams == config.upstreams
                && held.services == config.services
                && held.data_centres == config.data_centres
                && held.preset_rule() == config.preset_rule()
        });
        if !same {
            self.groups = agent_groups(&config);
            self.config = Some(config);
            self.choose_agents(now);
        }
    }

    fn choose_agents(&mut self, now: Instant) {
        let hosts = self.hosts.clone();
        // A host that leaves may still be listed beside the one that replaces it.
        let mut records: BTreeMap<UpstreamId, &HostRecord> = BTreeMap::new();
        for record in hosts.agents() {
            let Some(upstream) = &record.upstream else { continue };
            let known = records.get(upstream);
            if known.is_none_or(|known| known.state == HostState::Leaving) {
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
            let held = self.agents.get_mut(&upstream);
            let held = held.filter(|held| held.host == record.id && held.peer == record.peer);
            match held {
                Some(agent) => agent.set_leaving(record.state == HostState::Leaving),
                None => {
                    let agent = AgentState::new(record, upstream.clone(), now, &mut *self.rng);
                    self.agents.insert(upstream, agent);
                }
            }
        }
        self.actions.push(MemberAction::Changed);
    }

    fn probe_answered(
        &mut self,
        now: Instant,
        peer: SocketAddr,
        asked: Instant,
        answer: &ProbeAnswer,
    ) {
        let mut returned: Option<DataCentreId> = None;
        let mut changed = None;
        self.observe(peer, Some(asked), |agent, rng| {
            // The address may meanwhile belong to another agent.
            if agent.upstream != answer.upstream {
                agent.probe_failed(now, true, rng);
                return;
            }
            if agent.health() == AgentHealth::Suspect {
                returned = Some(agent.data_centre.clone());
            }
            changed = agent.probe_answered(now, answer.incarnation, answer.draining, rng);
        });
        if let Some(previous) = changed {
            let upstream = answer.upstream.clone();
            let report = MemberReport::IncarnationChanged { upstream, previous };
            self.actions.extend([MemberAction::Report(report), MemberAction::Changed]);
        }
        if let Some(centre) = returned {
            for agent in self.agents.values_mut().filter(|agent| agent.data_centre == centre) {
                agent.recheck(now, &mut *self.rng);
            }
        }
    }

    /// Applies an observation to the agent at `peer`; late answers to forgotten probes are ignored.
    fn observe(
        &mut self,
        peer: SocketAddr,
        asked: Option<Instant>,
        observation: impl FnOnce(&mut AgentState, &mut dyn Rng),
    ) {
        let agent = self.agents.values_mut().find(|agent| agent.peer == peer);
        let Some(agent) = agent.filter(|agent| asked.is_none_or(|asked| agent.awaits(asked)))
        else {
            return;
        };
        let before = agent.health();
        observation(agent, &mut *self.rng);
        self.actions.extend(health_report(before, agent));
    }

    fn publish_changes(&mut self, now: Instant) {
        let mut changed = false;
        for agent in self.agents.values_mut() {
            changed |= agent.note_usable(now);
        }
        if changed && !self.actions.contains(&MemberAction::Changed) {
            self.actions.push(MemberAction::Changed);
        }
    }
}

/// Reports that an agent became suspect or returned; the first answer of a new agent is no event.
fn health_report(before: AgentHealth, agent: &AgentState) -> Option<MemberAction> {
    let health = agent.health();
    let relevant = before != health && (before, health) != (AgentHealth::Unknown, AgentHealth::Up);
    let upstream = agent.upstream.clone();
    relevant.then_some(MemberAction::Report(MemberReport::Health { upstream, health }))
}
