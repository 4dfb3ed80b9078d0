//! Processes that run on the users' platform: entries that forward callers' requests, and agents that bring weights to
//! the engines beside them.
//!
//! Decisions come from the crates `fleet`, `balance`, `pieces` and `member`; this crate attaches them to sockets, timers
//! and signals. The platform itself stands behind the traits in [`port`].

pub mod agent;
pub mod entry;
mod frames;
mod lifecycle;
pub mod log_sink;
pub mod metrics;
mod peers;
pub mod port;
pub mod settings;

pub use crate::{agent::run_agent, entry::run_entry, frames::NodeError};
