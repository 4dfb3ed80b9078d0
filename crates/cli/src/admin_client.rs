//! Client for the HTTP administration API of a running entry or agent.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use ports::{HttpClient, PlatformError};
use serde_json::Value;
use snafu::{ResultExt, Snafu};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Errors from reading the administration API.
#[derive(Debug, Snafu)]
pub enum AdminError {
    /// The request failed or timed out.
    #[snafu(display("cannot read {path} from {address}: {source}"))]
    Request {
        /// Administration address.
        address: SocketAddr,
        /// Path of the request.
        path: String,
        /// Error from the HTTP client.
        source: PlatformError,
    },
    /// The response is not valid JSON.
    #[snafu(display("response of the administration API is not valid JSON: {source}"))]
    Decode {
        /// Error from the JSON parser.
        source: serde_json::Error,
    },
    /// The async runtime could not be started.
    #[snafu(display("cannot start the async runtime: {source}"))]
    Runtime {
        /// Error from the operating system.
        source: std::io::Error,
    },
}

/// Sends a GET request for `path` and parses the response as JSON. Blocks the calling thread.
///
/// # Errors
/// Fails if the process does not respond within 5 s, or if the response exceeds 16 MiB or is not valid JSON.
pub fn read_admin(address: SocketAddr, path: &str) -> Result<Value, AdminError> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)?;
    let client = HttpClient::new(address);
    let request =
        client.fetch(hyper::Method::GET, path, Bytes::new(), MAX_RESPONSE_BYTES, REQUEST_TIMEOUT);
    let (_, body) = runtime.block_on(request).context(RequestSnafu { address, path })?;
    serde_json::from_slice(&body).context(DecodeSnafu)
}
