//! Verifies the loads of the engine, and has it load again what it took from corrupt chunks.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use chunks::{ChunkManifest, EngineLoad, LoadOrder, LoadVerdict, WeightsId, kept_layers};
use log::{info, warn};

use super::{
    super::{
        engine::read_corrupt,
        shared::{AgentAssignment, order_report},
    },
    TransferTask,
};

/// Maximum time for which newer weights are kept out of the staging area because the chunks there have to be verified. The
/// manifest of the loaded weights may not exist any more.
const MAX_VERIFICATION_WAIT: Duration = Duration::from_secs(3);
/// Pause between two orders to give up layers.
const REPAIR_PAUSE: Duration = Duration::from_millis(500);

impl TransferTask {
    /// Verifies the load of the accepted order or of the weights that the engine serves, unless that has been done. The
    /// chunks are read after the engine has taken them, so the result does not depend on the time of the order.
    pub(super) async fn verify_load(&mut self, assignment: &AgentAssignment) {
        self.adopt_verified(assignment);
        let Some(load) = self.load_to_verify() else {
            self.unverified = None;
            return;
        };
        let now = self.shared.clock.now();
        let weights = load.weights.clone();
        if self.unverified.as_ref().is_none_or(|(known, _)| *known != load) {
            self.unverified = Some((load.clone(), now));
            info!(
                "event=load_unverified model={} version={} orders={} inherited={}",
                weights.model,
                weights.version,
                load.load_orders,
                self.shared.loads().is_inherited(&load)
            );
        }
        let may_be_taken = self.pending_load.as_ref().is_some_and(|order| !order.is_accepted());
        if self.has_waited_for_verification() && !may_be_taken {
            self.shared.transfers().end_hold();
        }
        let Some(manifest) = self.manifest_of(&weights) else {
            self.downloads.search_manifest(assignment, &weights, now);
            return;
        };
        if !self.mark_replaced(&load).await {
            return;
        }
        let Some(corrupt) = read_corrupt(&self.shared, &manifest).await else { return };
        let verdict = self.shared.loads().record_read(load.clone(), corrupt);
        self.unverified = None;
        self.apply_verdict(&load, &verdict, now);
        self.shared.wake_heartbeats.notify_one();
    }

    /// Overwrites the chunks that may have been replaced after the engine took them, so that a later process of this agent
    /// finds the load corrupt as well; false if the engine does not respond.
    async fn mark_replaced(&self, load: &EngineLoad) -> bool {
        let replaced = self.shared.loads().possibly_replaced(load);
        for index in replaced {
            let staged = self.shared.ports.engine.stage(&load.weights.model, index, Bytes::new());
            if let Err(error) = staged.await {
                warn!("event=stage_failed piece={index} error=\"{error}\"");
                return false;
            }
        }
        true
    }

    fn apply_verdict(&mut self, load: &EngineLoad, verdict: &LoadVerdict, begun_at: Instant) {
        let EngineLoad { weights, load_orders, .. } = load;
        let now = self.shared.clock.now();
        let mut transfers = self.shared.transfers();
        match verdict {
            LoadVerdict::Corrupt(corrupt) => {
                let chunks: Vec<u32> = corrupt.iter().collect();
                warn!(
                    "event=load_corrupt model={} version={} orders={load_orders} pieces={chunks:?}",
                    weights.model, weights.version
                );
                self.shared.metrics.count("corrupt_loads_total");
                transfers.end_hold();
                if let Some(transfer) = transfers.get_mut(weights) {
                    chunks.into_iter().for_each(|index| transfer.record_corrupt(index, now));
                }
            }
            LoadVerdict::Verified | LoadVerdict::Unverified => {
                info!(
                    "event=load_verified model={} version={} orders={load_orders} ms={}",
                    weights.model,
                    weights.version,
                    now.saturating_duration_since(begun_at).as_millis()
                );
                transfers.release_staging(weights);
            }
        }
    }

    /// Takes over what an earlier process of this agent has told an entry.
    fn adopt_verified(&self, assignment: &AgentAssignment) {
        let Some(verified) = assignment.verified else { return };
        let Some((load, LoadVerdict::Unverified)) = self.shared.served_load() else { return };
        if (load.started_at_ms, load.weights.version)
            == (verified.engine_started_ms, verified.version)
            && load.load_orders == verified.load_orders
            && self.shared.loads().record_verified(load)
        {
            self.shared.wake_heartbeats.notify_one();
        }
    }

    fn load_to_verify(&self) -> Option<EngineLoad> {
        let ordered = self.pending_load.as_ref().and_then(LoadOrder::load);
        let ordered =
            ordered.filter(|load| self.shared.loads().verdict(load) == LoadVerdict::Unverified);
        ordered.or_else(|| match self.shared.served_load() {
            Some((load, LoadVerdict::Unverified)) => Some(load),
            _ => None,
        })
    }

    fn manifest_of(&self, weights: &WeightsId) -> Option<Arc<ChunkManifest>> {
        let known = self.load_manifest.as_ref().filter(|manifest| manifest.name == *weights);
        let transfers = self.shared.transfers();
        let transferred = transfers.get(weights).map(|transfer| transfer.swarm.manifest());
        known.or(transferred).cloned()
    }

    /// True if a load could not be verified within [`MAX_VERIFICATION_WAIT`].
    fn has_waited_for_verification(&self) -> bool {
        let now = self.shared.clock.now();
        self.unverified.as_ref().is_some_and(|(_, since)| {
            now.saturating_duration_since(*since) >= MAX_VERIFICATION_WAIT
        })
    }

    /// True if entries do not use the weights that the engine serves, because they are from corrupt chunks or cannot be
    /// verified.
    pub(super) fn serves_unusable_weights(&self) -> bool {
        match self.shared.served_load() {
            Some((_, LoadVerdict::Corrupt(_))) => true,
            Some((_, LoadVerdict::Unverified)) => self.has_waited_for_verification(),
            Some((_, LoadVerdict::Verified)) | None => false,
        }
    }

    /// True if chunks of `weights` may be written to the staging area. The chunks that a load was taken from show whether it
    /// is valid, so they stay as they are until that is known, and corrupt ones until the engine no longer holds the layers.
    pub(super) fn may_stage(&self, weights: &WeightsId) -> bool {
        let ordered = self.pending_load.as_ref().and_then(LoadOrder::load);
        let is_busy = self.shared.report().is_some_and(|report| report.busy);
        let is_free = match &ordered {
            Some(load) => match self.shared.loads().verdict(load) {
                LoadVerdict::Unverified => false,
                LoadVerdict::Verified => true,
                LoadVerdict::Corrupt(_) => load.weights != *weights,
            },
            // The engine carries out an order of an earlier process of this agent.
            None => !is_busy,
        };
        is_free
            && match self.shared.served_load() {
                Some((load, LoadVerdict::Corrupt(_))) => load.weights != *weights,
                Some((load, LoadVerdict::Unverified)) => {
                    load.weights != *weights && self.has_waited_for_verification()
                }
                Some((_, LoadVerdict::Verified)) | None => true,
            }
    }

    /// Has the engine give up the layers that it loaded from corrupt chunks, after which it loads them like any missing
    /// ones. Weights that a newer version replaces anyway are left as they are.
    pub(super) async fn repair_load(&mut self, assignment: &AgentAssignment) {
        let Some((load, LoadVerdict::Corrupt(corrupt))) = self.shared.served_load() else { return };
        let now = self.shared.clock.now();
        if load.weights != assignment.weights
            || self.pending_load.is_some()
            || self.repair_paused_until.is_some_and(|until| now < until)
        {
            return;
        }
        self.repair_paused_until = Some(now + REPAIR_PAUSE);
        let layers = kept_layers(&corrupt, assignment.chunk_count, assignment.layers);
        let Ok(report) = self.shared.ports.engine.report().await else { return };
        self.shared.observe_report(&report, now);
        let known = order_report(&report, &load.weights.model);
        if report.busy || EngineLoad::of_report(&load.weights.model, &known) != Some(load.clone()) {
            return;
        }
        let engine = &self.shared.ports.engine;
        let result = engine.keep_layers(&load.weights, layers.clone(), report.load_orders).await;
        self.shared.metrics.count("load_orders_total");
        info!(
            "event=layers_given_up model={} version={} orders={} kept={layers:?} result={result:?}",
            load.weights.model, load.weights.version, report.load_orders
        );
    }
}
