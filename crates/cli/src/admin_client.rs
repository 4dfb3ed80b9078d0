//! Reads the administration API of a running process.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use ports::{HttpClient, PlatformError};
use serde_json::Value;
use snafu::{ResultExt, Snafu};

const READ_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Why the administration API cannot be read.
#[derive(Debug, Snafu)]
pub enum AdminError {
    /// The call failed.
    #[snafu(display("cannot read {path} of {address}: {source}"))]
    Call {
        /// Administration address.
        address: SocketAddr,
        /// Path.
        path: String,
        /// What went wrong.
        source: PlatformError,
    },
    /// The answer is no JSON.
    #[snafu(display("answer is no JSON: {source}"))]
    Answer {
        /// What the parser said.
        source: serde_json::Error,
    },
    /// No runtime could be started.
    #[snafu(display("cannot start a runtime: {source}"))]
    Runtime {
        /// What the operating system said.
        source: std::io::Error,
    },
}

/// Reads one path.
///
/// # Errors
/// Fails if the process does not answer within 5 s or the answer is no JSON.
pub fn read_admin(address: SocketAddr, path: &str) -> Result<Value, AdminError> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)?;
    let client = HttpClient::new(address);
    let call = client.fetch(hyper::Method::GET, path, Bytes::new(), MAX_ANSWER_BYTES, READ_TIMEOUT);
    let (_, body) = runtime.block_on(call).context(CallSnafu { address, path })?;
    serde_json::from_slice(&body).context(AnswerSnafu)
}
