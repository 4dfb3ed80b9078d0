//! Decides when an agent may call the origin.
//!
//! While the origin is down, a call per agent and tenth of a second would amount to hundreds of failures a second, and
//! at its return the agents would share its link so that every response exceeds its timeout. All agents are therefore
//! ordered by a hash. The first few fetch from the origin; after a failure each of them probes at an interval that
//! doubles with its position, so that the rate of the whole fleet has a bound that does not depend on the number of
//! agents. No agent has to know which others are alive: if the first one in the order has failed, the probes of the next
//! ones remain. Differing lists of agents shift positions by a few, which changes the rate by a small factor.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

/// Mean interval between two probes of the first agent in the order. The doubled intervals together give 5 probes a
/// second; 350 ms gave up to 10 failed calls in the first second of simulated outages, in which all fetchers fail once.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Upper limit of the interval per agent of the fleet: the agents at the limit make at most two probes a second together.
const PROBE_INTERVAL_PER_AGENT: Duration = Duration::from_millis(500);
/// Range of the random factor of an interval, so that agents that fail together do not probe together.
const JITTER: std::ops::Range<f64> = 0.8..1.2;
/// Time without new chunks in the fleet after which the first agent behind the fetchers calls the origin. Up to ten
/// fetchers share an origin of 4.4 Mbit/s, on which their first chunks take 0.9 s.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1_000);
/// Further delay of each agent behind it: one additional call a second.
const TAKEOVER_STEP: Duration = Duration::from_millis(1_000);
/// Chunks that become known within this time of a failure may have left the origin before it failed. Notices are sent
/// every 40 ms and may cross a region, and a connection that was accepted before may still deliver a chunk; 150 ms gave
/// 10 failed calls in the first second of an outage.
const EVIDENCE_DELAY: Duration = Duration::from_millis(300);

/// Position of an agent among those that may call the origin.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OriginRole {
    /// Number of agents before this one in the order.
    pub position: u32,
    /// Number of agents at the head of the order that fetch from the origin in normal operation.
    pub fetchers: u32,
    /// Total number of agents, including this one.
    pub agents: u32,
}

impl OriginRole {
    /// Creates the role of agent `own` from the order of all agents; the first `fetchers` fetch from the origin.
    #[must_use]
    pub fn new(order: &[SocketAddr], fetchers: usize, own: SocketAddr) -> Self {
        let as_count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let position = order.iter().position(|address| *address == own).unwrap_or(order.len());
        Self {
            position: as_count(position),
            fetchers: as_count(fetchers),
            agents: as_count(order.len()),
        }
    }

    /// True if this agent fetches from the origin in normal operation.
    #[must_use]
    pub fn is_fetcher(&self) -> bool {
        self.position < self.fetchers
    }

    /// Time without progress in the fleet after which this agent calls the origin.
    #[must_use]
    pub fn takeover_delay(&self) -> Duration {
        match self.position.checked_sub(self.fetchers) {
            None => Duration::ZERO,
            Some(behind) => TAKEOVER_DELAY + TAKEOVER_STEP * behind,
        }
    }

    /// Mean interval between two calls to an origin that fails.
    #[must_use]
    pub fn probe_interval(&self) -> Duration {
        let limit = (PROBE_INTERVAL_PER_AGENT * self.agents).max(PROBE_INTERVAL);
        2_u32
            .checked_pow(self.position)
            .and_then(|factor| PROBE_INTERVAL.checked_mul(factor))
            .map_or(limit, |interval| interval.min(limit))
    }
}

/// Whether the origin responds, as far as this agent knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct OriginGate {
    /// Time of the last failed call; `None` while the origin is believed to respond.
    failed_at: Option<Instant>,
    /// Time of the last call.
    called_at: Option<Instant>,
    /// Earliest time of the next call after a failure.
    retry_at: Option<Instant>,
    /// Last time at which the origin was found to respond again.
    reopened_at: Option<Instant>,
}

impl OriginGate {
    /// Creates a gate that allows calls.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// True if the last call failed and nothing has shown since then that the origin responds.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.failed_at.is_some()
    }

    /// True if a call may be made now. While the gate is closed, this is a probe.
    #[must_use]
    pub fn may_call(&self, now: Instant) -> bool {
        !self.is_closed() || self.retry_at.is_none_or(|at| now >= at)
    }

    /// Time of the next probe; `None` while the gate is open.
    #[must_use]
    pub fn retry_at(&self) -> Option<Instant> {
        self.failed_at.and(self.retry_at)
    }

    /// Last time at which the origin was found to respond again; `None` if it never failed.
    #[must_use]
    pub fn reopened_at(&self) -> Option<Instant> {
        self.reopened_at
    }

    /// Records that a call is made now.
    pub fn record_called(&mut self, now: Instant) {
        self.called_at = Some(now);
    }

    /// Records that the origin did not respond, broke the connection or declined the call.
    pub fn record_failed(&mut self, role: &OriginRole, now: Instant, rng: &mut impl Rng) {
        self.failed_at = Some(now);
        // The interval starts with the call, so that the time-out of a call does not lengthen it.
        let interval = role.probe_interval().mul_f64(rng.random_range(JITTER));
        self.retry_at = Some(self.called_at.unwrap_or(now) + interval);
    }

    /// Records a response of the origin, also one with wrong content.
    pub fn record_answered(&mut self, now: Instant) {
        if self.failed_at.take().is_some() {
            self.reopened_at = Some(now);
        }
    }

    /// Records that another agent has received something that no agent held before, so that the origin responds.
    pub fn record_evidence(&mut self, now: Instant) {
        if self.failed_at.is_some_and(|at| now.saturating_duration_since(at) >= EVIDENCE_DELAY) {
            self.record_answered(now);
        }
    }
}
