//! Errors of requests to the platform, divided by whether the request may have been executed.

use std::time::Duration;

use snafu::Snafu;

/// Reason why a request to the platform failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PlatformError {
    /// No connection could be made; the request was not sent.
    #[snafu(display("cannot connect to {address}"))]
    Connect {
        /// Address of the platform component.
        address: std::net::SocketAddr,
    },
    /// The connection broke after the request may have been sent.
    #[snafu(display("connection broke: {source}"))]
    Broken {
        /// Error of the HTTP library.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// No complete response arrived within the timeout.
    #[snafu(display("no response within {} ms", limit.as_millis()))]
    Timeout {
        /// Timeout that was exceeded.
        limit: Duration,
    },
    /// The platform refused the request with status 429.
    #[snafu(display("rate limited; retry after {} ms", retry_after.as_millis()))]
    RateLimited {
        /// Delay before the request may be retried.
        retry_after: Duration,
    },
    /// The response has an HTTP status other than success.
    #[snafu(display("unexpected HTTP status {status}"))]
    Status {
        /// HTTP status code.
        status: u16,
    },
    /// The response body exceeds the size limit.
    #[snafu(display("response exceeds {limit} bytes"))]
    TooLarge {
        /// Maximum size in bytes.
        limit: usize,
    },
    /// The server sends informational responses without end instead of a response.
    #[snafu(display("more than {limit} informational responses before the response"))]
    Informational {
        /// Maximum number of informational responses.
        limit: u32,
    },
    /// JSON could not be read or written, usually because a response lacks the expected fields.
    #[snafu(display("response cannot be parsed: {source}"))]
    Malformed {
        /// Error of the JSON library.
        source: serde_json::Error,
    },
    /// The request contains an invalid header, method or path, and was not sent.
    #[snafu(display("request is malformed: {source}"))]
    Request {
        /// Error of the HTTP library.
        source: hyper::http::Error,
    },
}

impl PlatformError {
    /// True if the request was certainly not sent, so that it can be retried safely.
    #[must_use]
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::Request { .. })
    }
}
