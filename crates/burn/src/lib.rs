//! Service levels as seen by callers: request counters by team and kind of request, and the burn rates of the error
//! budgets.
//!
//! The crate does no I/O and reads no clock; the current time is passed in.

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
