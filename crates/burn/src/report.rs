//! Service-level report and its text form.

use std::fmt;

use base::TeamId;
use serde::{Deserialize, Serialize};

use crate::{
    meter::{BUDGET_PERIOD, Objective, RequestKind},
    window::ResultCounts,
};

/// Counts and burn rate of one sliding window.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WindowRow {
    /// Length of the window in seconds.
    pub window_s: u64,
    /// Number of requests by result.
    pub counts: ResultCounts,
    /// Burn rate of the error budget in the window; see [`ResultCounts::burn_rate`].
    pub burn_rate: f64,
}

/// Service level of one team for one kind of request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BurnRow {
    /// Id of the team; `*` for teams that are counted together.
    pub team: TeamId,
    /// Kind of request.
    pub kind: RequestKind,
    /// Objective that the requests are measured against.
    pub objective: Objective,
    /// Sliding windows, the shortest first.
    pub windows: Vec<WindowRow>,
    /// Time in seconds until the error budget is used up at the burn rate of the shortest window; 0 if it is used up
    /// already, and `None` if that burn rate is 0.
    pub exhausted_in_s: Option<u64>,
}

/// Latency of answered requests of one kind.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LatencyRow {
    /// Kind of request.
    pub kind: RequestKind,
    /// Number of answered requests in the last one to two hours.
    pub count: u64,
    /// Median latency in milliseconds.
    pub p50_ms: u64,
    /// 95th percentile in milliseconds.
    pub p95_ms: u64,
    /// 99th percentile in milliseconds.
    pub p99_ms: u64,
    /// Maximum latency in milliseconds.
    pub max_ms: u64,
}

/// Service levels counted by one entry, or merged from several entries.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BurnReport {
    /// Time covered by the counters in seconds, up to [`BUDGET_PERIOD`]; the longest one in a merged report.
    pub covered_s: u64,
    /// One row for each team and kind of request.
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

/// Computes the remaining budget from the longest window, and the rate at which it is used up from the shortest.
fn time_to_exhaustion(windows: &[WindowRow]) -> Option<u64> {
    let (shortest, longest) = (windows.first()?, windows.last()?);
    let remaining = (1.0 - longest.burn_rate).max(0.0);
    if remaining == 0.0 {
        return Some(0);
    }
    let seconds = remaining * BUDGET_PERIOD.as_secs_f64() / shortest.burn_rate;
    (shortest.burn_rate > 0.0).then_some(seconds as u64)
}

impl BurnReport {
    /// Merges the reports of several entries by adding up their counts. If the objectives of a row differ, the one of
    /// the first report with that row is used.
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
        let is_same_row = |other: &BurnRow| other.team == row.team && other.kind == row.kind;
        let Some(position) = self.rows.iter().position(is_same_row) else {
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
            let exhausted = row.exhausted_in_s.map_or("-".to_owned(), format_seconds);
            for window in &row.windows {
                let counts = &window.counts;
                writeln!(
                    formatter,
                    "{:<20} {:<10} {:>6} {:>9} {:>8} {:>8} {:>8} {:>8.2}  {exhausted}",
                    row.team,
                    row.kind.to_string(),
                    format_seconds(window.window_s),
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

fn format_seconds(seconds: u64) -> String {
    match seconds {
        0..60 => format!("{seconds}s"),
        60..3_600 => format!("{}m", seconds / 60),
        _ => format!("{}h{:02}m", seconds / 3_600, seconds % 3_600 / 60),
    }
}
