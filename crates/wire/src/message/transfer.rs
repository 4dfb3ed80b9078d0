//! Messages for the transfer of chunks and manifests between agents.

use bytes::Bytes;
use prost::Message;

/// Requests the set of chunks of a manifest that an agent holds.
#[derive(Clone, Message, PartialEq)]
pub struct HeldChunksRequest {
    /// Digest of the manifest.
    #[prost(bytes = "bytes", tag = "1")]
    pub manifest: Bytes,
    /// Chunks that the sender holds, encoded as in [`HeldChunks::bitmap`]; empty if unspecified.
    #[prost(bytes = "bytes", tag = "2")]
    pub bitmap: Bytes,
}

/// Response to [`HeldChunksRequest`]: the set of chunks that an agent holds.
#[derive(Clone, Message, PartialEq)]
pub struct HeldChunks {
    /// Digest of the manifest.
    #[prost(bytes = "bytes", tag = "1")]
    pub manifest: Bytes,
    /// Bitmap with one bit per chunk, least significant bit first.
    #[prost(bytes = "bytes", tag = "2")]
    pub bitmap: Bytes,
    /// Number of chunk requests that are queued or being served at the sender.
    #[prost(uint32, tag = "3")]
    pub queued: u32,
}

/// Requests a chunk.
#[derive(Clone, Message, PartialEq)]
pub struct ChunkRequest {
    /// Digest of the manifest.
    #[prost(bytes = "bytes", tag = "1")]
    pub manifest: Bytes,
    /// Index of the chunk in the manifest.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// Chunks that the sender holds, encoded as in [`HeldChunks::bitmap`]; empty if unspecified.
    #[prost(bytes = "bytes", tag = "3")]
    pub bitmap: Bytes,
}

/// Response to [`ChunkRequest`].
#[derive(Clone, Message, PartialEq)]
pub struct ChunkResponse {
    /// Digest of the manifest.
    #[prost(bytes = "bytes", tag = "1")]
    pub manifest: Bytes,
    /// Index of the chunk in the manifest.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// Content of the chunk; the receiver must verify it against the manifest.
    #[prost(bytes = "bytes", tag = "3")]
    pub data: Bytes,
    /// Chunks that the sender holds, encoded as in [`HeldChunks::bitmap`]; empty if unspecified.
    #[prost(bytes = "bytes", tag = "4")]
    pub bitmap: Bytes,
    /// Number of chunk requests that are queued or being served at the sender.
    #[prost(uint32, tag = "5")]
    pub queued: u32,
}

/// Requests a manifest.
#[derive(Clone, Message, PartialEq)]
pub struct ManifestRequest {
    /// Digest of the manifest.
    #[prost(bytes = "bytes", tag = "1")]
    pub manifest: Bytes,
}

/// Response to [`ManifestRequest`].
#[derive(Clone, Message, PartialEq)]
pub struct ManifestResponse {
    /// Serialized manifest; the receiver must verify its digest.
    #[prost(bytes = "bytes", tag = "1")]
    pub value: Bytes,
}
