//! Command lines of the binaries `wigeon`, `wigeon-entry` and `wigeon-agent`.

pub mod admin_client;
pub mod commands;
pub mod daemon;
pub mod output;
