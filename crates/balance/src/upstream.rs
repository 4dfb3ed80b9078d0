//! Load and health of one upstream, as an entry knows them.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use fleet::{UpstreamRecord, WeightsVersion};
use serde::{Deserialize, Serialize};

use crate::forecast::EngineLoad;

/// Maximum age of a report; older ones are ignored as stale.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);
/// Requests sent less than this before a report arrived are counted in addition to the report, because the agent
/// created it before they could have reached the engine.
const REPORT_DELAY: Duration = Duration::from_millis(12);
/// Window in which an increase of the occupancy counts as pending prefills: a few passes of an engine.
const PREFILL_WINDOW: Duration = Duration::from_millis(300);
/// Period after an engine has loaded weights in which the entries begin to use it one after the other: a few intervals
/// between two reports.
const SLOW_START: Duration = Duration::from_secs(1);
/// Weight of the latest outcome in the moving average of failures.
const FAILURE_RATE_SMOOTHING: f64 = 0.15;
/// Number of consecutive connection failures after which an upstream is ejected.
const EJECT_AFTER_CONNECT_FAILURES: u32 = 1;
/// Shortest and longest ejection. The time doubles with each further connection failure.
const EJECTION_RANGE: (Duration, Duration) = (Duration::from_millis(400), Duration::from_secs(4));
/// Failure rate above which an upstream is ejected.
const MAX_FAILURE_RATE: f64 = 0.6;
/// Minimum number of outcomes before the failure rate may eject an upstream.
const MIN_OUTCOMES: u32 = 4;

/// State of an upstream as reported by the agent on its host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AgentReport {
    /// Number of requests that run.
    pub running: u32,
    /// Number of requests that wait.
    pub queued: u32,
    /// Version of the weights that the engine serves and whose load the agent has verified; 0 if there is none.
    pub version: WeightsVersion,
    /// Version that the engine has loaded but whose load this process of the agent has not verified; 0 if there is none.
    #[serde(default)]
    pub unverified_version: WeightsVersion,
    /// Start time of the engine in Unix milliseconds; `None` if it does not respond.
    #[serde(default)]
    pub engine_started_ms: Option<u64>,
    /// Number of load orders that the engine has accepted since its start.
    #[serde(default)]
    pub load_orders: u64,
    /// True while the engine does not accept requests because it was ordered to switch weights.
    pub switching: bool,
    /// Time from the report until the engine stops accepting requests to switch weights; `None` if no switch is scheduled.
    /// Running requests end before the switch; those that still wait are refused.
    pub change_in: Option<Duration>,
    /// Time of a step in percent of the configured one; 0 if unknown.
    #[serde(rename = "pace_percent")]
    pub slowdown_percent: u32,
    /// Expected time from the report until the engine serves the declared version of the weights; `None` if it serves it
    /// already or the time is unknown.
    pub weights_in: Option<Duration>,
}

impl AgentReport {
    /// Number of requests that run or wait.
    pub(crate) fn occupancy(&self) -> u32 {
        self.running.saturating_add(self.queued)
    }

    /// Version of the weights that requests may run on; `verified` is the last load that an agent has verified.
    fn usable_version(
        &self,
        verified: Option<VerifiedLoad>,
    ) -> Option<(WeightsVersion, WeightsEvidence)> {
        if self.version > 0 {
            return Some((self.version, WeightsEvidence::Report));
        }
        let known = verified.filter(|known| self.is_load(*known))?;
        Some((known.version, WeightsEvidence::Memory))
    }

    /// True if the engine still has this load, which this process of the agent has not verified.
    fn is_load(&self, load: VerifiedLoad) -> bool {
        self.engine_started_ms == Some(load.engine_started_ms)
            && self.unverified_version == load.version
            && self.load_orders == load.load_orders
    }

    /// True if the engine accepts requests.
    fn is_serving(&self, verified: Option<VerifiedLoad>) -> bool {
        self.usable_version(verified).is_some() && !self.switching
    }
}

/// Load of weights that an agent has verified.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VerifiedLoad {
    /// Start time of the engine in Unix milliseconds.
    pub engine_started_ms: u64,
    /// Version of the weights.
    pub version: WeightsVersion,
    /// Number of load orders that the engine had accepted when an agent stated this.
    pub load_orders: u64,
}

impl VerifiedLoad {
    /// Last verified load after a report; `known` is the one before. A report of an engine that does not respond states
    /// nothing; one of another load, or of a corrupt one, ends what was known.
    pub(crate) fn after_report(known: Option<Self>, report: &AgentReport) -> Option<Self> {
        let Some(engine_started_ms) = report.engine_started_ms else { return known };
        match report.version {
            0 => known.filter(|known| report.is_load(*known)),
            version => Some(Self { engine_started_ms, version, load_orders: report.load_orders }),
        }
    }
}

/// On what the version of an upstream's weights rests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WeightsEvidence {
    /// A current report of the upstream's agent, which has verified the load.
    Report,
    /// An earlier report of the same load by an agent that is silent now or has restarted.
    Memory,
}

impl WeightsEvidence {
    /// Name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Report => "report",
            Self::Memory => "memory",
        }
    }
}

/// How an attempt ended, as evidence of the upstream's health.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AttemptOutcome {
    /// The upstream responded.
    Answered,
    /// The upstream reported that it did not run the request.
    NotRun,
    /// No connection could be made.
    Unreachable,
    /// The connection broke, or no response arrived in time.
    Failed,
    /// The caller disconnected or the deadline passed; the upstream is not to blame.
    Abandoned,
}

#[derive(Debug)]
pub(crate) struct UpstreamState {
    pub(crate) record: Arc<UpstreamRecord>,
    /// End of the cold period according to the record; `None` if the upstream is not cold.
    cold_until: Option<Instant>,
    /// End of the cold period that a response stated, and the time of that response.
    stated_cold: Option<(Instant, Instant)>,
    report: Option<(AgentReport, Instant)>,
    /// Last load at its address that an agent has verified; see [`VerifiedLoad::after_report`].
    pub(crate) verified: Option<VerifiedLoad>,
    /// Occupancy according to the reports within [`PREFILL_WINDOW`].
    occupancy_history: VecDeque<(Instant, u32)>,
    /// Send times of own requests that the last report does not include yet.
    unreported: VecDeque<Instant>,
    /// Random number between 0 and 1, regenerated with each report; see [`UpstreamState::projected_occupancy`].
    dither: f64,
    /// Time from which this entry uses an engine that has just loaded weights.
    used_from: Option<Instant>,
    pub(crate) in_flight: u32,
    failure_rate: f64,
    outcomes: u32,
    connect_failures: u32,
    pub(crate) ejected_until: Option<Instant>,
}

impl UpstreamState {
    pub(crate) fn new(record: Arc<UpstreamRecord>) -> Self {
        Self {
            record,
            cold_until: None,
            stated_cold: None,
            report: None,
            verified: None,
            occupancy_history: VecDeque::new(),
            unreported: VecDeque::new(),
            dither: 0.0,
            used_from: None,
            in_flight: 0,
            failure_rate: 0.0,
            outcomes: 0,
            connect_failures: 0,
            ejected_until: None,
        }
    }

    /// Replaces the record. A restart of the upstream or a change of its address resets load and health.
    pub(crate) fn set_record(&mut self, record: Arc<UpstreamRecord>) {
        if record.started_ms != self.record.started_ms || record.address != self.record.address {
            *self = Self::new(record);
        } else {
            self.record = record;
        }
    }

    /// Sets the end of the cold period according to a record that changed at `changed`. A record does not replace what a
    /// later response stated; `None` if the time of the change is not known.
    pub(crate) fn set_cold(&mut self, cold_for: Duration, changed: Option<Instant>, now: Instant) {
        self.cold_until = Some(changed.unwrap_or(now) + cold_for);
        self.stated_cold = self
            .stated_cold
            .filter(|(_, stated_at)| changed.is_none_or(|changed| changed < *stated_at));
    }

    /// Records a response that states how much longer the upstream is cold.
    pub(crate) fn record_cold(&mut self, cold_for: Duration, now: Instant) {
        self.stated_cold = Some((now + cold_for, now));
    }

    /// Remaining time for which the upstream is cold.
    pub(crate) fn cold_for(&self, now: Instant) -> Duration {
        let stated = self.stated_cold.map(|(until, _)| until);
        let until = stated.or(self.cold_until);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// True if a report was delayed and is from before the last known start of the engine.
    pub(crate) fn is_delayed(&self, report: &AgentReport) -> bool {
        let known = self.report.and_then(|(known, _)| known.engine_started_ms);
        let latest_start = self.record.started_ms.max(known.unwrap_or(0));
        report.engine_started_ms.is_some_and(|started_ms| started_ms < latest_start)
    }

    /// True if the record listed the weights of a load completely and `record` no longer does. If they are listed again later,
    /// they are another load.
    pub(crate) fn is_given_up(&self, load: VerifiedLoad, record: &UpstreamRecord) -> bool {
        let lists = |record: &UpstreamRecord| {
            let mut complete = record.weights.iter().filter(|weights| weights.complete);
            record.started_ms == load.engine_started_ms
                && complete.any(|weights| weights.version == load.version)
        };
        lists(&self.record) && !lists(record)
    }

    /// Forgets the last report, which may be outdated after a pause of this process.
    pub(crate) fn forget_report(&mut self) {
        (self.report, self.verified) = (None, None);
    }

    /// Records a report, after which `verified` is the last load that an agent has verified.
    pub(crate) fn record_report(
        &mut self,
        report: AgentReport,
        verified: Option<VerifiedLoad>,
        dither: f64,
        now: Instant,
    ) {
        self.dither = dither;
        while self
            .unreported
            .front()
            .is_some_and(|sent| now.saturating_duration_since(*sent) > REPORT_DELAY)
        {
            self.unreported.pop_front();
        }
        let has_loaded = self.report.is_some_and(|(known, _)| !known.is_serving(self.verified));
        self.verified = verified;
        if has_loaded && report.is_serving(self.verified) {
            self.used_from = Some(now + SLOW_START.mul_f64(dither));
        }
        self.report = Some((report, now));
        self.occupancy_history.push_back((now, report.occupancy()));
        while self
            .occupancy_history
            .front()
            .is_some_and(|(taken, _)| now.saturating_duration_since(*taken) > PREFILL_WINDOW)
        {
            self.occupancy_history.pop_front();
        }
    }

    /// Estimated number of requests whose prefill is pending: own requests that no report includes yet, and the
    /// increase of the occupancy within [`PREFILL_WINDOW`].
    pub(crate) fn pending_prefills(&self, now: Instant) -> f64 {
        let recent = |sent: &&Instant| now.saturating_duration_since(**sent) <= MAX_REPORT_AGE;
        let own = self.unreported.iter().filter(recent).count();
        let latest = self.occupancy_history.back().map_or(0, |(_, occupancy)| *occupancy);
        let lowest =
            self.occupancy_history.iter().map(|(_, occupancy)| *occupancy).min().unwrap_or(latest);
        f64::from(latest - lowest) + own as f64
    }

    pub(crate) fn report(&self, now: Instant) -> Option<AgentReport> {
        let (report, taken) = self.report?;
        (now.saturating_duration_since(taken) <= MAX_REPORT_AGE).then_some(report)
    }

    /// Version of the weights that requests may run on: one whose load an agent has verified. What the engine or the store
    /// lists does not suffice, because the engine may have loaded corrupt chunks.
    pub(crate) fn version(&self, now: Instant) -> Option<WeightsVersion> {
        self.version_with_evidence(now).map(|(version, _)| version)
    }

    /// The same with its evidence.
    pub(crate) fn version_with_evidence(
        &self,
        now: Instant,
    ) -> Option<(WeightsVersion, WeightsEvidence)> {
        match self.report(now) {
            Some(report) => report.usable_version(self.verified),
            None => {
                let complete = self.record.weights.iter().filter(|weights| weights.complete);
                let listed = complete.map(|weights| weights.version).max();
                let known = self.verified.filter(|known| {
                    known.engine_started_ms == self.record.started_ms
                        && listed == Some(known.version)
                })?;
                Some((known.version, WeightsEvidence::Memory))
            }
        }
    }

    /// True if the engine has just loaded weights, and other entries are to use it before this one. All entries see it idle
    /// at the same time, and would fill it with more prefills than it can do in time before the next report.
    pub(crate) fn is_starting(&self, now: Instant) -> bool {
        self.used_from.is_some_and(|from| now < from)
    }

    /// Factor on the configured time of a step according to the last report; at least 1.
    pub(crate) fn slowdown(&self, now: Instant) -> f64 {
        let percent = self.report(now).map_or(100, |report| report.slowdown_percent.max(100));
        f64::from(percent) / 100.0
    }

    /// Load of the engine if `occupancy` requests run or wait there.
    pub(crate) fn engine_load(&self, occupancy: f64, now: Instant) -> EngineLoad {
        EngineLoad {
            occupancy,
            pending_prefills: self.pending_prefills(now),
            slowdown: self.slowdown(now),
        }
    }

    /// Time until the engine stops accepting requests to switch weights, according to a current report: an agent that no
    /// longer reports orders nothing either.
    pub(crate) fn time_to_switch(&self, now: Instant) -> Option<Duration> {
        let (report, taken) = self.report?;
        self.report(now)?;
        Some(report.change_in?.saturating_sub(now.saturating_duration_since(taken)))
    }

    pub(crate) fn record_sent(&mut self, now: Instant) {
        self.in_flight += 1;
        // Upstreams without an agent never report, so old send times have to be removed here as well.
        while self
            .unreported
            .front()
            .is_some_and(|sent| now.saturating_duration_since(*sent) > MAX_REPORT_AGE)
        {
            self.unreported.pop_front();
        }
        self.unreported.push_back(now);
    }

    /// Number of own requests that were sent after `stated` and may still run. Send times older than the maximum age of a
    /// report are not kept.
    pub(crate) fn sent_since(&self, stated: Instant) -> u32 {
        let sent = self.unreported.iter().rev().take_while(|sent| **sent >= stated).count();
        u32::try_from(sent).unwrap_or(u32::MAX).min(self.in_flight)
    }

    /// True if the last attempts to connect failed.
    pub(crate) fn is_unproven(&self) -> bool {
        self.connect_failures > 0
    }

    /// Estimated number of requests that run or wait. Without a report, all entries are assumed to send as much as this
    /// one.
    pub(crate) fn occupancy(&self, now: Instant, entries: f64) -> f64 {
        match self.report(now) {
            Some(report) => f64::from(report.occupancy()) + self.unreported.len() as f64,
            None => f64::from(self.in_flight) * entries,
        }
    }

    /// Occupancy if `entries` entries send as much as this one before the next report. All entries see the same free
    /// slots. The dither makes each entry use only its share of them, even if that share is less than one request.
    pub(crate) fn projected_occupancy(&self, now: Instant, entries: f64) -> f64 {
        match self.report(now) {
            Some(report) => {
                let own = self.unreported.len() as f64;
                f64::from(report.occupancy()) + entries * (own + self.dither)
            }
            None => self.occupancy(now, entries),
        }
    }

    pub(crate) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    pub(crate) fn record_outcome(&mut self, outcome: AttemptOutcome, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            AttemptOutcome::Answered => {
                self.connect_failures = 0;
                self.ejected_until = None;
                self.update_failure_rate(0.0);
            }
            // The upstream is reachable, since it responded with a refusal.
            AttemptOutcome::NotRun => {
                self.connect_failures = 0;
                self.unreported.pop_back();
            }
            AttemptOutcome::Unreachable => {
                self.unreported.pop_back();
                self.connect_failures += 1;
                if self.connect_failures >= EJECT_AFTER_CONNECT_FAILURES {
                    self.eject(self.connect_failures - EJECT_AFTER_CONNECT_FAILURES, now);
                }
            }
            AttemptOutcome::Failed => {
                self.update_failure_rate(1.0);
                if self.outcomes >= MIN_OUTCOMES && self.failure_rate > MAX_FAILURE_RATE {
                    self.eject(1, now);
                }
            }
            AttemptOutcome::Abandoned => {}
        }
    }

    fn update_failure_rate(&mut self, failed: f64) {
        self.outcomes = self.outcomes.saturating_add(1);
        self.failure_rate += (failed - self.failure_rate) * FAILURE_RATE_SMOOTHING;
    }

    fn eject(&mut self, doublings: u32, now: Instant) {
        let (first, longest) = EJECTION_RANGE;
        let span = first.saturating_mul(1 << doublings.min(4)).min(longest);
        self.ejected_until = Some(now + span);
    }
}
