//! What a transfer may use, and what its shell has to do.

use std::time::Duration;

use base::{ContentDigest, HostId};

use crate::sources::ChunkSource;

/// Handle of one fetch.
pub type FetchTicket = u64;

/// Limits and time spans of a transfer.
#[derive(Clone, Debug)]
pub struct TransferOptions {
    /// Speed of the host's link in bytes per second; time spans follow from it.
    pub link_bytes_per_s: u64,
    /// Fetches in flight at most. Enough for a chunk to wait at a sender while another one arrives.
    pub max_in_flight: usize,
    /// Fetches in flight from one peer at most.
    pub max_per_peer: u32,
    /// Fetches in flight from the origin at most.
    pub max_from_origin: u32,
    /// Shortest time after which a fetch counts as stalled.
    pub min_stall: Duration,
    /// Shortest interval between two questions to a peer about its chunks.
    pub min_have_interval: Duration,
    /// Number of stores and origins in the settings.
    pub origins: usize,
}

impl Default for TransferOptions {
    fn default() -> Self {
        Self {
            link_bytes_per_s: 125_000_000,
            max_in_flight: 6,
            max_per_peer: 3,
            max_from_origin: 2,
            min_stall: Duration::from_millis(150),
            min_have_interval: Duration::from_millis(25),
            origins: 1,
        }
    }
}

/// What the shell has to do for transfers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FetchAction {
    /// Ask a source for the manifest.
    Manifest {
        /// Digest of the manifest.
        manifest: ContentDigest,
        /// Where to ask.
        source: ChunkSource,
        /// Handle for the result.
        ticket: FetchTicket,
    },
    /// Ask a source for a chunk.
    Chunk {
        /// Digest of the manifest.
        manifest: ContentDigest,
        /// Index of the chunk.
        index: u32,
        /// Where to ask.
        source: ChunkSource,
        /// Handle for the result.
        ticket: FetchTicket,
    },
    /// Ask a peer which chunks it holds.
    Have {
        /// Digest of the manifest.
        manifest: ContentDigest,
        /// Peer to ask.
        peer: HostId,
    },
    /// Abandon a fetch: close its connection and report nothing more.
    Cancel {
        /// Handle of the fetch.
        ticket: FetchTicket,
    },
}
