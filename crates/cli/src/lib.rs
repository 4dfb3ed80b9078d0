//! Command lines of the binaries.

pub mod commands;
pub mod daemon;
pub mod output;
