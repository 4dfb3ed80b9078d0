//! Watches the upstreams that change their version before this one, for the gate of a rolling change.

use std::{collections::HashMap, sync::Arc, time::Duration};

use base::{ContentDigest, ModelId, UpstreamId};
use futures_util::future::join_all;
use weights::{RolloutGate, RolloutPolicy, RolloutView, UpstreamPhase};
use wire::{Payload, StatusReply, StatusRequest};

use super::wants::ServedModel;
use crate::{peer::PeerPool, view::FleetView};

/// Upstreams that are asked in one round. An upstream that serves the new version is not asked again, so the rounds
/// move along the order.
const MAX_PROBES: usize = 16;
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Change of version of one model on this host.
pub(super) struct ModelRollout {
    model: ModelId,
    manifest: ContentDigest,
    own: UpstreamId,
    gate: RolloutGate,
    phases: HashMap<UpstreamId, UpstreamPhase>,
}

impl ModelRollout {
    pub fn new(served: &ServedModel, own: &UpstreamId) -> Self {
        let floor = usize::try_from(served.floor).unwrap_or(usize::MAX);
        Self {
            model: served.model.clone(),
            manifest: served.manifest,
            own: own.clone(),
            gate: RolloutGate::new(RolloutPolicy::OwnTurn, own.clone(), floor),
            phases: HashMap::new(),
        }
    }

    pub fn is_for(&self, served: &ServedModel) -> bool {
        self.model == served.model && self.manifest == served.manifest
    }

    /// Decides whether this host may switch. `serves_old` is true if its engine names another version of the model.
    pub fn is_open(
        &mut self,
        view: &FleetView,
        served: &ServedModel,
        is_whole: bool,
        serves_old: bool,
    ) -> bool {
        self.gate.set_whole(is_whole);
        if !serves_old {
            return true;
        }
        self.gate.is_open(&self.rollout_view(view, served))
    }

    fn rollout_view(&self, view: &FleetView, served: &ServedModel) -> RolloutView {
        let own = served.order.iter().position(|id| *id == self.own).unwrap_or(usize::MAX);
        (0..)
            .zip(&served.order)
            .map(|(position, id)| {
                let phase = if *id == self.own {
                    UpstreamPhase::Waiting
                } else if view.hosts.agent_of(id).is_none() {
                    UpstreamPhase::Gone
                } else {
                    // Upstreams behind this one are not probed; they count as ready on the old version.
                    let unknown = if position < own {
                        UpstreamPhase::Waiting
                    } else {
                        UpstreamPhase::Fetching
                    };
                    self.phases.get(id).copied().unwrap_or(unknown)
                };
                (id.clone(), phase)
            })
            .collect()
    }

    /// Asks the next upstreams before this one for their state.
    pub async fn probe(&mut self, pool: &Arc<PeerPool>, view: &FleetView, served: &ServedModel) {
        let before = served.order.iter().take_while(|id| **id != self.own);
        let open = before.filter(|id| self.phases.get(*id) != Some(&UpstreamPhase::Done));
        let probes = open.take(MAX_PROBES).filter_map(|id| {
            let address = view.hosts.agent_of(id)?.peer;
            Some(async move {
                let request = Payload::StatusRequest(StatusRequest::default());
                let answer = pool.call(address, request, PROBE_TIMEOUT).await;
                (id.clone(), answer.ok())
            })
        });
        for (id, answer) in join_all(probes).await {
            let phase = match answer {
                Some(Payload::StatusReply(status)) => self.phase_of(&status),
                _ => UpstreamPhase::Switching,
            };
            self.phases.insert(id, phase);
        }
    }

    fn phase_of(&self, status: &StatusReply) -> UpstreamPhase {
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
