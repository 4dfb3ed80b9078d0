//! Limits of a transfer, and the actions that its driver executes.

use std::time::Duration;

use base::{ContentDigest, HostId};

use crate::sources::ChunkSource;

/// Id of a fetch, unique within a [`FetchPlan`](crate::FetchPlan).
pub type FetchId = u64;

/// Limits and timing of a transfer.
#[derive(Clone, Debug)]
pub struct TransferOptions {
    /// Speed of the host's link in bytes per second; delays and timeouts are derived from it.
    pub link_bytes_per_s: u64,
    /// Maximum number of fetches in flight. Must be large enough for a chunk to wait at its sender while another
    /// arrives.
    pub max_in_flight: usize,
    /// Maximum number of fetches in flight from one peer.
    pub max_per_peer: u32,
    /// Maximum number of fetches in flight from the origin.
    pub max_from_origin: u32,
    /// Minimum timeout of a fetch.
    pub min_fetch_timeout: Duration,
    /// Minimum interval between two queries to a peer for the chunks it holds.
    pub min_holdings_interval: Duration,
    /// Number of weight stores and origins in the settings.
    pub origins: usize,
}

impl Default for TransferOptions {
    fn default() -> Self {
        Self {
            link_bytes_per_s: 125_000_000,
            max_in_flight: 6,
            max_per_peer: 3,
            max_from_origin: 2,
            min_fetch_timeout: Duration::from_millis(150),
            min_holdings_interval: Duration::from_millis(25),
            origins: 1,
        }
    }
}

/// Action of a transfer for the driver to execute.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FetchAction {
    /// Fetch a manifest.
    Manifest {
        /// Digest of the manifest.
        manifest: ContentDigest,
        /// Source to fetch from.
        source: ChunkSource,
        /// Id of the fetch, to be passed back with its result.
        id: FetchId,
    },
    /// Fetch a chunk.
    Chunk {
        /// Digest of the manifest.
        manifest: ContentDigest,
        /// Index of the chunk in the manifest.
        index: u32,
        /// Source to fetch from.
        source: ChunkSource,
        /// Id of the fetch, to be passed back with its result.
        id: FetchId,
    },
    /// Query a peer for the chunks it holds.
    HeldChunks {
        /// Digest of the manifest.
        manifest: ContentDigest,
        /// Peer to query.
        peer: HostId,
    },
    /// Cancel a fetch: close its connection and do not report a result.
    Cancel {
        /// Id of the fetch.
        id: FetchId,
    },
}
