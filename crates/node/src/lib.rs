//! Runtime of the entry and agent processes: connects the sans-I/O crates to sockets, tasks and the clock.

pub mod admin;
pub mod agent;
pub mod alarm;
pub mod context;
pub mod control;
pub mod entry;
pub mod http;
pub mod logging;
pub mod peer;
pub mod server;
pub mod view;
pub mod weights;

pub use crate::{
    agent::AgentNode,
    context::{NodeContext, NodeError, NodeListeners, NodeThreads},
    entry::EntryNode,
    view::{FleetView, ViewReader, ViewWriter},
};
