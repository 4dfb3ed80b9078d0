//! Errors of the stand-ins and of the measurement commands.

use std::net::SocketAddr;

use snafu::Snafu;

/// Error of a stand-in or a measurement.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StandinError {
    /// A listening address cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Bind {
        /// Address that was requested.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// An entry or agent cannot be started.
    #[snafu(display("cannot start {host}: {detail}"))]
    Start {
        /// Host of the entry or agent.
        host: String,
        /// Error message of the entry or agent.
        detail: String,
    },
    /// The fleet did not reach the state that a measurement needs in time.
    #[snafu(display("timed out after {seconds} s while waiting for {what}"))]
    NotReached {
        /// State that was waited for.
        what: String,
        /// Timeout in seconds.
        seconds: u64,
    },
    /// A command-line option has a value that is not allowed.
    #[snafu(display("{option} = {value}: {allowed}"))]
    Option {
        /// Name of the option.
        option: &'static str,
        /// Rejected value.
        value: String,
        /// Description of the allowed values.
        allowed: &'static str,
    },
}
