//! Verifies the loads of the engine.

use std::{sync::Arc, time::Instant};

use chunks::{ChunkManifest, ChunkSet, EngineLoad, LoadOrder, LoadVerdict, WeightsId};
use log::{info, warn};

use super::{
    super::{engine::read_corrupt, shared::AgentAssignment},
    TransferTask,
};

impl TransferTask {
    /// Verifies the load of the accepted order or of the weights that the engine serves, unless that has been done. The
    /// chunks are read after the engine has taken them, so the result does not depend on the time of the order.
    pub(super) async fn verify_load(&mut self, assignment: &AgentAssignment) {
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
        let Some(manifest) = self.manifest_of(&weights) else {
            self.downloads.search_manifest(assignment, &weights, now);
            return;
        };
        let Some(corrupt) = read_corrupt(&self.shared, &manifest).await else { return };
        let mut corrupt_chunks = ChunkSet::new();
        for index in corrupt {
            corrupt_chunks.insert(index);
        }
        let verdict = self.shared.loads().record_read(load.clone(), corrupt_chunks);
        self.unverified = None;
        self.log_verdict(&load, &verdict, now);
    }

    fn log_verdict(&self, load: &EngineLoad, verdict: &LoadVerdict, begun_at: Instant) {
        let EngineLoad { weights, load_orders, .. } = load;
        let now = self.shared.clock.now();
        match verdict {
            LoadVerdict::Corrupt(corrupt) => {
                let chunks: Vec<u32> = corrupt.iter().collect();
                warn!(
                    "event=load_corrupt model={} version={} orders={load_orders} pieces={chunks:?}",
                    weights.model, weights.version
                );
                self.shared.metrics.count("corrupt_loads_total");
            }
            LoadVerdict::Verified | LoadVerdict::Unverified => {
                info!(
                    "event=load_verified model={} version={} orders={load_orders} ms={}",
                    weights.model,
                    weights.version,
                    now.saturating_duration_since(begun_at).as_millis()
                );
            }
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
}
