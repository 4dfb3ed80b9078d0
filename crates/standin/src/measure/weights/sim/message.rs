//! Events of the simulated fleet, ordered by time: messages between hosts, and faults.

use std::{sync::Arc, time::Duration};

use base::ContentDigest;
use bytes::Bytes;
use weights::{ChunkManifest, FetchFault, FetchId};

#[derive(Debug)]
pub(super) enum Message {
    Tick,
    HeldChunks {
        from: usize,
        manifest: ContentDigest,
        bitmap: Bytes,
    },
    HeldChunksResponse {
        from: usize,
        manifest: ContentDigest,
        bitmap: Option<Bytes>,
        queued: u32,
    },
    Chunk {
        from: usize,
        manifest: ContentDigest,
        index: u32,
        id: FetchId,
        bitmap: Bytes,
    },
    UploadDone,
    /// The last byte of a chunk has reached the host's incoming link.
    Arrival(Box<Message>),
    ChunkResponse {
        from: Option<usize>,
        manifest: ContentDigest,
        index: u32,
        id: FetchId,
        data: Result<Bytes, FetchFault>,
        bitmap: Bytes,
        queued: u32,
    },
    Manifest {
        from: usize,
        manifest: ContentDigest,
        id: FetchId,
    },
    ManifestResponse {
        manifest: ContentDigest,
        id: FetchId,
        result: Result<Arc<ChunkManifest>, FetchFault>,
    },
    Fault(SimFault),
}

#[derive(Clone, Copy, Debug)]
pub(super) enum SimFault {
    Stall(Duration),
    Kill,
    Restart,
    Pause(Duration),
    PartitionRegion(bool),
    SetTarget(usize),
}

pub(super) struct Event {
    pub at: Duration,
    pub order: u64,
    pub host: usize,
    pub message: Message,
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

impl Event {
    pub fn is_fault(&self) -> bool {
        matches!(self.message, Message::Fault(_))
    }
}
