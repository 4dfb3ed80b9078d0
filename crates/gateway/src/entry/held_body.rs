//! Body of a response that is kept until it is complete.

use std::sync::Arc;

use base::{ByteBudget, ByteReservation};
use bytes::{Bytes, BytesMut};

/// Collects a body within its own limit and within the budget of all bodies.
pub(super) struct HeldBody {
    buffer: BytesMut,
    reservation: ByteReservation,
    max_bytes: usize,
}

/// Complete body with the reservation for its bytes, which ends when the caller has received it.
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

    /// Adds a part of the body. The error is the cause, as it is logged, for which no more can be kept.
    pub(super) fn push(&mut self, part: &[u8]) -> Result<(), &'static str> {
        if self.buffer.len() + part.len() > self.max_bytes {
            return Err("too_long");
        }
        self.buffer.extend_from_slice(part);
        if self.reservation.try_resize(self.buffer.capacity()) {
            Ok(())
        } else {
            Err("memory_limit")
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
