//! Fetches of chunks, and the agents and limits that they depend on.

use std::net::SocketAddr;

use base::{DataCentreId, RegionId};
use serde::{Deserialize, Serialize};

use crate::manifest::ChunkIndex;

/// Identifies a fetch within a swarm.
pub type FetchId = u64;

/// Limits on concurrent fetches.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SwarmOptions {
    /// Maximum number of fetches in flight. A source may have a few chunks queued, and its link must not idle meanwhile.
    pub max_in_flight: usize,
    /// Maximum number of fetches in flight from one peer.
    pub max_per_peer: usize,
    /// Maximum number of fetches in flight from the origin.
    pub max_from_origin: usize,
}

impl Default for SwarmOptions {
    fn default() -> Self {
        Self { max_in_flight: 4, max_per_peer: 1, max_from_origin: 1 }
    }
}

/// An agent that takes part in a transfer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SwarmPeer {
    /// Address for messages between processes; identifies the agent.
    pub address: SocketAddr,
    /// Data centre in which the agent runs.
    pub data_centre: DataCentreId,
    /// Region in which the agent runs.
    pub region: RegionId,
}

/// Source from which a chunk is fetched.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum ChunkSource {
    /// Another agent, by its address.
    Peer(SocketAddr),
    /// The origin of weights.
    Origin,
}

/// A fetch that the caller of [`ChunkSwarm::next_fetches`] has to carry out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChunkFetch {
    /// Identifies the fetch when its result is recorded.
    pub id: FetchId,
    /// Number of the chunk to fetch.
    pub index: ChunkIndex,
    /// Source to fetch it from.
    pub source: ChunkSource,
}

/// Why a fetch failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FetchFailure {
    /// The source declined because it is busy.
    Busy,
    /// The source sent bytes that do not match the digest.
    Corrupt,
    /// The source did not respond, broke the connection or does not hold the chunk.
    Failed,
}
