//! Body of a request or a response that is kept until it is complete.

use std::sync::Arc;

use base::{ByteBudget, ByteReservation};
use bytes::{Bytes, BytesMut};

/// Reason for which no more of a body can be kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum HoldError {
    /// The body exceeds its own limit.
    TooLong,
    /// The bodies of all requests, or of all responses, take too much memory.
    MemoryLimit,
}

impl From<HoldError> for &'static str {
    /// Name of the reason in logs.
    fn from(error: HoldError) -> Self {
        match error {
            HoldError::TooLong => "too_long",
            HoldError::MemoryLimit => "memory_limit",
        }
    }
}

/// Collects a body within its own limit and within the budget of all bodies.
pub(super) struct HeldBody {
    buffer: BytesMut,
    reservation: ByteReservation,
    max_bytes: usize,
}

/// Complete body with the reservation for its bytes, which ends when the last reference to them is dropped.
struct ReservedBytes {
    bytes: Bytes,
    _reservation: ByteReservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl HeldBody {
    pub(super) fn new(budget: Arc<ByteBudget>, max_bytes: usize) -> Self {
        let reservation = ByteReservation::new(budget);
        Self { buffer: BytesMut::new(), reservation, max_bytes }
    }

    /// Adds a part of the body.
    pub(super) fn push(&mut self, part: &[u8]) -> Result<(), HoldError> {
        if self.buffer.len() + part.len() > self.max_bytes {
            return Err(HoldError::TooLong);
        }
        self.buffer.extend_from_slice(part);
        if self.reservation.try_resize(self.buffer.capacity()) {
            Ok(())
        } else {
            Err(HoldError::MemoryLimit)
        }
    }

    pub(super) fn finish(self) -> Bytes {
        let Self { buffer, reservation, .. } = self;
        if buffer.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(ReservedBytes { bytes: buffer.freeze(), _reservation: reservation })
    }
}
