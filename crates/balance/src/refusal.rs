//! Refusals of requests that no upstream can serve, and when their callers may return.

use std::time::Duration;

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

/// Range of the retry delay for refused callers. The delay is random to spread out callers that are refused together,
/// and long enough for a burst to pass, because a caller retries only once.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(900), Duration::from_millis(2_000));
/// Range of the retry delay if no upstream can serve at all: engines need two seconds or more to receive their weights.
const NO_UPSTREAM_RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(1_800), Duration::from_millis(2_600));

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RefusalCause {
    /// The service has no usable upstream.
    NoUpstream,
    /// Every usable upstream is too loaded to meet the target.
    Overloaded,
    /// Only cold upstreams are left, and this entry has used up its share of what each of them tolerates.
    Cold,
    /// Only upstreams are left that want no requests for a while.
    BackingOff,
    /// Only upstreams with a stated limit are left, and this entry has used up its share of each.
    RateLimited,
}

impl RefusalCause {
    /// Name in log lines.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoUpstream => "no_upstream",
            Self::Overloaded => "overloaded",
            Self::Cold => "cold",
            Self::BackingOff => "backing_off",
            Self::RateLimited => "rate_limited",
        }
    }
}

/// Refusal of a request, with the delay before a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlacementRefusal {
    /// Reason for the refusal.
    pub cause: RefusalCause,
    /// Delay after which the caller may retry.
    pub retry_after: Duration,
}

impl PlacementRefusal {
    /// Creates a refusal with a random retry delay for its cause.
    pub(crate) fn new(cause: RefusalCause, rng: &mut impl Rng) -> Self {
        let (shortest, longest) = match cause {
            RefusalCause::NoUpstream => NO_UPSTREAM_RETRY_AFTER_RANGE,
            RefusalCause::Overloaded
            | RefusalCause::Cold
            | RefusalCause::BackingOff
            | RefusalCause::RateLimited => RETRY_AFTER_RANGE,
        };
        let retry_after = rng.random_range(shortest..longest);
        Self { cause, retry_after }
    }

    /// Extends the retry delay by `wait`, after which the first upstream takes requests again. The random part still
    /// spreads the callers out.
    pub(crate) fn with_wait(self, wait: Duration) -> Self {
        Self {
            retry_after: self.retry_after.max(wait + self.retry_after - RETRY_AFTER_RANGE.0),
            ..self
        }
    }
}
