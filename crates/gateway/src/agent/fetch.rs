//! Fetches lists of digests and pieces from the origin and from other agents.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use log::{info, warn};
use pieces::{PieceIndex, PieceList, PieceSource, SwarmFetch, WeightsName};
use rand::seq::IndexedRandom;
use tokio::time::timeout;
use wire::{Payload, PieceListRequest, PieceRequest};

use super::shared::{AgentBrief, AgentShared};

const LIST_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest time for a piece: about ten times what it takes on an idle link, since three may wait before it.
const PIECE_TIMEOUT: Duration = Duration::from_millis(900);
/// Agents up to which all of them read the list of pieces at the origin: it has a few kilobytes.
const MAX_LIST_READERS: usize = 32;

/// How a fetch ended.
pub(super) enum FetchEnd {
    Fetched(Bytes),
    Busy,
    Failed,
    Mismatch,
}

/// Reads the digests of all pieces from the origin or another agent.
pub(super) async fn fetch_list(
    shared: &AgentShared,
    brief: &AgentBrief,
    place: u32,
) -> Option<PieceList> {
    let is_reader = brief.agents.len() < MAX_LIST_READERS || place < MAX_LIST_READERS as u32;
    if is_reader && let Some((origin, _)) = &brief.origin {
        match timeout(LIST_TIMEOUT, shared.ports.origin.digests(*origin, &brief.name)).await {
            Ok(Ok(digests)) if digests.len() == brief.piece_count as usize => {
                return Some(PieceList { name: brief.name.clone(), digests });
            }
            Ok(Ok(digests)) => {
                warn!("event=list_refused pieces={} expected={}", digests.len(), brief.piece_count)
            }
            Ok(Err(error)) => warn!("event=list_failed error=\"{error}\""),
            Err(_) => warn!("event=list_failed error=\"timeout\""),
        }
    }
    let peer = brief.agents.choose(&mut rand::rng())?.address;
    let request =
        PieceListRequest { model: brief.name.model.to_string(), version: brief.name.version };
    let reply = shared.client.call(peer, Payload::PieceListRequest(request), LIST_TIMEOUT).await;
    let Ok(Payload::PieceListReply(reply)) = reply else { return None };
    let digests: Option<Vec<_>> =
        reply.digests.iter().map(|digest| digest.as_ref().try_into().ok()).collect();
    let digests = digests.filter(|digests| digests.len() == brief.piece_count as usize)?;
    (brief.piece_count > 0).then(|| PieceList { name: brief.name.clone(), digests })
}

/// Gets a piece and verifies it.
pub(super) async fn fetch_piece(
    shared: &AgentShared,
    name: &WeightsName,
    fetch: SwarmFetch,
    origin: Option<SocketAddr>,
) -> FetchEnd {
    let bytes = match fetch.source {
        PieceSource::Peer(peer) => {
            let request = PieceRequest {
                model: name.model.to_string(),
                version: name.version,
                index: fetch.index,
            };
            match shared.client.call(peer, Payload::PieceRequest(request), PIECE_TIMEOUT).await {
                Ok(Payload::PieceReply(reply)) => match reply.bytes {
                    Some(bytes) => bytes,
                    None if reply.busy => return FetchEnd::Busy,
                    None => return FetchEnd::Failed,
                },
                Ok(_) => return FetchEnd::Failed,
                Err(error) => {
                    info!(
                        "event=fetch_failed piece={} source={peer} error=\"{error}\"",
                        fetch.index
                    );
                    return FetchEnd::Failed;
                }
            }
        }
        PieceSource::Origin => match fetch_from_origin(shared, name, fetch.index, origin).await {
            Some(bytes) => bytes,
            None => return FetchEnd::Failed,
        },
    };
    let is_whole = shared
        .transfers()
        .get(name)
        .is_some_and(|slot| slot.swarm.list().verify(fetch.index, &bytes));
    if is_whole {
        return FetchEnd::Fetched(bytes);
    }
    info!(
        "event=piece_refused piece={} source={:?} bytes={}",
        fetch.index,
        fetch.source,
        bytes.len()
    );
    FetchEnd::Mismatch
}

async fn fetch_from_origin(
    shared: &AgentShared,
    name: &WeightsName,
    index: PieceIndex,
    origin: Option<SocketAddr>,
) -> Option<Bytes> {
    shared.metrics.count("origin_pieces_total");
    match timeout(PIECE_TIMEOUT, shared.ports.origin.piece(origin?, name, index)).await {
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
