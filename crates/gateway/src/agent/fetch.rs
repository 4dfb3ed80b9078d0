//! Fetches manifests and chunks from the origin and from other agents.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use chunks::{ChunkFetch, ChunkIndex, ChunkManifest, ChunkSource, ManifestSource, WeightsId};
use log::{info, warn};
use tokio::time::timeout;
use wire::{ChunkListRequest, IndexedChunkRequest, Payload};

use super::shared::AgentShared;

const MANIFEST_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout for reading the manifest from the origin. Four readers of a manifest of 6 kilobytes take 50 ms on an origin of
/// 4.4 Mbit/s. A longer timeout would delay the next probe of an origin that accepts connections and does not respond.
const ORIGIN_MANIFEST_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for fetching a chunk: about ten times its transfer time on an idle link, because up to three chunks may be
/// queued ahead of it.
const CHUNK_TIMEOUT: Duration = Duration::from_millis(900);
/// Result of fetching a chunk.
pub(super) enum FetchOutcome {
    Fetched(Bytes),
    Busy,
    Failed,
    Mismatch,
}

/// Fetches the manifest, which lists the digests of all `chunk_count` chunks, from one source.
pub(super) async fn fetch_manifest(
    shared: &AgentShared,
    weights: &WeightsId,
    chunk_count: u32,
    source: ManifestSource,
    origin: Option<SocketAddr>,
) -> Option<ChunkManifest> {
    let digests = match source {
        ManifestSource::Origin => {
            shared.metrics.count("origin_manifests_total");
            let read = shared.ports.origin.digests(origin?, weights);
            match timeout(ORIGIN_MANIFEST_TIMEOUT, read).await {
                Ok(Ok(digests)) => digests,
                Ok(Err(error)) => {
                    warn!("event=list_failed error=\"{error}\"");
                    return None;
                }
                Err(_) => {
                    warn!("event=list_failed error=\"timeout\"");
                    return None;
                }
            }
        }
        ManifestSource::Peer(peer) => {
            let request =
                ChunkListRequest { model: weights.model.to_string(), version: weights.version };
            let call =
                shared.client.call(peer, Payload::ChunkListRequest(request), MANIFEST_TIMEOUT);
            match call.await {
                Ok(Payload::ChunkListResponse(reply)) if !reply.digests.is_empty() => {
                    let digests =
                        reply.digests.iter().map(|digest| digest.as_ref().try_into().ok());
                    digests.collect::<Option<Vec<_>>>()?
                }
                Ok(_) => return None,
                Err(error) => {
                    info!("event=list_failed source={peer} error=\"{error}\"");
                    return None;
                }
            }
        }
    };
    if digests.len() != chunk_count as usize || digests.is_empty() {
        let pieces = digests.len();
        warn!("event=list_refused pieces={pieces} expected={chunk_count}");
        return None;
    }
    Some(ChunkManifest { name: weights.clone(), digests })
}

/// Fetches a chunk and verifies it.
pub(super) async fn fetch_chunk(
    shared: &AgentShared,
    weights: &WeightsId,
    fetch: ChunkFetch,
    origin: Option<SocketAddr>,
) -> FetchOutcome {
    let bytes = match fetch.source {
        ChunkSource::Peer(peer) => {
            let request = IndexedChunkRequest {
                model: weights.model.to_string(),
                version: weights.version,
                index: fetch.index,
            };
            match shared
                .client
                .call(peer, Payload::IndexedChunkRequest(request), CHUNK_TIMEOUT)
                .await
            {
                Ok(Payload::IndexedChunkResponse(reply)) => match reply.bytes {
                    Some(bytes) => bytes,
                    None if reply.busy => return FetchOutcome::Busy,
                    None => return FetchOutcome::Failed,
                },
                Ok(_) => return FetchOutcome::Failed,
                Err(error) => {
                    info!(
                        "event=fetch_failed piece={} source={peer} error=\"{error}\"",
                        fetch.index
                    );
                    return FetchOutcome::Failed;
                }
            }
        }
        ChunkSource::Origin => match read_from_origin(shared, weights, fetch.index, origin).await {
            Some(bytes) => bytes,
            None => return FetchOutcome::Failed,
        },
    };
    let is_valid = shared
        .transfers()
        .get(weights)
        .is_some_and(|transfer| transfer.swarm.manifest().verify(fetch.index, &bytes));
    if is_valid {
        return FetchOutcome::Fetched(bytes);
    }
    info!(
        "event=piece_refused piece={} source={:?} bytes={}",
        fetch.index,
        fetch.source,
        bytes.len()
    );
    FetchOutcome::Mismatch
}

async fn read_from_origin(
    shared: &AgentShared,
    weights: &WeightsId,
    index: ChunkIndex,
    origin: Option<SocketAddr>,
) -> Option<Bytes> {
    shared.metrics.count("origin_pieces_total");
    match timeout(CHUNK_TIMEOUT, shared.ports.origin.chunk(origin?, weights, index)).await {
        Ok(Ok(bytes)) => Some(bytes),
        Ok(Err(error)) => {
            info!("event=fetch_failed piece={index} source=origin error=\"{error}\"");
            None
        }
        Err(_) => {
            info!("event=fetch_failed piece={index} source=origin error=\"timeout\"");
            None
        }
    }
}
