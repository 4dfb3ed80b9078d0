//! Errors of the stand-ins and of the measuring commands.

use std::net::SocketAddr;

use snafu::Snafu;

/// Why a stand-in or a measurement failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StandinError {
    /// A server cannot listen.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Bind {
        /// Address asked for.
        address: SocketAddr,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// A process of the system does not start.
    #[snafu(display("cannot start {host}: {detail}"))]
    Start {
        /// Host of the process.
        host: String,
        /// What the process said.
        detail: String,
    },
    /// The fleet does not reach the state that a measurement needs.
    #[snafu(display("{what} not reached within {seconds} s"))]
    NotReached {
        /// State that is waited for.
        what: String,
        /// Time waited.
        seconds: u64,
    },
    /// An option has a value that is not allowed.
    #[snafu(display("{option} = {value}: {allowed}"))]
    Option {
        /// Name of the option.
        option: &'static str,
        /// Value found.
        value: String,
        /// What is allowed.
        allowed: &'static str,
    },
}
