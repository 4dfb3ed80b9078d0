//! The nine promises (guarantees of the design) and their checks at the end of a cell.

use std::time::Duration;

use serde::Serialize;

use super::cell::CellFleet;
use crate::{
    ledger::AttemptResult,
    observer::{Observation, ServeTally},
    platform::work::WorkEnd,
};

/// Maximum time for which an upstream still receives new work after it began to leave or its data centre was taken out
/// of service.
const MAX_NEW_WORK_DELAY: Duration = Duration::from_secs(3);
/// Maximum time from the publication of a configuration until it is active on every process, for a fleet of this size.
const MAX_IN_FORCE_TIME: Duration = Duration::from_secs(2);

/// A guarantee of the design, with the design's numbers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// 1: no host serves incomplete weights or a mix of two versions.
    WholeWeights,
    /// 2: an upstream never receives more work than its concurrency limit.
    WithinLimit,
    /// 3: a data centre that is out of service receives no new work after a few seconds.
    OutIsOut,
    /// 4: every caller receives the complete response to its own request.
    WholeAnswer,
    /// 5: a request reported as "not run" was not run.
    TrueNotRun,
    /// 6: a request that is not idempotent runs at most once.
    AtMostOnce,
    /// 7: a leaving upstream receives no new work after a few seconds.
    LeavingIsLeft,
    /// 8: a graceful stop interrupts no request.
    GracefulStop,
    /// 9: a configuration becomes active everywhere within seconds and is never reverted.
    ConfigInForce,
}

impl Promise {
    /// Number of the promise in the design, from 1 to 9.
    #[must_use]
    pub fn number(self) -> u32 {
        self as u32 + 1
    }
}

/// Returns the promises that were broken in a cell.
pub(super) fn broken_promises(
    cell: &CellFleet,
    observation: &Observation,
    tally: &ServeTally,
    reverts: u64,
    in_force: Duration,
) -> Vec<Promise> {
    let wrong_tokens = observation.requests.iter().any(|request| {
        request.attempts.iter().any(|attempt| matches!(attempt.result, AttemptResult::Wrong(_)))
    });
    let checks = [
        (Promise::WholeWeights, !wrong_tokens && tally.wrong_answer == 0),
        (Promise::WithinLimit, tally.over_limit_peak == 0),
        (Promise::OutIsOut, tally.last_new_work_after_out_s <= MAX_NEW_WORK_DELAY.as_secs_f64()),
        (Promise::WholeAnswer, tally.wrong_answer == 0 && tally.lost == 0),
        (Promise::TrueNotRun, tally.untrue_not_run == 0),
        (Promise::AtMostOnce, tally.doubled == 0),
        (Promise::LeavingIsLeft, !has_late_work(cell, observation)),
        (Promise::GracefulStop, !stop_interrupted_request(cell, observation)),
        (Promise::ConfigInForce, reverts == 0 && in_force <= MAX_IN_FORCE_TIME),
    ];
    checks.into_iter().filter(|(_, holds)| !holds).map(|(promise, _)| promise).collect()
}

fn has_late_work(cell: &CellFleet, observation: &Observation) -> bool {
    cell.drained_agent.is_some_and(|(index, since)| {
        let records = &observation.work[index].records;
        records.iter().any(|record| record.accepted_at > since + MAX_NEW_WORK_DELAY)
    })
}

/// True if a caller lost the response of a request that was running on the gracefully stopped upstream.
fn stop_interrupted_request(cell: &CellFleet, observation: &Observation) -> bool {
    let Some((index, _)) = cell.drained_agent else { return false };
    let cancelled =
        observation.work[index].records.iter().filter(|run| run.end == WorkEnd::Cancelled);
    cancelled.into_iter().any(|run| {
        let requests =
            observation.requests.iter().filter(|request| request.reference == run.reference);
        requests.flat_map(|request| &request.attempts).any(|attempt| {
            attempt.sent_at <= run.accepted_at
                && matches!(attempt.result, AttemptResult::Broken | AttemptResult::NoAnswer)
        })
    })
}
