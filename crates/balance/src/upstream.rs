//! What an entry knows of one upstream's load and behaviour.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use fleet::{UpstreamRecord, WeightsVersion};
use serde::{Deserialize, Serialize};

/// Reports that are older than this say nothing about now.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_500);
/// A send counts on top of a report if it left less than this before the report arrived: the report was taken before
/// the request could have reached the engine.
const REPORT_DELAY: Duration = Duration::from_millis(12);
/// Time over which the growth of the occupancy counts as prompts that are still to be read: a few passes of an engine.
const UNREAD_WINDOW: Duration = Duration::from_millis(300);
/// Weight of one outcome in the mean of failures.
const OUTCOME_WEIGHT: f64 = 0.15;
/// Failed connections in a row after which an upstream is left alone for a while.
const CONNECT_FAILURES: u32 = 1;
/// First and longest time for which an upstream that cannot be reached is left alone.
const SUSPENSION_RANGE: (Duration, Duration) = (Duration::from_millis(400), Duration::from_secs(4));
/// Mean of failures above which an upstream is left alone for a while.
const FAILING_SHARE: f64 = 0.6;
/// Sends after which the mean of failures says something.
const MIN_OUTCOMES: u32 = 4;

/// State of an upstream as the agent beside it reports it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AgentReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Version of the weights of which all layers are loaded; 0 if there is none.
    pub version: WeightsVersion,
    /// True while an order keeps the engine from accepting requests.
    pub switching: bool,
    /// Time from the report until the engine drops what it runs to change its weights.
    pub change_in: Option<Duration>,
    /// Time of a step in percent of the usual one; 0 if unknown.
    pub pace_percent: u32,
}

/// How a send to an upstream ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SendOutcome {
    /// The upstream answered.
    Answered,
    /// The upstream said that it did not run the request.
    NotRun,
    /// No connection could be made.
    Unreachable,
    /// The connection broke or nothing came in time.
    Failed,
    /// The caller left or the deadline passed; says nothing about the upstream.
    Abandoned,
}

#[derive(Debug)]
pub(crate) struct UpstreamState {
    pub(crate) record: Arc<UpstreamRecord>,
    /// Cold until this moment.
    pub(crate) cold_until: Option<Instant>,
    report: Option<(AgentReport, Instant)>,
    /// Occupancy in the reports of the last moments.
    history: VecDeque<(Instant, u32)>,
    /// Own sends that the last report does not contain yet.
    unreported: VecDeque<Instant>,
    /// Drawn between 0 and 1 with each report; see [`UpstreamState::crowded_occupancy`].
    dither: f64,
    pub(crate) in_flight: u32,
    failing: f64,
    outcomes: u32,
    unreachable: u32,
    pub(crate) suspended_until: Option<Instant>,
}

impl UpstreamState {
    pub(crate) fn new(record: Arc<UpstreamRecord>) -> Self {
        Self {
            record,
            cold_until: None,
            report: None,
            history: VecDeque::new(),
            unreported: VecDeque::new(),
            dither: 0.0,
            in_flight: 0,
            failing: 0.0,
            outcomes: 0,
            unreachable: 0,
            suspended_until: None,
        }
    }

    /// Replaces the record. Another start of the process knows nothing of what was before.
    pub(crate) fn set_record(&mut self, record: Arc<UpstreamRecord>) {
        if record.born != self.record.born || record.address != self.record.address {
            *self = Self::new(record);
        } else {
            self.record = record;
        }
    }

    pub(crate) fn record_report(&mut self, report: AgentReport, dither: f64, now: Instant) {
        self.dither = dither;
        while self
            .unreported
            .front()
            .is_some_and(|sent| now.saturating_duration_since(*sent) > REPORT_DELAY)
        {
            self.unreported.pop_front();
        }
        self.report = Some((report, now));
        self.history.push_back((now, report.running + report.queued));
        while self
            .history
            .front()
            .is_some_and(|(taken, _)| now.saturating_duration_since(*taken) > UNREAD_WINDOW)
        {
            self.history.pop_front();
        }
    }

    /// Requests whose prompts are probably not read yet: own sends that no report contains, and the growth of the
    /// occupancy within the last moments.
    pub(crate) fn unread(&self, now: Instant) -> f64 {
        let recent = |sent: &&Instant| now.saturating_duration_since(**sent) <= REPORT_LIFETIME;
        let own = self.unreported.iter().filter(recent).count();
        let latest = self.history.back().map_or(0, |(_, occupancy)| *occupancy);
        let lowest = self.history.iter().map(|(_, occupancy)| *occupancy).min().unwrap_or(latest);
        f64::from(latest - lowest) + own as f64
    }

    pub(crate) fn report(&self, now: Instant) -> Option<AgentReport> {
        let (report, taken) = self.report?;
        (now.saturating_duration_since(taken) <= REPORT_LIFETIME).then_some(report)
    }

    /// Factor on the usual time of a step, from the last report.
    pub(crate) fn pace(&self, now: Instant) -> f64 {
        let percent = self.report(now).map_or(100, |report| report.pace_percent.max(100));
        f64::from(percent) / 100.0
    }

    /// Time until the engine drops what it runs.
    pub(crate) fn change_in(&self, now: Instant) -> Option<Duration> {
        let (report, taken) = self.report?;
        Some(report.change_in?.saturating_sub(now.saturating_duration_since(taken)))
    }

    pub(crate) fn record_sent(&mut self, now: Instant) {
        self.in_flight += 1;
        // Upstreams without an agent never report.
        while self
            .unreported
            .front()
            .is_some_and(|sent| now.saturating_duration_since(*sent) > REPORT_LIFETIME)
        {
            self.unreported.pop_front();
        }
        self.unreported.push_back(now);
    }

    /// Requests that run or wait, as far as this entry can tell.
    pub(crate) fn occupancy(&self, now: Instant, entries: f64) -> f64 {
        match self.report(now) {
            Some(report) => {
                f64::from(report.running + report.queued) + self.unreported.len() as f64
            }
            None => f64::from(self.in_flight) * entries,
        }
    }

    /// Occupancy if every other entry sends as much as this one before the next report. All entries see the same free
    /// slots; the dither makes each of them use its part of these, also where that part is less than one request.
    pub(crate) fn crowded_occupancy(&self, now: Instant, entries: f64) -> f64 {
        match self.report(now) {
            Some(report) => {
                let own = self.unreported.len() as f64;
                f64::from(report.running + report.queued) + entries * (own + self.dither)
            }
            None => self.occupancy(now, entries),
        }
    }

    pub(crate) fn failing(&self) -> f64 {
        self.failing
    }

    pub(crate) fn record_outcome(&mut self, outcome: SendOutcome, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            SendOutcome::Answered => {
                self.unreachable = 0;
                self.suspended_until = None;
                self.count(0.0);
            }
            // A refusal is an answer: the process is there.
            SendOutcome::NotRun => {
                self.unreachable = 0;
                self.unreported.pop_back();
            }
            SendOutcome::Unreachable => {
                self.unreported.pop_back();
                self.unreachable += 1;
                if self.unreachable >= CONNECT_FAILURES {
                    self.suspend(self.unreachable - CONNECT_FAILURES, now);
                }
            }
            SendOutcome::Failed => {
                self.count(1.0);
                if self.outcomes >= MIN_OUTCOMES && self.failing > FAILING_SHARE {
                    self.suspend(1, now);
                }
            }
            SendOutcome::Abandoned => {}
        }
    }

    fn count(&mut self, failed: f64) {
        self.outcomes = self.outcomes.saturating_add(1);
        self.failing += (failed - self.failing) * OUTCOME_WEIGHT;
    }

    fn suspend(&mut self, doublings: u32, now: Instant) {
        let (first, longest) = SUSPENSION_RANGE;
        let span = first.saturating_mul(1 << doublings.min(4)).min(longest);
        self.suspended_until = Some(now + span);
    }
}
