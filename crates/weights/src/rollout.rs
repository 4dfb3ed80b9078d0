//! Rollout of a new version: decides when this host may stop serving the old one, so that enough upstreams stay ready.

use base::UpstreamId;

/// State of one upstream of a model during a rollout, as far as this host knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamPhase {
    /// Missing from the host list, or suspected to be down.
    Unavailable,
    /// Serves the old version and has not fetched all chunks of the new one.
    Fetching,
    /// Serves the old version, holds the new one, and may switch at any moment.
    Waiting,
    /// Serves neither version while it changes from the old to the new one.
    Switching,
    /// Serves the new version.
    Done,
}

/// Rule that decides which hosts may switch.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RolloutPolicy {
    /// A host may switch when the number of hosts before it that have yet to switch is smaller than the number of ready
    /// upstreams above the floor.
    #[default]
    OwnTurn,
    /// Hosts switch in waves. The size of a wave is the number of replicas above the floor; a wave starts when the
    /// previous one is done.
    FixedWaves,
}

/// Phases of the upstreams of a model as known to this host, in the order in which they switch.
pub type RolloutView = Vec<(UpstreamId, UpstreamPhase)>;

/// Decides when this host may switch.
#[derive(Clone, Debug)]
pub struct RolloutGate {
    policy: RolloutPolicy,
    own: UpstreamId,
    floor: usize,
    is_complete: bool,
}

impl RolloutGate {
    /// Creates the gate of one model, initially closed. `floor` is the minimum number of upstreams that must stay
    /// ready.
    #[must_use]
    pub fn new(policy: RolloutPolicy, own: UpstreamId, floor: usize) -> Self {
        Self { policy, own, floor, is_complete: false }
    }

    /// Sets whether this host holds all chunks of the new version.
    pub fn set_complete(&mut self, complete: bool) {
        self.is_complete = complete;
    }

    /// True if this host may switch now. Once it holds the new version, a host that serves neither version may always
    /// load it, since that cannot reduce the number of ready upstreams.
    #[must_use]
    pub fn is_open(&self, view: &RolloutView) -> bool {
        if !self.is_complete {
            return false;
        }
        let own = view.iter().position(|(id, _)| *id == self.own);
        let Some(position) = own else { return true };
        if !matches!(view[position].1, UpstreamPhase::Waiting | UpstreamPhase::Fetching) {
            return true;
        }
        match self.policy {
            RolloutPolicy::OwnTurn => self.is_own_turn(view, position),
            RolloutPolicy::FixedWaves => self.is_own_wave(view, position),
        }
    }

    fn is_own_turn(&self, view: &RolloutView, position: usize) -> bool {
        let ready = view.iter().filter(|(_, phase)| phase.is_ready()).count();
        let spare = ready.saturating_sub(self.floor);
        // Any host before this one that still serves the old version may switch at any moment. This includes hosts that
        // are still fetching: they ignore the hosts behind them, so they would not notice that this one has switched.
        let waiting = view[..position]
            .iter()
            .filter(|(_, phase)| matches!(phase, UpstreamPhase::Waiting | UpstreamPhase::Fetching));
        if spare > 0 {
            return waiting.count() < spare;
        }
        // If there are no more upstreams than the floor, the rollout could never start without falling below it. The
        // hosts then switch one at a time, as long as no other upstream is down.
        let all_ready = view.iter().all(|(_, phase)| phase.is_ready());
        all_ready && view.len() <= self.floor && waiting.count() == 0
    }

    fn is_own_wave(&self, view: &RolloutView, position: usize) -> bool {
        let width = view.len().saturating_sub(self.floor).max(1);
        let first = position / width * width;
        view[..first]
            .iter()
            .all(|(_, phase)| matches!(phase, UpstreamPhase::Done | UpstreamPhase::Unavailable))
    }
}

impl UpstreamPhase {
    /// True if the upstream serves the old or the new version.
    #[must_use]
    pub fn is_ready(self) -> bool {
        matches!(self, Self::Fetching | Self::Waiting | Self::Done)
    }
}
