//! The nine promises and how a cell checks them.

use std::time::Duration;

use serde::Serialize;

use super::cell::CellFleet;
use crate::{
    ledger::Told,
    observer::{Observation, ServeTally},
    platform::work::WorkEnd,
};

/// Longest time from the notice until an upstream gets its last new work.
const NEW_WORK_BOUND: Duration = Duration::from_secs(3);
/// Longest time from publication until a configuration is in force everywhere, at the size of the matrix.
const IN_FORCE_BOUND: Duration = Duration::from_secs(2);

/// A promise, numbered as in the design.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// 1: no host serves partial or mixed weights.
    WholeWeights,
    /// 2: an upstream gets no more work than it can bear.
    WithinLimit,
    /// 3: a data centre that is out gets no new work after a few seconds.
    OutIsOut,
    /// 4: every caller gets the whole answer to its own request.
    WholeAnswer,
    /// 5: "not run" is true.
    TrueNotRun,
    /// 6: a request that is not idempotent runs at most once.
    AtMostOnce,
    /// 7: a leaving upstream gets no new work after a few seconds.
    LeavingIsLeft,
    /// 8: a planned stop cuts off no request.
    GracefulStop,
    /// 9: a configuration is in force everywhere within seconds and never reverts.
    ConfigInForce,
}

impl Promise {
    /// Number of the promise in the design.
    #[must_use]
    pub fn number(self) -> u32 {
        self as u32 + 1
    }
}

/// Promises that did not hold in a cell.
pub(super) fn broken_promises(
    cell: &CellFleet,
    observation: &Observation,
    tally: &ServeTally,
    reverts: u64,
    in_force: Duration,
) -> Vec<Promise> {
    let wrong_tokens = observation.requests.iter().any(|request| {
        request.attempts.iter().any(|attempt| matches!(attempt.told, Told::Wrong(_)))
    });
    let checks = [
        (Promise::WholeWeights, !wrong_tokens && tally.wrong_answer == 0),
        (Promise::WithinLimit, tally.over_limit_peak == 0),
        (Promise::OutIsOut, tally.last_new_work_after_out_s <= NEW_WORK_BOUND.as_secs_f64()),
        (Promise::WholeAnswer, tally.wrong_answer == 0 && tally.lost == 0),
        (Promise::TrueNotRun, tally.untrue_not_run == 0),
        (Promise::AtMostOnce, tally.doubled == 0),
        (Promise::LeavingIsLeft, !has_late_work(cell, observation)),
        (Promise::GracefulStop, !has_cut_by_stop(cell, observation)),
        (Promise::ConfigInForce, reverts == 0 && in_force <= IN_FORCE_BOUND),
    ];
    checks.into_iter().filter(|(_, holds)| !holds).map(|(promise, _)| promise).collect()
}

fn has_late_work(cell: &CellFleet, observation: &Observation) -> bool {
    cell.drained.is_some_and(|(index, since)| {
        let records = &observation.work[index].records;
        records.iter().any(|record| record.accepted_at > since + NEW_WORK_BOUND)
    })
}

/// True if a caller saw an answer break that ran on the upstream which was stopped gracefully.
fn has_cut_by_stop(cell: &CellFleet, observation: &Observation) -> bool {
    let Some((index, _)) = cell.drained else { return false };
    let cancelled =
        observation.work[index].records.iter().filter(|run| run.end == WorkEnd::Cancelled);
    cancelled.into_iter().any(|run| {
        let requests =
            observation.requests.iter().filter(|request| request.reference == run.reference);
        requests.flat_map(|request| &request.attempts).any(|attempt| {
            attempt.sent_at <= run.accepted_at
                && matches!(attempt.told, Told::Broken | Told::NoAnswer)
        })
    })
}
