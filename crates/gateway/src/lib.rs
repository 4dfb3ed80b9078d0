//! Processes that run on the users' platform: entries, which forward callers' requests, and agents, which bring model
//! weights to the engine on their host.
//!
//! The decisions are made in the crates `fleet`, `balance`, `chunks` and `member`; this crate connects them to sockets,
//! timers and signals. Access to the platform goes through the traits in [`port`].

pub mod agent;
pub mod entry;
mod frames;
mod lifecycle;
pub mod log_sink;
pub mod metrics;
mod peers;
pub mod port;
pub mod settings;
pub mod supervise;

pub use crate::{agent::run_agent, entry::run_entry, frames::NodeError};
