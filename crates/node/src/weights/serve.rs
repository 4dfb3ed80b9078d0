//! Gives chunks and manifests to other agents, within the upload budget and the link.

use std::{sync::Arc, time::Duration};

use base::ContentDigest;
use futures_util::future::BoxFuture;
use tokio::io::AsyncWrite;
use weights::FetchFault;
use wire::{
    ChannelError, ChunkReply, ChunkRequest, FrameSender, Have, ManifestReply, NotHeld, Payload,
};

use super::transfer::{TransferShell, to_bytes};
use crate::server::{FrameHandler, ServerChannel};

/// Handles questions of other agents about weights.
pub struct ChunkServer {
    shell: Arc<TransferShell>,
}

/// Ends a booked upload on every path, also when the connection breaks and the task is dropped.
struct BookedUpload<'a> {
    shell: &'a TransferShell,
}

impl Drop for BookedUpload<'_> {
    fn drop(&mut self) {
        self.shell.lock_plan().finish_upload();
    }
}

impl ChunkServer {
    /// Creates the server of a host's chunks.
    #[must_use]
    pub fn new(shell: Arc<TransferShell>) -> Arc<Self> {
        Arc::new(Self { shell })
    }

    /// True if `payload` is a question about weights.
    #[must_use]
    pub fn accepts(payload: &Payload) -> bool {
        matches!(
            payload,
            Payload::HaveRequest(_) | Payload::ChunkRequest(_) | Payload::ManifestRequest(_)
        )
    }

    /// Answers one message of `peer`.
    ///
    /// # Errors
    /// Fails if the message is malformed or the connection breaks.
    pub async fn serve<S: AsyncWrite>(
        &self,
        payload: Payload,
        peer: &str,
        sender: &mut FrameSender<S>,
    ) -> Result<(), ChannelError> {
        match payload {
            Payload::ChunkRequest(request) => {
                let manifest = parse(&request.manifest)?;
                self.record_have(manifest, peer, &request.bitmap);
                self.send_chunk(&request, manifest, peer, sender).await
            }
            Payload::HaveRequest(request) => {
                let manifest = parse(&request.manifest)?;
                self.record_have(manifest, peer, &request.bitmap);
                sender.send(self.have(manifest)).await
            }
            Payload::ManifestRequest(request) => {
                let manifest = parse(&request.manifest)?;
                let held = self.shell.lock_plan().store().manifest(manifest).cloned();
                let answer = held.map_or(not_held(Duration::ZERO), |manifest| {
                    Payload::ManifestReply(ManifestReply { value: manifest.to_bytes() })
                });
                sender.send(answer).await
            }
            _ => Err(ChannelError::Unexpected),
        }
    }

    fn record_have(&self, manifest: ContentDigest, peer: &str, bitmap: &[u8]) {
        if !bitmap.is_empty() {
            let now = self.shell.now();
            self.shell.lock_plan().record_have(now, manifest, peer, bitmap, 0);
            self.shell.drive();
        }
    }

    fn have(&self, manifest: ContentDigest) -> Payload {
        let plan = self.shell.lock_plan();
        if plan.store().manifest(manifest).is_none() {
            return not_held(Duration::ZERO);
        }
        Payload::Have(Have {
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
        let now = self.shell.now();
        let index = request.index;
        let decision =
            self.shell.lock_plan().serve_chunk(now, manifest, index, peer, &request.bitmap);
        let data = match decision {
            Ok(data) => data,
            Err(FetchFault::RetryAfter(wait)) => return sender.send(not_held(wait)).await,
            Err(_) => return sender.send(not_held(Duration::ZERO)).await,
        };
        let _booked = BookedUpload { shell: &self.shell };
        let wait = self.shell.admit_upload(data.len() as u64);
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        let (bitmap, queued) = {
            let plan = self.shell.lock_plan();
            (plan.bitmap(manifest), plan.queued_uploads())
        };
        let reply = ChunkReply { manifest: to_bytes(manifest), index, data, bitmap, queued };
        sender.send(Payload::ChunkReply(reply)).await
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

/// Zero means that the chunk is not held; anything else that the peer may come back after that time.
fn not_held(retry_after: Duration) -> Payload {
    let millis = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
    let retry_after_ms = if retry_after.is_zero() { 0 } else { millis.max(1) };
    Payload::NotHeld(NotHeld { retry_after_ms })
}

fn parse(digest: &[u8]) -> Result<ContentDigest, ChannelError> {
    ContentDigest::from_slice(digest).map_err(|_| ChannelError::Unexpected)
}
