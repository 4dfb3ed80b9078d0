//! Generated weights, shared by the stand-ins for the origin, the weight stores and the engines.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use base::ContentDigest;
use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::http::lock;

/// Bytes and manifest of one version of a model.
#[derive(Clone, Debug)]
pub struct WeightImage {
    /// Digest of the manifest.
    pub digest: ContentDigest,
    /// Manifest as JSON.
    pub manifest: Bytes,
    /// Content of the weights.
    pub weights: Bytes,
    /// Size of each chunk in bytes; the last one may be smaller.
    pub chunk_bytes: usize,
    /// Digests of the chunks in order.
    pub chunks: Vec<ContentDigest>,
}

/// JSON document of a manifest.
#[derive(Serialize)]
struct ManifestDocument<'a> {
    size_bytes: u64,
    chunk_bytes: u64,
    chunks: &'a [ContentDigest],
}

impl WeightImage {
    /// Generates pseudo-random weights of `size` bytes from a seed.
    ///
    /// # Panics
    /// Panics if `chunk_bytes` is 0.
    #[must_use]
    pub fn generate(seed: u64, size: usize, chunk_bytes: usize) -> Self {
        let mut weights = vec![0; size];
        ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut weights);
        let chunks: Vec<_> = weights.chunks(chunk_bytes).map(ContentDigest::of).collect();
        let document = ManifestDocument {
            size_bytes: size as u64,
            chunk_bytes: chunk_bytes as u64,
            chunks: &chunks,
        };
        let manifest = serde_json::to_vec(&document).expect("a manifest serialises to JSON");
        Self {
            digest: ContentDigest::of(&manifest),
            manifest: manifest.into(),
            weights: weights.into(),
            chunk_bytes,
            chunks,
        }
    }

    /// Content of chunk `index`; `None` if there is no such chunk.
    #[must_use]
    pub fn chunk(&self, index: usize) -> Option<Bytes> {
        let start = index.checked_mul(self.chunk_bytes)?;
        let end = start.checked_add(self.chunk_bytes)?.min(self.weights.len());
        (start < self.weights.len()).then(|| self.weights.slice(start..end))
    }
}

/// Weights by the digest of their manifest.
#[derive(Debug, Default)]
pub struct WeightCatalog {
    images: Mutex<HashMap<String, Arc<WeightImage>>>,
}

impl WeightCatalog {
    /// Adds weights and returns a shared reference to them.
    pub fn add(&self, image: WeightImage) -> Arc<WeightImage> {
        let image = Arc::new(image);
        lock(&self.images).insert(image.digest.to_string(), Arc::clone(&image));
        image
    }

    /// Weights whose manifest has this digest; `None` if they were never added.
    #[must_use]
    pub fn get(&self, digest: &str) -> Option<Arc<WeightImage>> {
        lock(&self.images).get(digest).cloned()
    }
}
