//! The list of a version's pieces and sets of pieces.

use base::ModelId;
use bytes::Bytes;
use fleet::WeightsVersion;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Number of a piece.
pub type PieceIndex = u32;
/// SHA-256 of a piece.
pub type PieceDigest = [u8; 32];

/// One version of a model's weights.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct WeightsName {
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: WeightsVersion,
}

/// Digests of all pieces of one version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PieceList {
    /// The weights.
    pub name: WeightsName,
    /// Digest of each piece.
    pub digests: Vec<PieceDigest>,
}

impl PieceList {
    /// Number of pieces.
    #[must_use]
    pub fn len(&self) -> u32 {
        u32::try_from(self.digests.len()).unwrap_or(u32::MAX)
    }

    /// True if there are no pieces.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.digests.is_empty()
    }

    /// True if `bytes` are the piece `index`.
    #[must_use]
    pub fn verify(&self, index: PieceIndex, bytes: &Bytes) -> bool {
        self.digests.get(index as usize).is_some_and(|digest| verify_piece(digest, bytes))
    }
}

/// True if `bytes` have the digest.
#[must_use]
pub fn verify_piece(digest: &PieceDigest, bytes: &[u8]) -> bool {
    Sha256::digest(bytes).as_slice() == digest
}

/// A set of pieces, one bit each.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PieceSet {
    bits: Vec<u8>,
}

impl PieceSet {
    /// Creates an empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates the set from its bytes.
    #[must_use]
    pub fn with_bytes(bits: Vec<u8>) -> Self {
        Self { bits }
    }

    /// The bits, the lowest number in the lowest bit of the first byte.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.bits
    }

    /// True if the piece is in the set.
    #[must_use]
    pub fn contains(&self, index: PieceIndex) -> bool {
        self.bits.get((index / 8) as usize).is_some_and(|byte| byte & (1 << (index % 8)) != 0)
    }

    /// Adds a piece; true if it was not in the set.
    pub fn insert(&mut self, index: PieceIndex) -> bool {
        let byte = (index / 8) as usize;
        if self.bits.len() <= byte {
            self.bits.resize(byte + 1, 0);
        }
        let is_new = !self.contains(index);
        self.bits[byte] |= 1 << (index % 8);
        is_new
    }

    /// Removes a piece.
    pub fn remove(&mut self, index: PieceIndex) {
        if let Some(byte) = self.bits.get_mut((index / 8) as usize) {
            *byte &= !(1 << (index % 8));
        }
    }

    /// Number of pieces.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.bits.iter().map(|byte| byte.count_ones()).sum()
    }
}
