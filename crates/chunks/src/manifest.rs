//! Manifest of a version's chunks, and sets of chunks.

use base::ModelId;
use bytes::Bytes;
use fleet::WeightsVersion;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Number of a chunk within a version, starting at 0.
pub type ChunkIndex = u32;
/// SHA-256 digest of a chunk.
pub type ChunkDigest = [u8; 32];

/// Identifies one version of a model's weights.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct WeightsId {
    /// Model to which the weights belong.
    pub model: ModelId,
    /// Version of the weights.
    pub version: WeightsVersion,
}

/// Digests of all chunks of one version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChunkManifest {
    /// Version that the manifest describes.
    pub name: WeightsId,
    /// Digest of each chunk, by chunk number.
    pub digests: Vec<ChunkDigest>,
}

impl ChunkManifest {
    /// Number of chunks.
    #[must_use]
    pub fn len(&self) -> u32 {
        u32::try_from(self.digests.len()).unwrap_or(u32::MAX)
    }

    /// True if there are no chunks.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.digests.is_empty()
    }

    /// True if `bytes` match the digest of chunk `index`; false if there is no such chunk.
    #[must_use]
    pub fn verify(&self, index: ChunkIndex, bytes: &Bytes) -> bool {
        self.digests.get(index as usize).is_some_and(|digest| verify_chunk(digest, bytes))
    }
}

/// True if the SHA-256 of `bytes` is `digest`.
#[must_use]
pub fn verify_chunk(digest: &ChunkDigest, bytes: &[u8]) -> bool {
    Sha256::digest(bytes).as_slice() == digest
}

/// Set of chunk numbers, stored as a bitmap.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChunkSet {
    bits: Vec<u8>,
}

impl ChunkSet {
    /// Creates an empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a set from the bytes of [`ChunkSet::as_bytes`].
    #[must_use]
    pub fn with_bytes(bits: Vec<u8>) -> Self {
        Self { bits }
    }

    /// Bitmap of the set. The lowest bit of the first byte is chunk 0.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.bits
    }

    /// True if the chunk is in the set.
    #[must_use]
    pub fn contains(&self, index: ChunkIndex) -> bool {
        self.bits.get((index / 8) as usize).is_some_and(|byte| byte & (1 << (index % 8)) != 0)
    }

    /// Adds a chunk; true if it was not in the set.
    pub fn insert(&mut self, index: ChunkIndex) -> bool {
        let byte = (index / 8) as usize;
        if self.bits.len() <= byte {
            self.bits.resize(byte + 1, 0);
        }
        let is_new = !self.contains(index);
        self.bits[byte] |= 1 << (index % 8);
        is_new
    }

    /// Removes a chunk; does nothing if it is not in the set.
    pub fn remove(&mut self, index: ChunkIndex) {
        if let Some(byte) = self.bits.get_mut((index / 8) as usize) {
            *byte &= !(1 << (index % 8));
        }
    }

    /// Chunks in the set, in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = ChunkIndex> {
        let end = u32::try_from(self.bits.len() * 8).unwrap_or(u32::MAX);
        (0..end).filter(|index| self.contains(*index))
    }

    /// Number of chunks in the set.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.bits.iter().map(|byte| byte.count_ones()).sum()
    }
}
