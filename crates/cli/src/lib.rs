//! Command lines of the binaries.

pub mod admin_client;
pub mod commands;
pub mod daemon;
pub mod output;
