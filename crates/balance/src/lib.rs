//! Load balancing and admission control for the requests of one entry. This crate does no I/O.
//!
//! An entry sees only its own requests and the reports of the agents. Limits that apply to all entries together are
//! therefore divided into one share per entry, so that they hold even if the entries cannot reach one another.

mod attempt;
mod attribution;
mod availability;
mod balancer;
mod capacity;
mod crash;
mod duration;
mod forecast;
mod head_trust;
mod part_suspects;
mod placement;
mod rate_limit;
mod refusal;
mod request_successes;
mod send_log;
mod share;
mod subset;
mod upstream;
mod writing;

pub use crate::{
    attempt::{AttemptEnd, AttemptLog, FinalStatus},
    balancer::{ForecastCheck, LoadBalancer, LoadBalancerOptions, ServiceCapacity},
    capacity::CapacityForecast,
    crash::{ConfirmedCrash, CrashDetector, CrashRefusal, LostRequest, fingerprint_of},
    duration::DurationTracker,
    forecast::{EngineForecast, EngineLoad},
    head_trust::HeadTrust,
    part_suspects::{PartEvidence, PartSuccess, PartSuspects, PartVerdictChange, UpstreamCrash},
    placement::{Placement, PlacementRequest, UpstreamLoad},
    rate_limit::{LimitChange, LimitStatement, LimitUsage},
    refusal::{PlacementRefusal, RefusalCause},
    send_log::SendLog,
    share::{ColdLimiter, RetryBudgetShare, SharedLimits},
    subset::{EngineCandidate, EngineSubset, choose_engines},
    upstream::{AgentReport, AttemptOutcome, VerifiedLoad, WeightsEvidence},
    writing::WritingProof,
};
