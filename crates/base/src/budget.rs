//! Limit on the memory that many responses or requests occupy together.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Bytes that a holder may always keep, so that usual requests and responses pass while large ones exhaust the budget.
const EXEMPT_BYTES: usize = 16 << 10;
/// Maximum ratio of the bytes of one holder to those that are still free. Few large holders may use most of the budget;
/// many of them leave a part to others.
const MAX_SHARE_OF_FREE: usize = 2;

/// Budget of bytes that is shared by all who keep data of one kind.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    held: AtomicUsize,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { limit, held: AtomicUsize::new(0) }
    }

    /// Number of bytes in use.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// True if one holder may keep `bytes` while all others keep `others`.
    fn allows(&self, bytes: usize, others: usize) -> bool {
        let free = self.limit.checked_sub(others.saturating_add(bytes));
        bytes <= EXEMPT_BYTES
            || free.is_some_and(|free| bytes <= free.saturating_mul(MAX_SHARE_OF_FREE))
    }

    /// True if a new holder of `bytes` would be allowed now.
    #[must_use]
    pub fn has_room(&self, bytes: usize) -> bool {
        self.allows(bytes, self.held())
    }
}

/// Part of a [`ByteBudget`] that is in use; it is returned when the reservation is dropped.
#[derive(Debug)]
pub struct ByteReservation {
    budget: Arc<ByteBudget>,
    bytes: usize,
}

impl ByteReservation {
    /// Creates a reservation of no bytes.
    #[must_use]
    pub fn new(budget: Arc<ByteBudget>) -> Self {
        Self { budget, bytes: 0 }
    }

    /// Number of reserved bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the number of reserved bytes. False if the budget does not allow it; the reservation then stays as it
    /// was.
    #[must_use]
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        if bytes <= self.bytes {
            self.budget.held.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
            self.bytes = bytes;
            return true;
        }
        let added = bytes - self.bytes;
        let held = self.budget.held.fetch_add(added, Ordering::Relaxed);
        if !self.budget.allows(bytes, held.saturating_sub(self.bytes)) {
            self.budget.held.fetch_sub(added, Ordering::Relaxed);
            return false;
        }
        self.bytes = bytes;
        true
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
