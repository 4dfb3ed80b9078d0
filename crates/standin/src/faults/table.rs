//! The table with the verdict of each cell.

use std::{collections::BTreeMap, fmt::Write as _, time::Duration};

use serde_json::json;

use super::{
    cell::{CellOutcome, CellPlan},
    fault::FaultKind,
    step::FaultStep,
};

/// Introduction of the Markdown page. `--check` compares the page with a file, so a change here has to be written to
/// that file too.
const PREFACE: &str = "\
# Fault matrix

Every fault at every step, once and twice, on a small fleet with real sockets: 3 data centres, 3 entries, 4 model
engines, 3 booking services and 1 office service as tasks of one process on loopback, under a mixed load of 4 teams.
After each cell all nine promises are checked from what callers and stand-ins observed. This page is written by

    cargo run --release --bin wigeon-standin -- faults --write docs/FAULTS.md

A cell holds the verdict for one injection and for two. `ok` means that all nine promises held;
numbers name broken promises; `error` means that the cell could not be carried out.

Promises: 1 whole weights, 2 within the limit, 3 no new work in a data centre that is out, 4 whole answers, 5 true \"not
run\", 6 at most once, 7 no new work for a leaving upstream, 8 no request cut by a planned stop, 9 configuration in force
within 2 s at this size and never reverted.

";

/// Outcomes of all cells that ran.
#[derive(Debug, Default)]
pub struct FaultTable {
    cells: BTreeMap<(FaultKind, FaultStep, u32), CellOutcome>,
}

impl Extend<(CellPlan, CellOutcome)> for FaultTable {
    fn extend<I: IntoIterator<Item = (CellPlan, CellOutcome)>>(&mut self, cells: I) {
        for (plan, outcome) in cells {
            self.cells.insert((plan.fault, plan.step, plan.times), outcome);
        }
    }
}

impl FaultTable {
    /// True if a promise was broken or a cell could not be run.
    #[must_use]
    pub fn is_broken(&self) -> bool {
        self.cells.values().any(|cell| !cell.broken.is_empty() || !cell.errors.is_empty())
    }

    /// Formats the Markdown page: the introduction and the table.
    #[must_use]
    pub fn to_markdown(&self) -> String {
        format!("{PREFACE}{}", self.to_text())
    }

    /// Formats the table alone, without faults of which no cell ran.
    #[must_use]
    pub fn to_text(&self) -> String {
        let steps: Vec<_> = FaultStep::ALL.map(FaultStep::name).to_vec();
        let mut text = format!("| fault | {} |\n", steps.join(" | "));
        let _ = writeln!(text, "| --- |{}", " --- |".repeat(steps.len()));
        for fault in FaultKind::ALL {
            let verdicts = FaultStep::ALL.map(|step| self.format_verdicts(fault, step));
            if verdicts.iter().any(|verdict| !verdict.is_empty()) {
                let _ = writeln!(text, "| {} | {} |", fault.name(), verdicts.join(" | "));
            }
        }
        text
    }

    /// Formats the totals of all cells as one line of JSON.
    #[must_use]
    pub fn to_json(&self, elapsed: Duration) -> String {
        let sum = |value: fn(&CellOutcome) -> u64| self.cells.values().map(value).sum::<u64>();
        let broken = self.cells.values().filter(|cell| !cell.broken.is_empty()).count();
        let failed = self.cells.values().filter(|cell| !cell.errors.is_empty()).count();
        let in_force = self.cells.values().map(|cell| cell.in_force_s).fold(0.0, f64::max);
        json!({
            "cells": self.cells.len(),
            "broken_cells": broken,
            "failed_cells": failed,
            "sent": sum(|cell| cell.tally.sent),
            "answered": sum(|cell| cell.tally.answered),
            "not_run": sum(|cell| cell.tally.not_run),
            "unknown": sum(|cell| cell.tally.unknown),
            "in_force_max_s": in_force,
            "elapsed_s": elapsed.as_secs_f64(),
        })
        .to_string()
    }

    fn format_verdicts(&self, fault: FaultKind, step: FaultStep) -> String {
        let verdict = |times| self.cells.get(&(fault, step, times)).map(format_verdict);
        [verdict(1), verdict(2)].into_iter().flatten().collect::<Vec<_>>().join(" / ")
    }
}

fn format_verdict(cell: &CellOutcome) -> String {
    if !cell.errors.is_empty() {
        return "error".to_owned();
    }
    if cell.broken.is_empty() {
        return "ok".to_owned();
    }
    cell.broken.iter().map(|promise| promise.number().to_string()).collect::<Vec<_>>().join("+")
}
