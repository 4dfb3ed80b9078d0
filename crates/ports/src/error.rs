//! Errors of calls to the platform, by what the caller may conclude.

use std::time::Duration;

use snafu::Snafu;

/// Why a call to the platform failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PlatformError {
    /// No connection could be made; the request was not sent.
    #[snafu(display("cannot connect to {address}"))]
    Connect {
        /// Address of the part.
        address: std::net::SocketAddr,
    },
    /// The connection broke after the request may have been sent.
    #[snafu(display("connection broke: {source}"))]
    Broken {
        /// What the HTTP library said.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// No answer within the time allowed.
    #[snafu(display("no answer within {} ms", limit.as_millis()))]
    Timeout {
        /// Time allowed.
        limit: Duration,
    },
    /// The part refuses for now.
    #[snafu(display("rate limited; retry after {} ms", retry_after.as_millis()))]
    RateLimited {
        /// When to come back.
        retry_after: Duration,
    },
    /// An HTTP status that is no success.
    #[snafu(display("answered with HTTP status {status}"))]
    Status {
        /// The status.
        status: u16,
    },
    /// The answer is larger than allowed.
    #[snafu(display("answer exceeds {limit} bytes"))]
    TooLarge {
        /// Bytes allowed.
        limit: usize,
    },
    /// The answer has another shape than expected.
    #[snafu(display("answer cannot be read: {source}"))]
    Malformed {
        /// What the parser said.
        source: serde_json::Error,
    },
    /// The request cannot be expressed in HTTP.
    #[snafu(display("request is malformed: {source}"))]
    Request {
        /// What the HTTP library said.
        source: hyper::http::Error,
    },
}

impl PlatformError {
    /// True if the request certainly did not reach the other side.
    #[must_use]
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::Request { .. })
    }
}
