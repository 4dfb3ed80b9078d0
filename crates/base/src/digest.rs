//! Content digests: BLAKE3 hashes, written as 64 hexadecimal digits.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// BLAKE3 digest that identifies a chunk, a manifest or a configuration document by its content.
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct ContentDigest([u8; ContentDigest::LENGTH]);

/// The text or byte slice is not a valid digest.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{text:?} is not a digest: expected 64 hexadecimal digits"))]
pub struct DigestError {
    text: String,
}

impl ContentDigest {
    /// Length of a digest in bytes.
    pub const LENGTH: usize = 32;

    /// Computes the digest of `content`.
    #[must_use]
    pub fn of(content: &[u8]) -> Self {
        Self(*blake3::hash(content).as_bytes())
    }

    /// Creates a digest from its raw bytes, as they are encoded in messages.
    ///
    /// # Errors
    /// Fails if the length of `bytes` is not [`ContentDigest::LENGTH`].
    pub fn from_slice(bytes: &[u8]) -> Result<Self, DigestError> {
        let array =
            bytes.try_into().map_err(|_| DigestError { text: format!("{} bytes", bytes.len()) })?;
        Ok(Self(array))
    }

    /// Returns the raw bytes, as [`ContentDigest::from_slice`] accepts them.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8; Self::LENGTH] {
        &self.0
    }
}

impl fmt::Display for ContentDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl fmt::Debug for ContentDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "ContentDigest({self})")
    }
}

impl FromStr for ContentDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let hash =
            blake3::Hash::from_hex(text).map_err(|_| DigestError { text: text.to_owned() })?;
        Ok(Self(*hash.as_bytes()))
    }
}

impl TryFrom<String> for ContentDigest {
    type Error = DigestError;

    fn try_from(text: String) -> Result<Self, DigestError> {
        text.parse()
    }
}

impl From<ContentDigest> for String {
    fn from(digest: ContentDigest) -> Self {
        digest.to_string()
    }
}
