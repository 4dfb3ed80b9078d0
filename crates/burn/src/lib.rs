//! Service levels as callers see them: counters per team and kind of request, and how fast error budgets are spent.
//!
//! Everything here is sans-I/O; time is passed in.

mod meter;
mod report;
mod window;

pub use crate::{
    meter::{
        BUDGET_PERIOD, IDEMPOTENT_OBJECTIVE, KEYED_OBJECTIVE, MODEL_OBJECTIVE, Objective,
        ObjectiveSet, RequestKind, ServiceMeter,
    },
    report::{BurnReport, BurnRow, LatencyRow, WindowRow},
    window::{RequestResult, ResultCounts},
};
