//! Manifests: the chunk lists of versions. A manifest is identified by the digest of its serialized bytes.

use base::ContentDigest;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

/// Reason why a manifest is rejected.
#[derive(Debug, Snafu)]
pub enum ManifestError {
    /// The manifest is larger than [`ChunkManifest::MAX_BYTES`].
    #[snafu(display(
        "manifest of {size} bytes is too large; at most {} bytes are allowed",
        ChunkManifest::MAX_BYTES
    ))]
    TooLarge {
        /// Size of the manifest in bytes.
        size: usize,
    },
    /// The digest of the bytes differs from the requested one.
    #[snafu(display("manifest has digest {found}, expected {expected}"))]
    WrongDigest {
        /// Digest that was requested.
        expected: ContentDigest,
        /// Actual digest of the bytes.
        found: ContentDigest,
    },
    /// The bytes are not valid JSON, or lack a field or have an unknown one.
    #[snafu(display("manifest cannot be parsed: {source}"))]
    Syntax {
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// The chunk size is outside the allowed range.
    #[snafu(display(
        "chunk_bytes = {chunk_bytes} is out of range; 1 to {} is allowed",
        ChunkManifest::MAX_CHUNK_BYTES
    ))]
    ChunkBytes {
        /// Chunk size in bytes.
        chunk_bytes: u64,
    },
    /// The number of chunks is zero, too large, or does not match the sizes.
    #[snafu(display(
        "manifest lists {listed} chunks, but its sizes require {needed}; 1 to {} are allowed",
        ChunkManifest::MAX_CHUNKS
    ))]
    ChunkCount {
        /// Number of chunks in the manifest.
        listed: usize,
        /// Number of chunks that follows from the total size and the chunk size.
        needed: u64,
    },
}

/// List of the chunks of one version of a model or adapter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChunkManifest {
    size_bytes: u64,
    chunk_bytes: u64,
    chunks: Vec<ContentDigest>,
}

impl ChunkManifest {
    /// Maximum size of a serialized manifest in bytes; frames other than chunk frames are limited to this size.
    pub const MAX_BYTES: usize = 2 << 20;
    /// Maximum chunk size in bytes: the 8 MiB of a frame, less 16 KiB for the other fields of the message.
    pub const MAX_CHUNK_BYTES: u64 = (8 << 20) - (16 << 10);
    /// Maximum number of chunks. Each takes 67 bytes in JSON, so that the manifest stays below [`Self::MAX_BYTES`].
    pub const MAX_CHUNKS: usize = 30_000;
    /// Default chunk size in bytes; a publisher may choose another one.
    pub const DEFAULT_CHUNK_BYTES: u64 = 4 << 20;

    /// Builds the manifest of `content`.
    ///
    /// # Errors
    /// Fails if `content` is empty, if `chunk_bytes` is out of range, or if there would be too many chunks.
    pub fn build(content: &[u8], chunk_bytes: u64) -> Result<Self, ManifestError> {
        ensure!(
            (1..=Self::MAX_CHUNK_BYTES).contains(&chunk_bytes),
            ChunkBytesSnafu { chunk_bytes }
        );
        let step = usize::try_from(chunk_bytes).unwrap_or(usize::MAX);
        let chunks = content.chunks(step).map(ContentDigest::of).collect();
        let manifest = Self { size_bytes: content.len() as u64, chunk_bytes, chunks };
        manifest.check()?;
        Ok(manifest)
    }

    /// Parses and validates a manifest from an untrusted source; `expected` is its digest.
    ///
    /// # Errors
    /// Fails if the manifest is too large, has another digest, cannot be parsed, or is inconsistent.
    pub fn parse(bytes: &[u8], expected: ContentDigest) -> Result<Self, ManifestError> {
        ensure!(bytes.len() <= Self::MAX_BYTES, TooLargeSnafu { size: bytes.len() });
        let found = ContentDigest::of(bytes);
        ensure!(found == expected, WrongDigestSnafu { expected, found });
        let manifest: Self = serde_json::from_slice(bytes).context(SyntaxSnafu)?;
        manifest.check()?;
        Ok(manifest)
    }

    fn check(&self) -> Result<(), ManifestError> {
        let chunk_bytes = self.chunk_bytes;
        ensure!(
            (1..=Self::MAX_CHUNK_BYTES).contains(&chunk_bytes),
            ChunkBytesSnafu { chunk_bytes }
        );
        let needed = self.size_bytes.div_ceil(chunk_bytes);
        let listed = self.chunks.len();
        let fits = listed as u64 == needed && (1..=Self::MAX_CHUNKS).contains(&listed);
        ensure!(fits, ChunkCountSnafu { listed, needed });
        Ok(())
    }

    /// Serializes the manifest; the digest is computed over these bytes.
    ///
    /// # Panics
    /// Never panics, because every field can be serialized.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        serde_json::to_vec(self).expect("a manifest can be serialized to JSON").into()
    }

    /// Digest that identifies the manifest. Serializes and hashes the manifest on each call.
    #[must_use]
    pub fn digest(&self) -> ContentDigest {
        ContentDigest::of(&self.to_bytes())
    }

    /// Total size of the weights in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> u64 {
        self.size_bytes
    }

    /// Size of each chunk except the last one, which may be smaller, in bytes.
    #[must_use]
    pub fn chunk_bytes(&self) -> u64 {
        self.chunk_bytes
    }

    /// Number of chunks; at least 1.
    #[must_use]
    pub fn chunk_count(&self) -> u32 {
        u32::try_from(self.chunks.len()).unwrap_or(u32::MAX)
    }

    /// Digests of the chunks, in order.
    #[must_use]
    pub fn chunks(&self) -> &[ContentDigest] {
        &self.chunks
    }

    /// Digest of chunk `index`; `None` if there is no such chunk.
    #[must_use]
    pub fn chunk_digest(&self, index: u32) -> Option<ContentDigest> {
        self.chunks.get(index as usize).copied()
    }

    /// Size of chunk `index` in bytes; 0 if there is no such chunk.
    #[must_use]
    pub fn chunk_size(&self, index: u32) -> u64 {
        let start = u64::from(index) * self.chunk_bytes;
        self.size_bytes.saturating_sub(start).min(self.chunk_bytes)
    }
}
