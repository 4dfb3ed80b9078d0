//! The agent's admission of work to its upstream: the adaptive concurrency limit, the weighted fair queue by team, and
//! deadlines.
//!
//! Everything that must hold for one upstream is decided here, in the one process that reaches it. The state machines
//! are driven by `(now, event) -> actions`.

mod admission;
mod concurrency;
mod queue;

pub use crate::{
    admission::{AdmissionAction, AdmissionControl, AdmissionGate, AdmissionOptions, WorkRefusal},
    concurrency::{
        ConcurrencyLimit, LimitFall, LimitOptions, UpstreamEpoch, WorkPermit, WorkResult,
    },
    queue::{FairQueue, Offered, TeamShares, WorkId, WorkItem},
};
