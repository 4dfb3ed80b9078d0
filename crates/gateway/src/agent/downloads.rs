//! Tasks that fetch manifests and chunks. Dropping the tasks of a version closes their connections.

use std::{collections::HashMap, sync::Arc, time::Instant};

use chunks::{
    ChunkFetch, ChunkIndex, ChunkManifest, FetchFailure, ManifestSearch, ManifestSource, WeightsId,
};
use log::{info, warn};
use tokio::{sync::mpsc, task::JoinSet};

use super::{
    fetch::{FetchOutcome, fetch_chunk, fetch_manifest},
    shared::{AgentAssignment, AgentShared},
};

/// Number of digest mismatches for one chunk after which the manifest itself is considered wrong.
const MAX_MISMATCHES: u32 = 3;

/// Result of a task.
pub(super) enum DownloadResult {
    /// A chunk was fetched, or not.
    Chunk { weights: WeightsId, fetch: ChunkFetch, outcome: FetchOutcome },
    /// A manifest was received, or not.
    Manifest { weights: WeightsId, source: ManifestSource, manifest: Option<ChunkManifest> },
}

/// Running tasks of an agent, by the version that they fetch.
pub(super) struct DownloadTasks {
    shared: Arc<AgentShared>,
    results: mpsc::UnboundedSender<DownloadResult>,
    tasks: HashMap<WeightsId, JoinSet<()>>,
    mismatches: HashMap<ChunkIndex, u32>,
    /// Searches for the manifests of the versions that are wanted or have to be verified, while they are missing.
    searches: Vec<ManifestSearch>,
}

impl DownloadTasks {
    pub(super) fn new(
        shared: Arc<AgentShared>,
        results: mpsc::UnboundedSender<DownloadResult>,
    ) -> Self {
        Self {
            shared,
            results,
            tasks: HashMap::new(),
            mismatches: HashMap::new(),
            searches: Vec::new(),
        }
    }

    /// Next time after `now` at which a call that was put off may be made; `None` if there is none.
    pub(super) fn next_at(&self, now: Instant) -> Option<Instant> {
        let searches = self.searches.iter().map(ManifestSearch::next_at).filter(|at| *at > now);
        searches.chain(self.shared.transfers().next_at(now)).min()
    }

    /// Starts to fetch a chunk.
    pub(super) fn fetch(
        &mut self,
        weights: &WeightsId,
        fetch: ChunkFetch,
        assignment: &AgentAssignment,
    ) {
        let shared = self.shared.clone();
        let origin = assignment.origin.as_ref().map(|(address, _)| *address);
        let name = weights.clone();
        self.spawn(weights, async move {
            let outcome = fetch_chunk(&shared, &name, fetch, origin).await;
            DownloadResult::Chunk { weights: name, fetch, outcome }
        });
    }

    /// Requests the manifest of `weights` from the next source, if it is time to do so.
    pub(super) fn search_manifest(
        &mut self,
        assignment: &AgentAssignment,
        weights: &WeightsId,
        now: Instant,
    ) {
        if self.searches.iter().all(|search| search.weights() != weights) {
            let gate = match self.searches.last() {
                Some(previous) => previous.gate(),
                None => self.shared.transfers().gate(),
            };
            let own = self.shared.own_peer();
            self.searches.push(ManifestSearch::new(weights.clone(), own, gate, now));
        }
        let mut searches = self.searches.iter_mut();
        let Some(search) = searches.find(|search| search.weights() == weights) else { return };
        let data_centre = assignment.origin.as_ref().map(|(_, data_centre)| data_centre);
        search.update_peers(&assignment.agents, data_centre);
        let Some(source) = search.next_source(now, &mut rand::rng()) else { return };
        let (shared, weights) = (self.shared.clone(), weights.clone());
        let (origin, count) =
            (assignment.origin.as_ref().map(|(origin, _)| *origin), assignment.chunk_count);
        self.spawn(&weights.clone(), async move {
            let manifest = fetch_manifest(&shared, &weights, count, source, origin).await;
            DownloadResult::Manifest { weights, source, manifest }
        });
    }

    /// Records the result of a manifest request; returns the manifest if it is still wanted. The new transfer inherits
    /// what the search has learned about the origin.
    pub(super) fn record_manifest(
        &mut self,
        weights: &WeightsId,
        source: ManifestSource,
        manifest: Option<ChunkManifest>,
        now: Instant,
    ) -> Option<(ChunkManifest, chunks::OriginGate)> {
        let index = self.searches.iter().position(|search| search.weights() == weights)?;
        let search = &mut self.searches[index];
        let Some(manifest) = manifest else {
            search.record_failed(source, now, &mut rand::rng());
            return None;
        };
        search.record_found(source, now);
        let gate = search.gate();
        self.searches.remove(index);
        self.mismatches.clear();
        Some((manifest, gate))
    }

    /// Records the result of fetching a chunk; returns whether a chunk has arrived.
    pub(super) fn record_chunk(
        &mut self,
        weights: &WeightsId,
        fetch: ChunkFetch,
        outcome: FetchOutcome,
    ) -> bool {
        let now = self.shared.clock.now();
        let mut transfers = self.shared.transfers();
        let Some(transfer) = transfers.get_mut(weights) else { return false };
        let rng = &mut rand::rng();
        let mut has_arrived = false;
        match outcome {
            FetchOutcome::Fetched(bytes) => {
                transfer.record_fetched(fetch.id, bytes, now);
                has_arrived = true;
            }
            FetchOutcome::Busy => {
                transfer.swarm.record_failed(fetch.id, FetchFailure::Busy, now, rng);
            }
            FetchOutcome::Failed => {
                transfer.swarm.record_failed(fetch.id, FetchFailure::Failed, now, rng);
            }
            FetchOutcome::Mismatch => {
                transfer.swarm.record_failed(fetch.id, FetchFailure::Corrupt, now, rng);
                let count = self.mismatches.entry(fetch.index).or_default();
                *count += 1;
                if *count >= MAX_MISMATCHES {
                    warn!("event=list_doubted piece={} mismatches={count}", fetch.index);
                    self.mismatches.clear();
                    transfers.remove(weights);
                    return false;
                }
            }
        }
        transfers.share_gate(weights);
        has_arrived
    }

    /// Cancels the tasks of all versions that are neither transferred, nor `wanted`, nor to be verified.
    pub(super) fn cancel_unwanted(&mut self, wanted: &WeightsId, unverified: Option<&WeightsId>) {
        let is_searched = |weights: &WeightsId| weights == wanted || Some(weights) == unverified;
        self.searches.retain(|search| is_searched(search.weights()));
        let shared = self.shared.clone();
        let transfers = shared.transfers();
        self.tasks.retain(|weights, tasks| {
            while tasks.try_join_next().is_some() {}
            let is_needed = is_searched(weights) || transfers.get(weights).is_some();
            if !is_needed && !tasks.is_empty() {
                info!(
                    "event=fetches_cancelled model={} version={} fetches={}",
                    weights.model,
                    weights.version,
                    tasks.len()
                );
                shared.metrics.add("fetches_cancelled_total", tasks.len() as u64);
            }
            is_needed
        });
    }

    fn spawn(
        &mut self,
        weights: &WeightsId,
        task: impl Future<Output = DownloadResult> + Send + 'static,
    ) {
        let results = self.results.clone();
        self.tasks.entry(weights.clone()).or_default().spawn(async move {
            // Fails only while the process ends, because the receiver exists until then.
            let _ = results.send(task.await);
        });
    }
}
