//! Serves chunks and manifests to other agents, within the upload limit and the bandwidth of the link.

use std::{sync::Arc, time::Duration};

use base::ContentDigest;
use futures_util::future::BoxFuture;
use tokio::io::AsyncWrite;
use weights::FetchFault;
use wire::{
    ChannelError, ChunkRequest, ChunkResponse, FrameSender, HeldChunks, ManifestResponse, NotHeld,
    Payload,
};

use super::transfer::{TransferDriver, to_bytes};
use crate::server::{FrameHandler, ServerChannel};

/// Handles requests of other agents for weights.
pub struct ChunkServer {
    driver: Arc<TransferDriver>,
}

/// Releases the upload slot on drop, so that it is also released when the connection fails and the task is dropped.
struct UploadGuard<'a> {
    driver: &'a TransferDriver,
}

impl Drop for UploadGuard<'_> {
    fn drop(&mut self) {
        self.driver.lock_plan().finish_upload();
    }
}

impl ChunkServer {
    /// Creates a server for the chunks and manifests that `driver` holds.
    #[must_use]
    pub fn new(driver: Arc<TransferDriver>) -> Arc<Self> {
        Arc::new(Self { driver })
    }

    /// True if `payload` is a request for held chunks, a chunk or a manifest.
    #[must_use]
    pub fn accepts(payload: &Payload) -> bool {
        matches!(
            payload,
            Payload::HeldChunksRequest(_) | Payload::ChunkRequest(_) | Payload::ManifestRequest(_)
        )
    }

    /// Handles one request of `peer` and sends the response through `sender`.
    ///
    /// # Errors
    /// Fails if the request is malformed or the connection fails.
    pub async fn serve<S: AsyncWrite>(
        &self,
        payload: Payload,
        peer: &str,
        sender: &mut FrameSender<S>,
    ) -> Result<(), ChannelError> {
        match payload {
            Payload::ChunkRequest(request) => {
                let manifest = parse_digest(&request.manifest)?;
                self.record_peer_bitmap(manifest, peer, &request.bitmap);
                self.send_chunk(&request, manifest, peer, sender).await
            }
            Payload::HeldChunksRequest(request) => {
                let manifest = parse_digest(&request.manifest)?;
                self.record_peer_bitmap(manifest, peer, &request.bitmap);
                sender.send(self.held_chunks(manifest)).await
            }
            Payload::ManifestRequest(request) => {
                let manifest = parse_digest(&request.manifest)?;
                let held = self.driver.lock_plan().store().manifest(manifest).cloned();
                let response = held.map_or(not_held(Duration::ZERO), |manifest| {
                    Payload::ManifestResponse(ManifestResponse { value: manifest.to_bytes() })
                });
                sender.send(response).await
            }
            _ => Err(ChannelError::Unexpected),
        }
    }

    fn record_peer_bitmap(&self, manifest: ContentDigest, peer: &str, bitmap: &[u8]) {
        if !bitmap.is_empty() {
            let now = self.driver.now();
            self.driver.lock_plan().record_held_chunks(now, manifest, peer, bitmap, 0);
            self.driver.poll_plan();
        }
    }

    fn held_chunks(&self, manifest: ContentDigest) -> Payload {
        let plan = self.driver.lock_plan();
        if plan.store().manifest(manifest).is_none() {
            return not_held(Duration::ZERO);
        }
        Payload::HeldChunks(HeldChunks {
            manifest: to_bytes(manifest),
            bitmap: plan.bitmap(manifest),
            queued: plan.queued_uploads(),
        })
    }

    async fn send_chunk<S: AsyncWrite>(
        &self,
        request: &ChunkRequest,
        manifest: ContentDigest,
        peer: &str,
        sender: &mut FrameSender<S>,
    ) -> Result<(), ChannelError> {
        let now = self.driver.now();
        let index = request.index;
        let decision =
            self.driver.lock_plan().serve_chunk(now, manifest, index, peer, &request.bitmap);
        let data = match decision {
            Ok(data) => data,
            Err(FetchFault::RetryAfter(wait)) => return sender.send(not_held(wait)).await,
            Err(_) => return sender.send(not_held(Duration::ZERO)).await,
        };
        let _guard = UploadGuard { driver: &self.driver };
        let wait = self.driver.admit_upload(data.len() as u64);
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        let (bitmap, queued) = {
            let plan = self.driver.lock_plan();
            (plan.bitmap(manifest), plan.queued_uploads())
        };
        let response = ChunkResponse { manifest: to_bytes(manifest), index, data, bitmap, queued };
        sender.send(Payload::ChunkResponse(response)).await
    }
}

impl FrameHandler for ChunkServer {
    fn accepts(&self, payload: &Payload) -> bool {
        Self::accepts(payload)
    }

    fn handle<'a>(
        &'a self,
        payload: Payload,
        channel: &'a mut ServerChannel,
    ) -> BoxFuture<'a, Result<(), ChannelError>> {
        Box::pin(async move {
            let peer = channel.peer_host.clone();
            self.serve(payload, &peer, &mut channel.sender).await
        })
    }
}

/// Response without data. A zero `retry_after` means that the data is not held; otherwise the peer may retry after that
/// time, which is sent as at least 1 ms so that it does not read as zero.
fn not_held(retry_after: Duration) -> Payload {
    let millis = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
    let retry_after_ms = if retry_after.is_zero() { 0 } else { millis.max(1) };
    Payload::NotHeld(NotHeld { retry_after_ms })
}

fn parse_digest(digest: &[u8]) -> Result<ContentDigest, ChannelError> {
    ContentDigest::from_slice(digest).map_err(|_| ChannelError::Unexpected)
}
