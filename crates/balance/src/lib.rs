//! Placement and admission of requests at an entry, decided without I/O.
//!
//! Each entry sees only its own sends and what the agents report, so every limit that all entries share is cut into
//! shares that hold even if the entries cannot reach one another.

mod attempt;
mod board;
mod crash;
mod forecast;
mod share;
mod upstream;

pub use crate::{
    attempt::{AttemptEnd, AttemptLog, FinalStatus},
    board::{
        BoardOptions, LoadBoard, Placement, PlacementRefusal, RefusalCause, UpstreamLoad,
        WorkRequest,
    },
    crash::{CrashWatch, fingerprint_of},
    forecast::{EngineForecast, EngineLoad},
    share::{ColdShare, RetryShare, ShareOptions},
    upstream::{AgentReport, SendOutcome},
};
