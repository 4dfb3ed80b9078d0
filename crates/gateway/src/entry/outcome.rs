//! Results of a single attempt at an upstream, and of a request after its last attempt.

use balance::{AttemptEnd, FinalStatus, PlacementRefusal};
use bytes::Bytes;
use hyper::http::response;

use super::relay::OpenStream;

/// Result of a single attempt. A failed attempt may include the error response of the upstream.
pub(super) enum AttemptResult {
    Stream(response::Parts, OpenStream),
    Complete(response::Parts, Bytes),
    Failed(AttemptEnd, Option<(response::Parts, Bytes)>),
}

/// Result of a request after its last attempt.
pub(super) enum RequestResult {
    Stream(response::Parts, OpenStream),
    Complete(response::Parts, Bytes),
    Refused(PlacementRefusal),
    Failed(FinalStatus),
    Expired(FinalStatus),
}
