//! Results of a single attempt at an upstream, and of a request after its last attempt.

use balance::{AttemptEnd, FinalStatus, PlacementRefusal};
use bytes::Bytes;
use hyper::{StatusCode, http::response};

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
    /// A check that was repeated while the request was queued failed with this status and cause.
    Rejected(StatusCode, &'static str),
    Failed(FinalStatus),
    Expired(FinalStatus),
}

/// Why no upstream was chosen for a request.
pub(super) enum ChoiceRefusal {
    /// No upstream can take the request.
    Placement(PlacementRefusal),
    /// A check that was repeated while the request was queued failed with this status and cause.
    Rejected(StatusCode, &'static str),
}

impl From<ChoiceRefusal> for RequestResult {
    fn from(refusal: ChoiceRefusal) -> Self {
        match refusal {
            ChoiceRefusal::Placement(refusal) => Self::Refused(refusal),
            ChoiceRefusal::Rejected(status, cause) => Self::Rejected(status, cause),
        }
    }
}
