//! Rollout of a new version: probes the upstreams that switch before this one to decide when it may switch.

use std::{collections::HashMap, sync::Arc, time::Duration};

use base::{ContentDigest, ModelId, UpstreamId};
use futures_util::future::join_all;
use weights::{RolloutGate, RolloutPolicy, RolloutView, UpstreamPhase};
use wire::{Payload, StatusRequest, StatusResponse};

use super::wanted::ServedModel;
use crate::{peer::PeerPool, view::FleetView};

/// Maximum number of upstreams probed in one round. An upstream that serves the new version is not probed again, so
/// later rounds reach the upstreams further along in the order.
const MAX_PROBES_PER_ROUND: usize = 16;
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Rollout of one version of a model, as seen by this host.
pub(super) struct ModelRollout {
    model: ModelId,
    manifest: ContentDigest,
    own_upstream: UpstreamId,
    gate: RolloutGate,
    phases: HashMap<UpstreamId, UpstreamPhase>,
}

impl ModelRollout {
    pub fn new(served: &ServedModel, own: &UpstreamId) -> Self {
        let floor = usize::try_from(served.floor).unwrap_or(usize::MAX);
        Self {
            model: served.model.clone(),
            manifest: served.manifest,
            own_upstream: own.clone(),
            gate: RolloutGate::new(RolloutPolicy::OwnTurn, own.clone(), floor),
            phases: HashMap::new(),
        }
    }

    pub fn matches(&self, served: &ServedModel) -> bool {
        self.model == served.model && self.manifest == served.manifest
    }

    /// Decides whether this host may switch. `is_complete` is true if it holds all chunks of the new version, and
    /// `serves_other_version` if its engine reports another version of the model.
    pub fn is_open(
        &mut self,
        view: &FleetView,
        served: &ServedModel,
        is_complete: bool,
        serves_other_version: bool,
    ) -> bool {
        self.gate.set_complete(is_complete);
        if !serves_other_version {
            return true;
        }
        self.gate.is_open(&self.rollout_view(view, served))
    }

    fn rollout_view(&self, view: &FleetView, served: &ServedModel) -> RolloutView {
        let own_position =
            served.order.iter().position(|id| *id == self.own_upstream).unwrap_or(usize::MAX);
        (0..)
            .zip(&served.order)
            .map(|(position, id)| {
                let phase = if *id == self.own_upstream {
                    UpstreamPhase::Waiting
                } else if view.hosts.agent_for_upstream(id).is_none() {
                    UpstreamPhase::Unavailable
                } else {
                    // Upstreams after this one in the order are not probed and count as ready with the old version.
                    let default_phase = if position < own_position {
                        UpstreamPhase::Waiting
                    } else {
                        UpstreamPhase::Fetching
                    };
                    self.phases.get(id).copied().unwrap_or(default_phase)
                };
                (id.clone(), phase)
            })
            .collect()
    }

    /// Probes the upstreams that come before this one in the order and are not known to serve the new version.
    pub async fn probe(&mut self, pool: &Arc<PeerPool>, view: &FleetView, served: &ServedModel) {
        let earlier = served.order.iter().take_while(|id| **id != self.own_upstream);
        let pending = earlier.filter(|id| self.phases.get(*id) != Some(&UpstreamPhase::Done));
        let probes = pending.take(MAX_PROBES_PER_ROUND).filter_map(|id| {
            let address = view.hosts.agent_for_upstream(id)?.peer;
            Some(async move {
                let request = Payload::StatusRequest(StatusRequest::default());
                let response = pool.exchange(address, request, PROBE_TIMEOUT).await;
                (id.clone(), response.ok())
            })
        });
        for (id, response) in join_all(probes).await {
            let phase = match response {
                Some(Payload::StatusResponse(status)) => self.phase_of(&status),
                _ => UpstreamPhase::Switching,
            };
            self.phases.insert(id, phase);
        }
    }

    fn phase_of(&self, status: &StatusResponse) -> UpstreamPhase {
        let mut versions = status.ready.iter().filter(|ready| ready.model == self.model.as_str());
        match versions.next() {
            Some(ready) if ready.manifest[..] == self.manifest.as_bytes()[..] => {
                UpstreamPhase::Done
            }
            Some(_) if status.held_bytes < status.wanted_bytes => UpstreamPhase::Fetching,
            Some(_) => UpstreamPhase::Waiting,
            None => UpstreamPhase::Switching,
        }
    }
}
