//! Decisions of the request path: which upstream runs a request, how often it is tried, and which entry a caller uses.
//!
//! Everything here is sans-I/O. Time and randomness are passed in, so that tests replay any order of events.

mod crash;

pub use crate::crash::{CrashEvidence, CrashTable, CrashTableOptions, CrashVerdict, Fingerprint};
