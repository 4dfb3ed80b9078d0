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

/// Why an interrupted stream may not be resumed at another upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ResumeRefusal {
    /// The last event has no id.
    NoPosition,
    /// The route does not allow it.
    NotResumable,
    /// The deadline of the request is too close.
    Deadline,
    /// The request has been sent to as many upstreams as its route allows.
    Attempts,
    /// As much has been passed on as a stream may have.
    TooLong,
}

impl ResumeRefusal {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::NoPosition => "no_position",
            Self::NotResumable => "not_resumable",
            Self::Deadline => "deadline",
            Self::Attempts => "attempts",
            Self::TooLong => "too_long",
        }
    }
}

/// Why no upstream was chosen for a request.
pub(super) enum ChoiceRefusal {
    /// No upstream can take the request.
    Placement(PlacementRefusal),
    /// A check that was repeated while the request was queued failed with this status and cause.
    Rejected(StatusCode, &'static str),
}

impl ChoiceRefusal {
    /// Name of the reason in logs.
    pub(super) fn as_str(&self) -> &'static str {
        match self {
            Self::Placement(refusal) => refusal.cause.as_str(),
            Self::Rejected(_, cause) => cause,
        }
    }
}

impl From<ChoiceRefusal> for RequestResult {
    fn from(refusal: ChoiceRefusal) -> Self {
        match refusal {
            ChoiceRefusal::Placement(refusal) => Self::Refused(refusal),
            ChoiceRefusal::Rejected(status, cause) => Self::Rejected(status, cause),
        }
    }
}
