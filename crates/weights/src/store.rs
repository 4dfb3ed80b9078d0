//! In-memory store of verified chunks, keyed by digest.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use base::ContentDigest;
use bytes::Bytes;
use snafu::{Snafu, ensure};

use crate::{bitmap::ChunkSet, manifest::ChunkManifest, sources::FetchFault};

/// Reason why the store refuses a chunk.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum StoreError {
    /// Storing the chunk would exceed the memory bound.
    #[snafu(display(
        "storing a chunk of {size} bytes would exceed the memory bound of {bound} bytes"
    ))]
    Full {
        /// Size of the chunk in bytes.
        size: u64,
        /// Memory bound in bytes.
        bound: u64,
    },
    /// The chunk is not part of any manifest in the store.
    #[snafu(display("chunk {digest} is not part of any wanted manifest"))]
    NotWanted {
        /// Digest of the chunk.
        digest: ContentDigest,
    },
}

/// Chunk whose digest has been checked. Since it can only be created by [`VerifiedChunk::verify`], the store never
/// contains unverified data.
#[derive(Clone, Debug)]
pub struct VerifiedChunk {
    digest: ContentDigest,
    data: Bytes,
}

impl VerifiedChunk {
    /// Checks `data` against chunk `index` of `manifest`. Hashing is the most expensive part of receiving a chunk, so
    /// drivers should not call this on the control thread.
    ///
    /// # Errors
    /// Fails with [`FetchFault::Truncated`] if the length is wrong, and with [`FetchFault::Corrupt`] if the digest is
    /// wrong or the manifest has no chunk `index`.
    pub fn verify(manifest: &ChunkManifest, index: u32, data: Bytes) -> Result<Self, FetchFault> {
        let Some(digest) = manifest.chunk_digest(index) else {
            return Err(FetchFault::Corrupt);
        };
        if data.len() as u64 != manifest.chunk_size(index) {
            return Err(FetchFault::Truncated);
        }
        if ContentDigest::of(&data) != digest {
            return Err(FetchFault::Corrupt);
        }
        Ok(Self { digest, data })
    }

    /// Digest of the chunk, as listed in the manifest.
    #[must_use]
    pub fn digest(&self) -> ContentDigest {
        self.digest
    }
}

/// Chunks of the manifests assigned to this host, within a memory bound.
#[derive(Debug)]
pub struct ChunkStore {
    bound_bytes: u64,
    held_bytes: u64,
    chunks: HashMap<ContentDigest, Bytes>,
    manifests: HashMap<ContentDigest, Arc<ChunkManifest>>,
}

impl ChunkStore {
    /// Creates an empty store for at most `bound_bytes` bytes of chunks.
    #[must_use]
    pub fn new(bound_bytes: u64) -> Self {
        Self { bound_bytes, held_bytes: 0, chunks: HashMap::new(), manifests: HashMap::new() }
    }

    /// Adds a manifest, so that its chunks can be inserted, and returns its digest.
    pub fn add_manifest(&mut self, manifest: Arc<ChunkManifest>) -> ContentDigest {
        let digest = manifest.digest();
        self.manifests.insert(digest, manifest);
        digest
    }

    /// Looks up a manifest by digest.
    #[must_use]
    pub fn manifest(&self, digest: ContentDigest) -> Option<&Arc<ChunkManifest>> {
        self.manifests.get(&digest)
    }

    /// Evicts the manifests that are not in `wanted`, and the chunks that no remaining manifest lists. Returns the
    /// number of evicted chunks.
    pub fn retain(&mut self, wanted: &[ContentDigest]) -> usize {
        self.manifests.retain(|digest, _| wanted.contains(digest));
        let listed: HashSet<_> = self
            .manifests
            .values()
            .flat_map(|manifest| manifest.chunks().iter().copied())
            .collect();
        let before = self.chunks.len();
        self.chunks.retain(|digest, _| listed.contains(digest));
        self.held_bytes = self.chunks.values().map(|data| data.len() as u64).sum();
        before - self.chunks.len()
    }

    /// Stores a chunk. Does nothing if the chunk is already stored.
    ///
    /// # Errors
    /// Fails if no manifest lists the chunk or the memory bound would be exceeded.
    pub fn insert(&mut self, chunk: VerifiedChunk) -> Result<(), StoreError> {
        let digest = chunk.digest;
        if self.chunks.contains_key(&digest) {
            return Ok(());
        }
        let wanted = self.manifests.values().any(|manifest| manifest.chunks().contains(&digest));
        ensure!(wanted, NotWantedSnafu { digest });
        let size = chunk.data.len() as u64;
        let bound = self.bound_bytes;
        ensure!(self.held_bytes + size <= bound, FullSnafu { size, bound });
        self.held_bytes += size;
        self.chunks.insert(digest, chunk.data);
        Ok(())
    }

    /// Data of chunk `index` of a manifest; `None` if the chunk or the manifest is not stored.
    #[must_use]
    pub fn chunk(&self, manifest: ContentDigest, index: u32) -> Option<Bytes> {
        let digest = self.manifests.get(&manifest)?.chunk_digest(index)?;
        self.chunks.get(&digest).cloned()
    }

    /// Stored chunks of a manifest; `None` if the manifest is not stored.
    #[must_use]
    pub fn held(&self, manifest: ContentDigest) -> Option<ChunkSet> {
        let manifest = self.manifests.get(&manifest)?;
        let mut held = ChunkSet::new(manifest.chunk_count());
        for (index, digest) in (0..).zip(manifest.chunks()) {
            if self.chunks.contains_key(digest) {
                held.insert(index);
            }
        }
        Some(held)
    }

    /// All chunks of a manifest in order; `None` unless every one of them is stored.
    #[must_use]
    pub fn all_chunks(&self, manifest: ContentDigest) -> Option<Vec<Bytes>> {
        let manifest = self.manifests.get(&manifest)?;
        manifest.chunks().iter().map(|digest| self.chunks.get(digest).cloned()).collect()
    }

    /// True if the manifest and all its chunks are stored.
    #[must_use]
    pub fn is_complete(&self, manifest: ContentDigest) -> bool {
        self.manifests.get(&manifest).is_some_and(|manifest| {
            manifest.chunks().iter().all(|digest| self.chunks.contains_key(digest))
        })
    }

    /// Total size of the stored chunks in bytes.
    #[must_use]
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Maximum total size of the stored chunks in bytes.
    #[must_use]
    pub fn bound_bytes(&self) -> u64 {
        self.bound_bytes
    }
}
