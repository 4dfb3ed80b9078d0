//! Sends staged chunks to other agents.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use chunks::WeightsId;
use futures_util::future::BoxFuture;
use log::{info, warn};
use tokio::time::sleep;
use wire::{ChunkListResponse, IndexedChunkRequest, IndexedChunkResponse, Payload};

use super::{engine::is_unanswered, shared::AgentShared};
use crate::frames::FrameHandler;

/// Maximum number of chunks queued for the link. If the queue is full, the peer is told to ask another agent.
const MAX_QUEUED_CHUNKS: u32 = 3;
/// Fraction of the link used by transfers. The engine's requests and events share the link, and a delay of a tenth of a
/// second for one event is enough to degrade its stream.
const TRANSFER_LINK_SHARE: f64 = 0.85;

/// Handles the frames of other agents.
pub(super) struct AgentFrameHandler {
    shared: Arc<AgentShared>,
    /// Time at which the link will have sent all chunks promised so far.
    link_free_at: Mutex<Instant>,
}

impl AgentFrameHandler {
    pub(super) fn new(shared: Arc<AgentShared>) -> Self {
        let now = shared.clock.now();
        Self { shared, link_free_at: Mutex::new(now) }
    }

    /// Reserves the link for a chunk and returns the time until its transfer may start; `None` if the queue is full.
    /// Chunks are sent one after the other, so that an event of the engine waits for one chunk at most.
    fn reserve(&self, bytes: u32) -> Option<Duration> {
        let rate = self.shared.settings.common.link_bytes_per_s.max(1) as f64 * TRANSFER_LINK_SHARE;
        let transfer_time = Duration::from_secs_f64(f64::from(bytes) / rate);
        let now = self.shared.clock.now();
        let mut free_at = self.link_free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let wait = free_at.saturating_duration_since(now);
        if wait > transfer_time * MAX_QUEUED_CHUNKS {
            return None;
        }
        *free_at = (*free_at).max(now) + transfer_time;
        Some(wait)
    }

    async fn serve_chunk(&self, request: IndexedChunkRequest) -> IndexedChunkResponse {
        let refused = IndexedChunkResponse { bytes: None, busy: false };
        let weights = WeightsId { model: request.model.as_str().into(), version: request.version };
        let (manifest, buffered) = match self.shared.transfers().get(&weights) {
            Some(transfer) if transfer.swarm.held().contains(request.index) => {
                (transfer.swarm.manifest().clone(), transfer.buffered(request.index))
            }
            _ => return refused,
        };
        let chunk_bytes = self.shared.assignment().map_or(0, |assignment| assignment.chunk_bytes);
        let Some(wait) = self.reserve(chunk_bytes) else {
            return IndexedChunkResponse { bytes: None, busy: true };
        };
        sleep(wait).await;
        if buffered.is_some() {
            self.shared.metrics.count("pieces_sent_total");
            return IndexedChunkResponse { bytes: buffered, busy: false };
        }
        match self.shared.ports.engine.read_staged(&weights.model, request.index).await {
            Ok(bytes) if manifest.verify(request.index, &bytes) => {
                self.shared.metrics.count("pieces_sent_total");
                IndexedChunkResponse { bytes: Some(bytes), busy: false }
            }
            Ok(_) => {
                info!("event=piece_spoilt model={} piece={}", weights.model, request.index);
                self.mark_corrupt(&weights, request.index);
                refused
            }
            Err(error) => {
                warn!("event=staged_unreadable piece={} error=\"{error}\"", request.index);
                if !is_unanswered(&error) {
                    self.mark_corrupt(&weights, request.index);
                }
                refused
            }
        }
    }

    fn mark_corrupt(&self, weights: &WeightsId, index: u32) {
        if let Some(transfer) = self.shared.transfers().get_mut(weights) {
            transfer.record_corrupt(index, self.shared.clock.now());
            self.shared.wake_transfer.notify_one();
        }
    }

    fn digests(&self, model: &str, version: u64) -> ChunkListResponse {
        let weights = WeightsId { model: model.into(), version };
        let transfers = self.shared.transfers();
        let digests = transfers.get(&weights).map_or_else(Vec::new, |transfer| {
            let digests = &transfer.swarm.manifest().digests;
            digests.iter().map(|digest| Bytes::copy_from_slice(digest)).collect()
        });
        ChunkListResponse { digests }
    }
}

impl FrameHandler for AgentFrameHandler {
    fn handle(&self, payload: Payload) -> BoxFuture<'_, Option<Payload>> {
        Box::pin(async move {
            match payload {
                Payload::IndexedChunkRequest(request) => {
                    Some(Payload::IndexedChunkResponse(self.serve_chunk(request).await))
                }
                Payload::ChunkListRequest(request) => {
                    Some(Payload::ChunkListResponse(self.digests(&request.model, request.version)))
                }
                _ => None,
            }
        })
    }
}
