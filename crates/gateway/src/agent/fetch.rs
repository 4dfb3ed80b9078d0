//! Fetches manifests and chunks from the origin and from other agents.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use chunks::{ChunkFetch, ChunkIndex, ChunkManifest, ChunkSource, WeightsId};
use log::{info, warn};
use rand::seq::IndexedRandom;
use tokio::time::timeout;
use wire::{ChunkListRequest, IndexedChunkRequest, Payload};

use super::shared::{AgentAssignment, AgentShared};

const MANIFEST_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout for fetching a chunk: about ten times its transfer time on an idle link, because up to three chunks may be
/// queued ahead of it.
const CHUNK_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum number of agents that read the manifest from the origin; the others request it from an agent. A manifest is
/// a few kilobytes long.
const MAX_MANIFEST_READERS: usize = 32;

/// Result of fetching a chunk.
pub(super) enum FetchOutcome {
    Fetched(Bytes),
    Busy,
    Failed,
    Mismatch,
}

/// Fetches the manifest, which lists the digests of all chunks, from the origin or from another agent. `position` is
/// the position of this agent in the order in which the engines load.
pub(super) async fn fetch_manifest(
    shared: &AgentShared,
    assignment: &AgentAssignment,
    position: u32,
) -> Option<ChunkManifest> {
    let reads_from_origin =
        assignment.agents.len() < MAX_MANIFEST_READERS || position < MAX_MANIFEST_READERS as u32;
    if reads_from_origin && let Some((origin, _)) = &assignment.origin {
        match timeout(MANIFEST_TIMEOUT, shared.ports.origin.digests(*origin, &assignment.weights))
            .await
        {
            Ok(Ok(digests)) if digests.len() == assignment.chunk_count as usize => {
                return Some(ChunkManifest { name: assignment.weights.clone(), digests });
            }
            Ok(Ok(digests)) => {
                warn!(
                    "event=list_refused pieces={} expected={}",
                    digests.len(),
                    assignment.chunk_count
                )
            }
            Ok(Err(error)) => warn!("event=list_failed error=\"{error}\""),
            Err(_) => warn!("event=list_failed error=\"timeout\""),
        }
    }
    let peer = assignment.agents.choose(&mut rand::rng())?.address;
    let request = ChunkListRequest {
        model: assignment.weights.model.to_string(),
        version: assignment.weights.version,
    };
    let reply =
        shared.client.call(peer, Payload::ChunkListRequest(request), MANIFEST_TIMEOUT).await;
    let Ok(Payload::ChunkListResponse(reply)) = reply else { return None };
    let digests: Option<Vec<_>> =
        reply.digests.iter().map(|digest| digest.as_ref().try_into().ok()).collect();
    let digests = digests.filter(|digests| digests.len() == assignment.chunk_count as usize)?;
    (assignment.chunk_count > 0)
        .then(|| ChunkManifest { name: assignment.weights.clone(), digests })
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
