//! Rolling change of version: when this host may leave the old version, so that enough upstreams stay ready.

use base::UpstreamId;

/// State of one upstream of a model during a change of version, as far as this host knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamPhase {
    /// Not in the host list, or suspected.
    Gone,
    /// Serves the old version and does not hold the new one whole.
    Fetching,
    /// Serves the old version and may switch at any moment.
    Waiting,
    /// Serves neither version.
    Switching,
    /// Serves the new version.
    Done,
}

/// Rule that decides whose turn it is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RolloutPolicy {
    /// A host goes when fewer hosts before it wait than there are ready upstreams above the floor.
    #[default]
    OwnTurn,
    /// Waves of as many hosts as the preset's replicas exceed the floor; a wave starts when the one before is done.
    FixedWaves,
}

/// What a host knows of the upstreams of a model, in the order in which they switch.
pub type RolloutView = Vec<(UpstreamId, UpstreamPhase)>;

/// Decides when this host may switch.
#[derive(Clone, Debug)]
pub struct RolloutGate {
    policy: RolloutPolicy,
    own: UpstreamId,
    floor: usize,
    is_whole: bool,
}

impl RolloutGate {
    /// Creates the gate of one model. `floor` is the number of ready upstreams to keep.
    #[must_use]
    pub fn new(policy: RolloutPolicy, own: UpstreamId, floor: usize) -> Self {
        Self { policy, own, floor, is_whole: false }
    }

    /// Records whether the new version is held whole.
    pub fn set_whole(&mut self, whole: bool) {
        self.is_whole = whole;
    }

    /// True if this host may switch now. A host that serves nothing may always load: that cannot reduce the number of
    /// ready upstreams.
    #[must_use]
    pub fn is_open(&self, view: &RolloutView) -> bool {
        if !self.is_whole {
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
        // Hosts before this one that still serve the old version may leave it at any moment, those included that do not
        // hold the new one yet: this host does not watch the hosts behind it, so neither could they later.
        let waiting = view[..position]
            .iter()
            .filter(|(_, phase)| matches!(phase, UpstreamPhase::Waiting | UpstreamPhase::Fetching));
        if spare > 0 {
            return waiting.count() < spare;
        }
        // With no upstream to spare from the start, the floor cannot be kept and the change would never happen: the
        // hosts then switch one at a time, as long as no other one is down.
        let all_ready = view.iter().all(|(_, phase)| phase.is_ready());
        all_ready && view.len() <= self.floor && waiting.count() == 0
    }

    fn is_own_wave(&self, view: &RolloutView, position: usize) -> bool {
        let width = view.len().saturating_sub(self.floor).max(1);
        let first = position / width * width;
        view[..first]
            .iter()
            .all(|(_, phase)| matches!(phase, UpstreamPhase::Done | UpstreamPhase::Gone))
    }
}

impl UpstreamPhase {
    /// True if the upstream serves a version.
    #[must_use]
    pub fn is_ready(self) -> bool {
        matches!(self, Self::Fetching | Self::Waiting | Self::Done)
    }
}
