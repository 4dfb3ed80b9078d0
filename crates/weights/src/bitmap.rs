//! Set of chunk indices, encoded in messages as a bitmap with one bit per chunk, least significant bit first.

use bytes::Bytes;

const WORD_BITS: u32 = u64::BITS;

/// Subset of the chunks of one manifest.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ChunkSet {
    words: Vec<u64>,
    length: u32,
}

impl ChunkSet {
    /// Creates an empty set over `length` chunks.
    #[must_use]
    pub fn new(length: u32) -> Self {
        Self { words: vec![0; length.div_ceil(WORD_BITS) as usize], length }
    }

    /// Decodes the bitmap of a message. Missing bytes count as zero and bits beyond `length` are ignored, because the
    /// bitmap comes from an untrusted peer.
    #[must_use]
    pub fn from_bitmap(length: u32, bitmap: &[u8]) -> Self {
        let mut set = Self::new(length);
        for (position, byte) in bitmap.iter().take(length.div_ceil(8) as usize).enumerate() {
            set.words[position / 8] |= u64::from(*byte) << (position % 8 * 8);
        }
        if let Some(last) = set.words.last_mut()
            && !length.is_multiple_of(WORD_BITS)
        {
            *last &= (1 << (length % WORD_BITS)) - 1;
        }
        set
    }

    /// Encodes the set as the bitmap of a message.
    #[must_use]
    pub fn to_bitmap(&self) -> Bytes {
        let bytes = self.words.iter().flat_map(|word| word.to_le_bytes());
        bytes.take(self.length.div_ceil(8) as usize).collect()
    }

    /// Number of chunks in the manifest, whether in the set or not.
    #[must_use]
    pub fn length(&self) -> u32 {
        self.length
    }

    /// True if chunk `index` is in the set; false for an index outside the manifest.
    #[must_use]
    pub fn contains(&self, index: u32) -> bool {
        self.words
            .get((index / WORD_BITS) as usize)
            .is_some_and(|word| word >> (index % WORD_BITS) & 1 == 1)
    }

    /// Adds chunk `index`; returns true if it was not in the set. Indices outside the manifest are ignored.
    pub fn insert(&mut self, index: u32) -> bool {
        let added = index < self.length && !self.contains(index);
        if added {
            self.words[(index / WORD_BITS) as usize] |= 1 << (index % WORD_BITS);
        }
        added
    }

    /// Removes chunk `index`; returns true if it was in the set.
    pub fn remove(&mut self, index: u32) -> bool {
        let removed = self.contains(index);
        if removed {
            self.words[(index / WORD_BITS) as usize] &= !(1 << (index % WORD_BITS));
        }
        removed
    }

    /// Number of chunks in the set.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.words.iter().map(|word| word.count_ones()).sum()
    }

    /// True if the set contains every chunk of the manifest.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.count() == self.length
    }

    /// Indices of the chunks in the set, in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.length).filter(|index| self.contains(*index))
    }

    /// Indices of the chunks that are not in the set, in ascending order.
    pub fn missing(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.length).filter(|index| !self.contains(*index))
    }
}
