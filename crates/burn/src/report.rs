//! The service-level report and its text form.

use std::fmt;

use base::TeamId;
use serde::{Deserialize, Serialize};

use crate::{
    meter::{BUDGET_PERIOD, Objective, RequestKind},
    window::ResultCounts,
};

/// Counts of one window.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WindowRow {
    /// Length of the window in seconds.
    pub window_s: u64,
    /// Requests by result.
    pub counts: ResultCounts,
    /// Rate at which the window consumes the error budget; 1 uses it up exactly.
    pub burn_rate: f64,
}

/// Service level of one team and kind of request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BurnRow {
    /// Id of the team.
    pub team: TeamId,
    /// Kind of request.
    pub kind: RequestKind,
    /// Objective.
    pub objective: Objective,
    /// Windows, the shortest first.
    pub windows: Vec<WindowRow>,
    /// Time until the error budget is spent at the rate of the shortest window, in seconds; 0 if it is spent, absent if
    /// nothing burns.
    pub exhausted_in_s: Option<u64>,
}

/// Latency of answered requests of one kind.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LatencyRow {
    /// Kind of request.
    pub kind: RequestKind,
    /// Requests in the last one to two hours.
    pub count: u64,
    /// Median in milliseconds.
    pub p50_ms: u64,
    /// 95th percentile in milliseconds.
    pub p95_ms: u64,
    /// 99th percentile in milliseconds.
    pub p99_ms: u64,
    /// Longest in milliseconds.
    pub max_ms: u64,
}

/// Service level as one entry, or several together, have counted it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BurnReport {
    /// Time covered by the counters, in seconds.
    pub covered_s: u64,
    /// One row for each team and kind.
    pub rows: Vec<BurnRow>,
    /// Latencies of one entry; empty in a merged report, because percentiles cannot be added.
    pub latencies: Vec<LatencyRow>,
}

impl BurnRow {
    /// Computes burn rates and the time to exhaustion from the counts in `windows`.
    #[must_use]
    pub fn new(
        team: TeamId,
        kind: RequestKind,
        objective: Objective,
        mut windows: Vec<WindowRow>,
    ) -> Self {
        for row in &mut windows {
            row.burn_rate = row.counts.burn_rate(objective.fraction);
        }
        let exhausted_in_s = time_to_exhaustion(&windows);
        Self { team, kind, objective, windows, exhausted_in_s }
    }
}

/// The longest window tells what is left of the budget, the shortest how fast it is spent.
fn time_to_exhaustion(windows: &[WindowRow]) -> Option<u64> {
    let (shortest, longest) = (windows.first()?, windows.last()?);
    let left = (1.0 - longest.burn_rate).max(0.0);
    if left == 0.0 {
        return Some(0);
    }
    let seconds = left * BUDGET_PERIOD.as_secs_f64() / shortest.burn_rate;
    (shortest.burn_rate > 0.0).then_some(seconds as u64)
}

impl BurnReport {
    /// Adds up the reports of several entries. Rows keep the objective of the first report that names them.
    #[must_use]
    pub fn merged(reports: impl IntoIterator<Item = Self>) -> Self {
        let mut merged = Self::default();
        for report in reports {
            merged.covered_s = merged.covered_s.max(report.covered_s);
            for row in report.rows {
                merged.add_row(row);
            }
        }
        merged.rows.sort_by(|left, right| (&left.team, left.kind).cmp(&(&right.team, right.kind)));
        merged
    }

    fn add_row(&mut self, row: BurnRow) {
        let same = |other: &BurnRow| other.team == row.team && other.kind == row.kind;
        let Some(position) = self.rows.iter().position(same) else {
            self.rows.push(row);
            return;
        };
        let mut windows = std::mem::take(&mut self.rows[position].windows);
        for (window, other) in windows.iter_mut().zip(&row.windows) {
            window.counts.add(&other.counts);
        }
        let objective = self.rows[position].objective;
        self.rows[position] = BurnRow::new(row.team, row.kind, objective, windows);
    }
}

impl fmt::Display for BurnReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<20} {:<10} {:>6} {:>9} {:>8} {:>8} {:>8} {:>8}  exhausted",
            "team", "kind", "window", "in_time", "late", "not_run", "unknown", "burn",
        )?;
        for row in &self.rows {
            let exhausted = row.exhausted_in_s.map_or("-".to_owned(), span_text);
            for window in &row.windows {
                let counts = &window.counts;
                writeln!(
                    formatter,
                    "{:<20} {:<10} {:>6} {:>9} {:>8} {:>8} {:>8} {:>8.2}  {exhausted}",
                    row.team,
                    row.kind.to_string(),
                    span_text(window.window_s),
                    counts.in_time,
                    counts.late,
                    counts.not_run,
                    counts.unknown,
                    window.burn_rate,
                )?;
            }
        }
        if !self.latencies.is_empty() {
            writeln!(
                formatter,
                "\n{:<10} {:>9} {:>8} {:>8} {:>8} {:>8}",
                "kind", "answered", "p50_ms", "p95_ms", "p99_ms", "max_ms",
            )?;
        }
        for row in &self.latencies {
            writeln!(
                formatter,
                "{:<10} {:>9} {:>8} {:>8} {:>8} {:>8}",
                row.kind.to_string(),
                row.count,
                row.p50_ms,
                row.p95_ms,
                row.p99_ms,
                row.max_ms,
            )?;
        }
        Ok(())
    }
}

fn span_text(seconds: u64) -> String {
    match seconds {
        0..60 => format!("{seconds}s"),
        60..3_600 => format!("{}m", seconds / 60),
        _ => format!("{}h{:02}m", seconds / 3_600, seconds % 3_600 / 60),
    }
}
