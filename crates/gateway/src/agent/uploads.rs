//! Passes staged pieces on to other agents.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use log::{info, warn};
use pieces::WeightsName;
use tokio::time::sleep;
use wire::{Payload, PieceListReply, PieceReply, PieceRequest};

use super::shared::AgentShared;
use crate::frames::FrameHandler;

/// Pieces that wait for the link at most. A peer that would wait longer asks another.
const MAX_WAITING: u32 = 3;
/// Part of the link that transfers use. The engine's requests and events share it, and an event that is late by a
/// tenth of a second spoils its stream.
const LINK_PART: f64 = 0.85;

/// Answers the frames of other agents.
pub(super) struct AgentFrames {
    shared: Arc<AgentShared>,
    /// Moment at which the link has sent all pieces that were answered so far.
    link_free: Mutex<Instant>,
}

impl AgentFrames {
    pub(super) fn new(shared: Arc<AgentShared>) -> Self {
        let now = shared.clock.now();
        Self { shared, link_free: Mutex::new(now) }
    }

    /// Reserves the link for a piece and returns the time until its turn; `None` if too many wait. Pieces are sent one
    /// after the other, so that an event of the engine waits for one piece at most.
    fn reserve(&self, bytes: u32) -> Option<Duration> {
        let rate = self.shared.settings.common.link_bytes_per_s.max(1) as f64 * LINK_PART;
        let span = Duration::from_secs_f64(f64::from(bytes) / rate);
        let now = self.shared.clock.now();
        let mut free = self.link_free.lock().unwrap_or_else(PoisonError::into_inner);
        let wait = free.saturating_duration_since(now);
        if wait > span * MAX_WAITING {
            return None;
        }
        *free = (*free).max(now) + span;
        Some(wait)
    }

    async fn piece(&self, request: PieceRequest) -> PieceReply {
        let refused = PieceReply { bytes: None, busy: false };
        let name = WeightsName { model: request.model.as_str().into(), version: request.version };
        let (list, buffered) = match self.shared.transfers().get(&name) {
            Some(slot) if slot.swarm.held().contains(request.index) => {
                (slot.swarm.list().clone(), slot.buffered(request.index))
            }
            _ => return refused,
        };
        let size = self.shared.brief().map_or(0, |brief| brief.piece_bytes);
        let Some(wait) = self.reserve(size) else {
            return PieceReply { bytes: None, busy: true };
        };
        sleep(wait).await;
        if buffered.is_some() {
            self.shared.metrics.count("pieces_sent_total");
            return PieceReply { bytes: buffered, busy: false };
        }
        match self.shared.ports.engine.staged(&name.model, request.index).await {
            Ok(bytes) if list.verify(request.index, &bytes) => {
                self.shared.metrics.count("pieces_sent_total");
                PieceReply { bytes: Some(bytes), busy: false }
            }
            Ok(_) => {
                info!("event=piece_spoilt model={} piece={}", name.model, request.index);
                self.forget(&name, request.index);
                refused
            }
            Err(error) => {
                warn!("event=staged_unreadable piece={} error=\"{error}\"", request.index);
                self.forget(&name, request.index);
                refused
            }
        }
    }

    fn forget(&self, name: &WeightsName, index: u32) {
        if let Some(slot) = self.shared.transfers().get_mut(name) {
            slot.record_spoilt(index);
            self.shared.wake.notify_one();
        }
    }

    fn piece_list(&self, model: &str, version: u64) -> PieceListReply {
        let name = WeightsName { model: model.into(), version };
        let transfers = self.shared.transfers();
        let digests = transfers.get(&name).map_or_else(Vec::new, |slot| {
            let digests = &slot.swarm.list().digests;
            digests.iter().map(|digest| Bytes::copy_from_slice(digest)).collect()
        });
        PieceListReply { digests }
    }
}

impl FrameHandler for AgentFrames {
    fn answer(&self, payload: Payload) -> BoxFuture<'_, Option<Payload>> {
        Box::pin(async move {
            match payload {
                Payload::PieceRequest(request) => {
                    Some(Payload::PieceReply(self.piece(request).await))
                }
                Payload::PieceListRequest(request) => {
                    Some(Payload::PieceListReply(self.piece_list(&request.model, request.version)))
                }
                _ => None,
            }
        })
    }
}
