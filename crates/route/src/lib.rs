//! Decisions of the request path: which upstream runs a request, how often it is tried, and which entry a caller uses.
//!
//! Everything here is sans-I/O. Time and randomness are passed in, so that tests replay any order of events.

mod address;
mod board;
mod budget;
mod choice;
mod crash;
mod prefix;

pub use crate::{
    address::{AddressAnswer, answer_addresses},
    board::{REPORT_MAX_AGE, UpstreamBoard, UpstreamLoad, UpstreamReport},
    budget::{RetryBudget, RetryOptions},
    choice::{AFFINITY_LOAD_FACTOR, OwnerChoice, UpstreamChoice, WantedWork, WorkTarget},
    crash::{CrashEvidence, CrashTable, CrashTableOptions, CrashVerdict, Fingerprint},
    prefix::{CacheChange, CacheEvent, PrefixIndex},
};
