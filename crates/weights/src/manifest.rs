//! Manifests: the list of the chunks of one version, named by the digest of its bytes.

use base::ContentDigest;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

/// Why a manifest is rejected.
#[derive(Debug, Snafu)]
pub enum ManifestError {
    /// The bytes exceed [`ChunkManifest::MAX_BYTES`].
    #[snafu(display(
        "manifest has {size} bytes; at most {} are allowed",
        ChunkManifest::MAX_BYTES
    ))]
    TooLarge {
        /// Size of the manifest in bytes.
        size: usize,
    },
    /// The bytes do not have the digest that names the manifest.
    #[snafu(display("manifest has digest {found}, expected {expected}"))]
    WrongDigest {
        /// Digest that was asked for.
        expected: ContentDigest,
        /// Digest of the bytes.
        found: ContentDigest,
    },
    /// The bytes are no JSON of the expected shape.
    #[snafu(display("manifest cannot be read: {source}"))]
    Syntax {
        /// What the parser said.
        source: serde_json::Error,
    },
    /// The size of a chunk is outside the allowed range.
    #[snafu(display(
        "chunk_bytes = {chunk_bytes}: 1 to {} are allowed",
        ChunkManifest::MAX_CHUNK_BYTES
    ))]
    ChunkBytes {
        /// Size of a chunk in bytes.
        chunk_bytes: u64,
    },
    /// The number of chunks does not fit the sizes, or is zero or too large.
    #[snafu(display(
        "manifest lists {listed} chunks; {needed} are needed, 1 to {} are allowed",
        ChunkManifest::MAX_CHUNKS
    ))]
    ChunkCount {
        /// Chunks listed.
        listed: usize,
        /// Chunks that the sizes call for.
        needed: u64,
    },
}

/// The chunks of one version of a model or adapter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChunkManifest {
    size_bytes: u64,
    chunk_bytes: u64,
    chunks: Vec<ContentDigest>,
}

impl ChunkManifest {
    /// Largest manifest that is accepted, in bytes; a frame other than a chunk carries no more.
    pub const MAX_BYTES: usize = 2 << 20;
    /// Largest chunk, in bytes: a chunk frame of 8 MiB less room for the other fields.
    pub const MAX_CHUNK_BYTES: u64 = (8 << 20) - (16 << 10);
    /// Most chunks: 67 bytes each in JSON stay below [`Self::MAX_BYTES`].
    pub const MAX_CHUNKS: usize = 30_000;
    /// Size of a chunk unless the publisher chooses another, in bytes.
    pub const DEFAULT_CHUNK_BYTES: u64 = 4 << 20;

    /// Builds the manifest of `content`.
    ///
    /// # Errors
    /// Fails if `content` is empty, `chunk_bytes` is out of range or there are too many chunks.
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

    /// Parses and checks a manifest from a source that is not trusted; `expected` is the digest that names it.
    ///
    /// # Errors
    /// Fails if the bytes are too many, have another digest, are no manifest or contradict themselves.
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

    /// The bytes that the digest of the manifest names.
    ///
    /// # Panics
    /// Never: every field serialises.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        serde_json::to_vec(self).expect("a manifest serialises to JSON").into()
    }

    /// Digest that names the manifest.
    #[must_use]
    pub fn digest(&self) -> ContentDigest {
        ContentDigest::of(&self.to_bytes())
    }

    /// Size of the weights in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> u64 {
        self.size_bytes
    }

    /// Size of every chunk but the last, in bytes.
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

    /// Digest of chunk `index`.
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
