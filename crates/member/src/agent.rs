//! What an entry knows of one agent.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::{DataCentreId, HostId, Incarnation, UpstreamId};
use config::{HostRecord, HostState};
use rand::{Rng, RngExt};

/// Interval of probes to an agent that answers; half of them fit in the bound of 3 s for a leaving upstream.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest interval of probes to an agent that does not answer.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(8);
/// Time over which the first probes after a pause are spread.
const REFRESH_SPREAD: Duration = Duration::from_millis(200);
/// Share by which an interval varies, so that probes of many entries do not fall into step.
const PROBE_JITTER: f64 = 0.1;
/// A probe without answer counts as missed after this time, even if the shell does not report it.
const PROBE_DEADLINE: Duration = Duration::from_secs(1);
/// Probes missed in a row after which an agent is suspect; one miss may be a lost packet.
const MISSES_TO_SUSPECT: u32 = 2;
/// Probes missed in a row after which probes back off. Until then they keep their interval, so that a dead agent is
/// told from a busy one soon.
const MISSES_TO_BACK_OFF: u32 = 3;
/// Age of the last answer up to which an agent gets new work.
const STALE_AFTER: Duration = Duration::from_secs(2);
/// Delay of the probe that follows a failed connection.
const RECHECK_DELAY: Duration = Duration::from_millis(100);

/// Health of an agent in the eyes of this entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AgentHealth {
    /// Nothing is known since the start, the pause or the change of address.
    Unknown,
    /// The last probe was answered.
    Up,
    /// It did not answer, or connections to it fail.
    Suspect,
}

/// State of one agent for the choice of upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AgentView {
    /// Upstream beside the agent.
    pub upstream: UpstreamId,
    /// Its host.
    pub host: HostId,
    /// Data centre of its host.
    pub data_centre: DataCentreId,
    /// Address for frames.
    pub peer: SocketAddr,
    /// Health as this entry observed it.
    pub health: AgentHealth,
    /// True if the host list says that the host leaves.
    pub leaving: bool,
    /// True if the agent itself says that it takes no new work.
    pub draining: bool,
    /// Incarnation that answered last.
    pub incarnation: Option<Incarnation>,
    /// True if the agent may get new work.
    pub usable: bool,
}

pub(crate) struct AgentState {
    pub(crate) upstream: UpstreamId,
    pub(crate) host: HostId,
    pub(crate) data_centre: DataCentreId,
    pub(crate) peer: SocketAddr,
    leaving: bool,
    health: AgentHealth,
    draining: bool,
    incarnation: Option<Incarnation>,
    last_answer: Option<Instant>,
    misses: u32,
    probed: Option<Instant>,
    noted_usable: bool,
    next_probe: Instant,
}

impl AgentState {
    /// A newly known agent; its first probe falls at a random point of one interval.
    pub(crate) fn new(
        record: &HostRecord,
        upstream: UpstreamId,
        now: Instant,
        rng: &mut dyn Rng,
    ) -> Self {
        Self {
            upstream,
            host: record.id.clone(),
            data_centre: record.data_centre.clone(),
            peer: record.peer,
            leaving: record.state == HostState::Leaving,
            health: AgentHealth::Unknown,
            draining: false,
            incarnation: None,
            last_answer: None,
            misses: 0,
            probed: None,
            noted_usable: false,
            next_probe: now + PROBE_INTERVAL.mul_f64(rng.random_range(0.0..1.0)),
        }
    }

    pub(crate) fn view(&self, now: Instant) -> AgentView {
        AgentView {
            upstream: self.upstream.clone(),
            host: self.host.clone(),
            data_centre: self.data_centre.clone(),
            peer: self.peer,
            health: self.health,
            leaving: self.leaving,
            draining: self.draining,
            incarnation: self.incarnation,
            usable: self.is_usable(now),
        }
    }

    pub(crate) fn health(&self) -> AgentHealth {
        self.health
    }

    /// True if the agent may get new work.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        let current = self
            .last_answer
            .is_some_and(|answer| now.saturating_duration_since(answer) <= STALE_AFTER);
        self.health == AgentHealth::Up && current && !self.leaving && !self.draining
    }

    /// True if the agent became usable or unusable since the last call.
    pub(crate) fn note_usable(&mut self, now: Instant) -> bool {
        let usable = self.is_usable(now);
        std::mem::replace(&mut self.noted_usable, usable) != usable
    }

    /// Takes over what the host list says about the same host at the same address.
    pub(crate) fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Forgets what was observed before a pause; answers to earlier probes no longer count.
    pub(crate) fn forget(&mut self, now: Instant, rng: &mut dyn Rng) {
        self.health = AgentHealth::Unknown;
        self.last_answer = None;
        self.misses = 0;
        self.probed = None;
        self.next_probe = now + REFRESH_SPREAD.mul_f64(rng.random_range(0.0..1.0));
    }

    pub(crate) fn probe_due(&self, now: Instant) -> bool {
        self.probed.is_none() && now >= self.next_probe
    }

    pub(crate) fn start_probe(&mut self, now: Instant) {
        self.probed = Some(now);
    }

    /// True if `asked` names the probe in flight.
    pub(crate) fn awaits(&self, asked: Instant) -> bool {
        self.probed == Some(asked)
    }

    /// Counts a probe as missed whose answer is overdue.
    pub(crate) fn expire_probe(&mut self, now: Instant, rng: &mut dyn Rng) {
        let overdue = |probed: Instant| now.saturating_duration_since(probed) >= PROBE_DEADLINE;
        if self.probed.is_some_and(overdue) {
            self.probe_failed(now, false, rng);
        }
    }

    /// Records an answer; returns the previous incarnation if it changed.
    pub(crate) fn probe_answered(
        &mut self,
        now: Instant,
        incarnation: Incarnation,
        draining: bool,
        rng: &mut dyn Rng,
    ) -> Option<Incarnation> {
        let asked = self.probed.take().unwrap_or(now);
        self.misses = 0;
        self.health = AgentHealth::Up;
        self.draining = draining;
        self.last_answer = Some(now);
        self.next_probe = asked + regular_interval(rng);
        self.incarnation.replace(incarnation).filter(|previous| *previous != incarnation)
    }

    /// Records a probe without answer. A refused connection is certain; silence has to repeat.
    pub(crate) fn probe_failed(&mut self, now: Instant, refused: bool, rng: &mut dyn Rng) {
        let asked = self.probed.take().unwrap_or(now);
        self.misses += 1;
        if refused || self.misses >= MISSES_TO_SUSPECT {
            self.health = AgentHealth::Suspect;
        }
        self.next_probe = match self.misses.saturating_sub(MISSES_TO_BACK_OFF) {
            0 => asked + regular_interval(rng),
            doublings => {
                let doubled = PROBE_INTERVAL * 2_u32.pow(doublings.min(5));
                now + doubled.min(MAX_PROBE_INTERVAL).mul_f64(rng.random_range(0.5..=1.0))
            }
        };
    }

    /// Records that a connection for a request failed at `at`, unless the agent has answered since.
    pub(crate) fn connect_failed(&mut self, at: Instant, rng: &mut dyn Rng) {
        if self.last_answer.is_some_and(|answer| answer > at) {
            return;
        }
        if self.health != AgentHealth::Suspect {
            self.next_probe =
                self.next_probe.min(at + RECHECK_DELAY.mul_f64(rng.random_range(0.5..=1.5)));
        }
        self.health = AgentHealth::Suspect;
    }

    /// Brings the next probe of a suspect agent forward, because another agent of its data centre has returned.
    pub(crate) fn recheck(&mut self, now: Instant, rng: &mut dyn Rng) {
        if self.health == AgentHealth::Suspect {
            let soon = now + PROBE_INTERVAL.mul_f64(rng.random_range(0.0..=2.0));
            self.next_probe = self.next_probe.min(soon);
        }
    }
}

fn regular_interval(rng: &mut dyn Rng) -> Duration {
    PROBE_INTERVAL.mul_f64(rng.random_range(1.0 - PROBE_JITTER..=1.0 + PROBE_JITTER))
}
