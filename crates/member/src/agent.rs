//! Health and probe schedule of a single agent, as observed by one entry.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::{DataCentreId, HostId, Incarnation, UpstreamId};
use config::{HostRecord, HostState};
use rand::{Rng, RngExt};

/// Interval between probes of a responsive agent. Six probes fit into the 3 s within which a leaving upstream must stop
/// receiving new work, so half of them may be lost.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum interval between probes of an unresponsive agent, reached by exponential backoff.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(8);
/// Window over which the first probes after a process pause are spread.
const RESUME_PROBE_SPREAD: Duration = Duration::from_millis(200);
/// Jitter applied to the probe interval, as a fraction, so that probes from many entries do not synchronise.
const PROBE_JITTER: f64 = 0.1;
/// Timeout after which a probe counts as missed, even if the I/O layer does not report its outcome.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Consecutive missed probes after which an agent is suspect. A single miss may be a lost packet.
const MISSES_TO_SUSPECT: u32 = 2;
/// Consecutive missed probes after which the probe interval backs off. Up to this number the interval is unchanged, so
/// that a dead agent is quickly distinguished from a busy one.
const MISSES_TO_BACK_OFF: u32 = 3;
/// Maximum age of the last response for an agent to be given new work.
const STALE_AFTER: Duration = Duration::from_secs(2);
/// Mean delay between a failed connection and the probe that rechecks the agent.
const RECHECK_DELAY: Duration = Duration::from_millis(100);

/// Health of an agent as observed by this entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AgentHealth {
    /// No conclusive observation since the process started or resumed from a pause, or the agent's address changed.
    Unknown,
    /// The agent responded to the last probe.
    Up,
    /// The agent missed probes, or a connection to it failed.
    Suspect,
}

/// Snapshot of an agent's state, used when choosing an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AgentView {
    /// Upstream that this agent fronts.
    pub upstream: UpstreamId,
    /// Host on which the agent runs.
    pub host: HostId,
    /// Data centre of that host.
    pub data_centre: DataCentreId,
    /// Address on which the agent accepts frames from other processes.
    pub peer: SocketAddr,
    /// Health as observed by this entry.
    pub health: AgentHealth,
    /// True if the host list marks the host as leaving.
    pub leaving: bool,
    /// True if the agent reported that it accepts no new work.
    pub draining: bool,
    /// Incarnation that responded last; `None` before the first response.
    pub incarnation: Option<Incarnation>,
    /// True if the agent may be given new work.
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
    last_response: Option<Instant>,
    missed_probes: u32,
    probe_sent_at: Option<Instant>,
    was_usable: bool,
    next_probe: Instant,
}

impl AgentState {
    /// Creates the state of a newly discovered agent. Its first probe is due at a random point within one interval.
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
            last_response: None,
            missed_probes: 0,
            probe_sent_at: None,
            was_usable: false,
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

    /// Returns true if the agent may be given new work.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        let is_fresh = self
            .last_response
            .is_some_and(|received_at| now.saturating_duration_since(received_at) <= STALE_AFTER);
        self.health == AgentHealth::Up && is_fresh && !self.leaving && !self.draining
    }

    /// Re-evaluates whether the agent is usable. Returns true if that changed since the last evaluation.
    pub(crate) fn update_usable(&mut self, now: Instant) -> bool {
        let usable = self.is_usable(now);
        std::mem::replace(&mut self.was_usable, usable) != usable
    }

    /// Updates the leaving state of the agent's host, whose id and address are unchanged.
    pub(crate) fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Discards observations made before a process pause. Responses to probes sent before it are ignored.
    pub(crate) fn reset(&mut self, now: Instant, rng: &mut dyn Rng) {
        self.health = AgentHealth::Unknown;
        self.last_response = None;
        self.missed_probes = 0;
        self.probe_sent_at = None;
        self.next_probe = now + RESUME_PROBE_SPREAD.mul_f64(rng.random_range(0.0..1.0));
    }

    pub(crate) fn probe_due(&self, now: Instant) -> bool {
        self.probe_sent_at.is_none() && now >= self.next_probe
    }

    pub(crate) fn start_probe(&mut self, now: Instant) {
        self.probe_sent_at = Some(now);
    }

    /// Returns true if the probe sent at `sent_at` is still in flight.
    pub(crate) fn is_probe_pending(&self, sent_at: Instant) -> bool {
        self.probe_sent_at == Some(sent_at)
    }

    /// Counts the probe in flight as missed if it has timed out.
    pub(crate) fn expire_probe(&mut self, now: Instant, rng: &mut dyn Rng) {
        let timed_out = |sent_at: Instant| now.saturating_duration_since(sent_at) >= PROBE_TIMEOUT;
        if self.probe_sent_at.is_some_and(timed_out) {
            self.probe_failed(now, false, rng);
        }
    }

    /// Records a response to a probe. Returns the previous incarnation if it changed.
    pub(crate) fn probe_succeeded(
        &mut self,
        now: Instant,
        incarnation: Incarnation,
        draining: bool,
        rng: &mut dyn Rng,
    ) -> Option<Incarnation> {
        let sent_at = self.probe_sent_at.take().unwrap_or(now);
        self.missed_probes = 0;
        self.health = AgentHealth::Up;
        self.draining = draining;
        self.last_response = Some(now);
        self.next_probe = sent_at + jittered_interval(rng);
        self.incarnation.replace(incarnation).filter(|previous| *previous != incarnation)
    }

    /// Records a failed probe. A refused connection makes the agent suspect at once, whereas a timeout has to repeat
    /// [`MISSES_TO_SUSPECT`] times.
    pub(crate) fn probe_failed(&mut self, now: Instant, refused: bool, rng: &mut dyn Rng) {
        let sent_at = self.probe_sent_at.take().unwrap_or(now);
        self.missed_probes += 1;
        if refused || self.missed_probes >= MISSES_TO_SUSPECT {
            self.health = AgentHealth::Suspect;
        }
        self.next_probe = match self.missed_probes.saturating_sub(MISSES_TO_BACK_OFF) {
            0 => sent_at + jittered_interval(rng),
            doublings => {
                let doubled = PROBE_INTERVAL * 2_u32.pow(doublings.min(5));
                now + doubled.min(MAX_PROBE_INTERVAL).mul_f64(rng.random_range(0.5..=1.0))
            }
        };
    }

    /// Records that a connection for a request failed at `at`. Ignored if the agent has responded to a probe since.
    pub(crate) fn connect_failed(&mut self, at: Instant, rng: &mut dyn Rng) {
        if self.last_response.is_some_and(|received_at| received_at > at) {
            return;
        }
        if self.health != AgentHealth::Suspect {
            self.next_probe =
                self.next_probe.min(at + RECHECK_DELAY.mul_f64(rng.random_range(0.5..=1.5)));
        }
        self.health = AgentHealth::Suspect;
    }

    /// Schedules the next probe of a suspect agent earlier, because another agent in its data centre has recovered.
    pub(crate) fn recheck(&mut self, now: Instant, rng: &mut dyn Rng) {
        if self.health == AgentHealth::Suspect {
            let soon = now + PROBE_INTERVAL.mul_f64(rng.random_range(0.0..=2.0));
            self.next_probe = self.next_probe.min(soon);
        }
    }
}

fn jittered_interval(rng: &mut dyn Rng) -> Duration {
    PROBE_INTERVAL.mul_f64(rng.random_range(1.0 - PROBE_JITTER..=1.0 + PROBE_JITTER))
}
