//! Verified chunks in memory, by digest.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use base::ContentDigest;
use bytes::Bytes;
use snafu::{Snafu, ensure};

use crate::{bitmap::ChunkSet, manifest::ChunkManifest, sources::FetchFault};

/// Why the store refuses a chunk or a manifest.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum StoreError {
    /// The chunk would exceed the memory bound.
    #[snafu(display("chunk of {size} bytes exceeds the memory bound of {bound} bytes"))]
    Full {
        /// Size of the chunk in bytes.
        size: u64,
        /// Memory bound in bytes.
        bound: u64,
    },
    /// No manifest held by the store lists the chunk.
    #[snafu(display("chunk {digest} belongs to no wanted manifest"))]
    NotWanted {
        /// Digest of the chunk.
        digest: ContentDigest,
    },
}

/// Bytes whose digest has been checked. The only way to obtain one is [`VerifiedChunk::verify`], so the store cannot
/// hold anything else.
#[derive(Clone, Debug)]
pub struct VerifiedChunk {
    digest: ContentDigest,
    data: Bytes,
}

impl VerifiedChunk {
    /// Checks `data` against chunk `index` of `manifest`. Hashing is the costly part of receiving a chunk; shells run
    /// it outside the control thread.
    ///
    /// # Errors
    /// Fails with [`FetchFault::Truncated`] on a wrong length and [`FetchFault::Corrupt`] on a wrong digest.
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

    /// Digest of the chunk.
    #[must_use]
    pub fn digest(&self) -> ContentDigest {
        self.digest
    }
}

/// Chunks of the manifests that the placement wants, within a memory bound.
#[derive(Debug)]
pub struct ChunkStore {
    bound_bytes: u64,
    held_bytes: u64,
    chunks: HashMap<ContentDigest, Bytes>,
    manifests: HashMap<ContentDigest, Arc<ChunkManifest>>,
}

impl ChunkStore {
    /// Creates an empty store that holds at most `bound_bytes` of chunks.
    #[must_use]
    pub fn new(bound_bytes: u64) -> Self {
        Self { bound_bytes, held_bytes: 0, chunks: HashMap::new(), manifests: HashMap::new() }
    }

    /// Adds a manifest whose chunks may be inserted from now on; returns its digest.
    pub fn add_manifest(&mut self, manifest: Arc<ChunkManifest>) -> ContentDigest {
        let digest = manifest.digest();
        self.manifests.insert(digest, manifest);
        digest
    }

    /// The manifest of this digest.
    #[must_use]
    pub fn manifest(&self, digest: ContentDigest) -> Option<&Arc<ChunkManifest>> {
        self.manifests.get(&digest)
    }

    /// Drops manifests that `wanted` does not list, and chunks that no remaining manifest lists. Returns the number of
    /// chunks dropped.
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

    /// Adds a chunk. A chunk that is already held is accepted and changes nothing.
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

    /// Bytes of chunk `index` of a manifest.
    #[must_use]
    pub fn chunk(&self, manifest: ContentDigest, index: u32) -> Option<Bytes> {
        let digest = self.manifests.get(&manifest)?.chunk_digest(index)?;
        self.chunks.get(&digest).cloned()
    }

    /// Chunks of a manifest that are held; `None` if the manifest is not held.
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

    /// All chunks of a manifest in order; `None` unless every one of them is held.
    #[must_use]
    pub fn whole(&self, manifest: ContentDigest) -> Option<Vec<Bytes>> {
        let manifest = self.manifests.get(&manifest)?;
        manifest.chunks().iter().map(|digest| self.chunks.get(digest).cloned()).collect()
    }

    /// True if every chunk of the manifest is held.
    #[must_use]
    pub fn is_whole(&self, manifest: ContentDigest) -> bool {
        self.manifests.get(&manifest).is_some_and(|manifest| {
            manifest.chunks().iter().all(|digest| self.chunks.contains_key(digest))
        })
    }

    /// Bytes of all chunks held.
    #[must_use]
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Memory bound in bytes.
    #[must_use]
    pub fn bound_bytes(&self) -> u64 {
        self.bound_bytes
    }
}
