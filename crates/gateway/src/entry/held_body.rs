//! Body of a request or a response that is kept until it is complete.

use std::sync::Arc;

use base::{ByteBudget, ByteReservation};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};

/// Reason for which a body is not kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BodyError {
    /// The connection was lost before the end of the body.
    ConnectionLost,
    /// The bodies of all requests, or of all responses, take too much memory.
    MemoryLimit,
    /// The body took too long to arrive.
    TimedOut,
    /// The body exceeds its own limit.
    TooLong,
}

impl From<BodyError> for &'static str {
    /// Name of the reason in logs.
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::ConnectionLost => "connection_lost",
            BodyError::MemoryLimit => "memory_limit",
            BodyError::TimedOut => "timeout",
            BodyError::TooLong => "too_long",
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

    /// Adds what was read from the body.
    pub(super) fn push(
        &mut self,
        frame: Result<Frame<Bytes>, hyper::Error>,
    ) -> Result<(), BodyError> {
        let Ok(part) = frame.map_err(|_| BodyError::ConnectionLost)?.into_data() else {
            return Ok(());
        };
        if self.buffer.len() + part.len() > self.max_bytes {
            return Err(BodyError::TooLong);
        }
        self.buffer.extend_from_slice(&part);
        if self.reservation.try_resize(self.buffer.capacity()) {
            Ok(())
        } else {
            Err(BodyError::MemoryLimit)
        }
    }

    /// Collects the whole body.
    pub(super) async fn collect(mut self, mut body: Incoming) -> Result<Bytes, BodyError> {
        while let Some(frame) = body.frame().await {
            self.push(frame)?;
        }
        Ok(self.finish())
    }

    pub(super) fn finish(self) -> Bytes {
        let Self { buffer, reservation, .. } = self;
        if buffer.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(ReservedBytes { bytes: buffer.freeze(), _reservation: reservation })
    }
}
