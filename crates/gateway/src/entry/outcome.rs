//! Results of one attempt at an upstream and of all attempts of a request.

use balance::{AttemptEnd, FinalStatus, PlacementRefusal};
use bytes::Bytes;
use hyper::http::response;

use super::relay::OpenStream;

/// Result of one attempt.
pub(super) enum Attempt {
    Stream(response::Parts, OpenStream),
    Whole(response::Parts, Bytes),
    Ended(AttemptEnd, Option<(response::Parts, Bytes)>),
}

/// Result of all attempts.
pub(super) enum CallEnd {
    Stream(response::Parts, OpenStream),
    Whole(response::Parts, Bytes),
    Refused(PlacementRefusal),
    Failed(FinalStatus),
    Expired(FinalStatus),
}
