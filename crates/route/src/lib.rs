//! Routing decisions: which upstream runs a request, how many attempts the request gets, and which entries a caller
//! uses.
//!
//! The crate is sans-I/O. Time and randomness are passed in, so that tests can replay any sequence of events.

mod address;
mod budget;
mod choice;
mod crash;
mod prefix;
mod upstreams;

pub use crate::{
    address::{AddressResponse, resolve_addresses},
    budget::{RetryBudget, RetryOptions},
    choice::{
        AFFINITY_LOAD_FACTOR, AttemptRequirements, OwnerChoice, RequestTarget, UpstreamChoice,
    },
    crash::{CrashEvidence, CrashTable, CrashTableOptions, CrashVerdict, Fingerprint},
    prefix::{CacheChange, CacheEvent, PrefixIndex},
    upstreams::{REPORT_MAX_AGE, UpstreamLoad, UpstreamReport, UpstreamTable},
};
