//! Admission control of an agent for its upstream: an adaptive concurrency limit, a queue with weighted fair shares by
//! team, and deadlines.
//!
//! The agent is the only process that sends requests to its upstream, so the limit of one upstream is enforced here
//! without coordination between processes. The state machines do no I/O: each takes the current time and an event, and
//! returns the actions to perform.

mod admission;
mod concurrency;
mod queue;

pub use crate::{
    admission::{AdmissionAction, AdmissionControl, AdmissionGate, AdmissionOptions, WorkRefusal},
    concurrency::{
        ConcurrencyLimit, LimitDecrease, LimitOptions, UpstreamEpoch, WorkPermit, WorkResult,
    },
    queue::{FairQueue, OfferResult, TeamOrder, TeamShares, WorkId, WorkItem},
};
