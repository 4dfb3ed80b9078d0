//! Messages about chunks and manifests.

use bytes::Bytes;
use prost::Message;

/// Asks which chunks of a manifest an agent holds.
#[derive(Clone, Message, PartialEq)]
pub struct HaveRequest {
    /// Digest of the manifest.
    #[prost(bytes = "bytes", tag = "1")]
    pub manifest: Bytes,
    /// Chunks that the asking agent holds, as in [`Have::bitmap`]; empty if it does not say.
    #[prost(bytes = "bytes", tag = "2")]
    pub bitmap: Bytes,
}

/// Chunks that an agent holds.
#[derive(Clone, Message, PartialEq)]
pub struct Have {
    /// Digest of the manifest.
    #[prost(bytes = "bytes", tag = "1")]
    pub manifest: Bytes,
    /// One bit a chunk, lowest bit first.
    #[prost(bytes = "bytes", tag = "2")]
    pub bitmap: Bytes,
    /// Requests for chunks that wait at the sender.
    #[prost(uint32, tag = "3")]
    pub queued: u32,
}

/// Asks for a chunk.
#[derive(Clone, Message, PartialEq)]
pub struct ChunkRequest {
    /// Digest of the manifest.
    #[prost(bytes = "bytes", tag = "1")]
    pub manifest: Bytes,
    /// Index of the chunk in the manifest.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// Chunks that the asking agent holds, as in [`Have::bitmap`]; empty if it does not say.
    #[prost(bytes = "bytes", tag = "3")]
    pub bitmap: Bytes,
}

/// A chunk.
#[derive(Clone, Message, PartialEq)]
pub struct ChunkReply {
    /// Digest of the manifest.
    #[prost(bytes = "bytes", tag = "1")]
    pub manifest: Bytes,
    /// Index of the chunk in the manifest.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// Bytes of the chunk.
    #[prost(bytes = "bytes", tag = "3")]
    pub data: Bytes,
    /// Chunks that the sender holds, as in [`Have::bitmap`]; empty if it does not say.
    #[prost(bytes = "bytes", tag = "4")]
    pub bitmap: Bytes,
    /// Requests for chunks that wait at the sender.
    #[prost(uint32, tag = "5")]
    pub queued: u32,
}

/// Asks for a manifest.
#[derive(Clone, Message, PartialEq)]
pub struct ManifestRequest {
    /// Digest of the manifest.
    #[prost(bytes = "bytes", tag = "1")]
    pub manifest: Bytes,
}

/// A manifest.
#[derive(Clone, Message, PartialEq)]
pub struct ManifestReply {
    /// Bytes of the manifest.
    #[prost(bytes = "bytes", tag = "1")]
    pub value: Bytes,
}
