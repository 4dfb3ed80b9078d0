//! Upstreams known to an entry: their registration, last report and the requests sent to them since that report.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use base::{ContentDigest, DataCentreId, Incarnation, ServiceId, UpstreamId};
use config::{FleetConfig, HostList, HostState, UpstreamKind};

/// Age at which a report expires and the upstream is no longer a candidate. Agents are probed twice a second, so this
/// is four missed responses, and it stays below the 3 s within which a leaving upstream must stop receiving new work.
pub const REPORT_MAX_AGE: Duration = Duration::from_secs(2);

/// Maximum age of the load carried by a response on arrival, set to twice the one-way latency between regions. The load
/// may not include requests that this entry sent within that time.
const MAX_LOAD_DELAY: Duration = Duration::from_millis(6);

/// Maximum number of sent requests tracked for one upstream. An upstream that gets more than this between two reports
/// is overloaded in any case.
const MAX_SENT_REQUESTS: usize = 1_024;

/// Load of an upstream as reported by its agent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UpstreamLoad {
    /// Maximum number of concurrent requests that the agent allows.
    pub limit: u32,
    /// Requests that the upstream is processing.
    pub in_use: u32,
    /// Requests queued in the agent.
    pub queued: u32,
    /// Number of the measurement, which increases within an incarnation of the agent; 0 if the agent does not number
    /// its measurements.
    pub sequence: u64,
}

impl UpstreamLoad {
    /// Returns true if this was measured after `other`, both by the same incarnation of the agent.
    fn is_newer_than(&self, other: &Self) -> bool {
        self.sequence > other.sequence
    }
}

/// Status of an upstream as reported by its agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamReport {
    /// Incarnation of the agent process.
    pub incarnation: Incarnation,
    /// Uptime of the agent when it sent the report.
    pub uptime: Duration,
    /// Load of the upstream when the agent sent the report.
    pub load: UpstreamLoad,
    /// Manifests that the engine reports as loaded.
    pub ready: Vec<ContentDigest>,
    /// True if the agent accepts no new work.
    pub draining: bool,
    /// True if the upstream responds to its agent.
    pub upstream_up: bool,
}

/// Properties of an upstream taken from the configuration and the host list.
#[derive(Clone, Debug)]
struct Registration {
    data_centre: DataCentreId,
    kind: UpstreamKind,
    service: Option<ServiceId>,
    /// True if the data centre is out of service or unknown.
    out: bool,
    /// True if the agent's host is leaving or missing from the host list.
    leaving: bool,
}

/// Last report about one upstream, and what this entry has observed since.
#[derive(Clone, Debug)]
pub(crate) struct ReportRecord {
    pub(crate) report: UpstreamReport,
    /// Time at which the last recorded probe was sent, or that of a later failure. Responses to probes sent earlier are
    /// ignored.
    probe_sent_at: Instant,
    received_at: Instant,
    suspected: bool,
    sent_since_report: VecDeque<Instant>,
}

impl ReportRecord {
    /// Returns the number of requests running, queued and in transit.
    fn outstanding(&self) -> u64 {
        let load = &self.report.load;
        u64::from(load.in_use) + u64::from(load.queued) + self.sent_since_report.len() as u64
    }

    /// Returns the outstanding requests as a multiple of the limit.
    pub(crate) fn relative_load(&self) -> f64 {
        self.outstanding() as f64 / f64::from(self.report.load.limit.max(1))
    }

    /// Returns true if one more request stays within the limit.
    pub(crate) fn has_free_slot(&self) -> bool {
        self.outstanding() < u64::from(self.report.load.limit)
    }

    /// Returns a lower bound of the agent's uptime at `now`.
    pub(crate) fn uptime(&self, now: Instant) -> Duration {
        self.report.uptime + now.saturating_duration_since(self.received_at)
    }

    fn update_load(&mut self, measured_at: Instant, load: UpstreamLoad) {
        self.report.load = load;
        self.sent_since_report.retain(|sent_at| *sent_at > measured_at);
    }
}

/// Table of the fleet's upstreams as seen by one entry.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    registered: HashMap<UpstreamId, Registration>,
    model_upstreams: usize,
    // Ordered, so that a choice made with a seeded generator is reproducible.
    reports: BTreeMap<UpstreamId, ReportRecord>,
}

impl UpstreamTable {
    /// Creates an empty table. No upstream is a candidate until [`Self::set_fleet`] has been called.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the configuration and the host list. Reports of upstreams that are no longer registered are dropped.
    pub fn set_fleet(&mut self, config: &FleetConfig, hosts: &HostList) {
        let out: HashMap<_, _> =
            config.data_centres.iter().map(|record| (&record.id, record.out)).collect();
        let live: HashMap<_, _> = hosts
            .agents()
            .filter_map(|record| Some((record.upstream.as_ref()?, record.state == HostState::Live)))
            .collect();
        self.registered = config
            .upstreams
            .iter()
            .map(|record| {
                let registration = Registration {
                    data_centre: record.data_centre.clone(),
                    kind: record.kind,
                    service: record.service.clone(),
                    out: out.get(&record.data_centre).copied().unwrap_or(true),
                    leaving: !live.get(&record.id).copied().unwrap_or(false),
                };
                (record.id.clone(), registration)
            })
            .collect();
        self.model_upstreams =
            config.upstreams.iter().filter(|record| record.kind == UpstreamKind::Model).count();
        self.reports.retain(|upstream, _| self.registered.contains_key(upstream));
    }

    /// Records the response to a probe sent at `probe_sent_at`. Returns true if the incarnation changed.
    ///
    /// The response is ignored if the probe was sent before that of the last recorded report or before a recorded
    /// failure, because it may come from an incarnation that no longer exists.
    pub fn record_report(
        &mut self,
        probe_sent_at: Instant,
        received_at: Instant,
        upstream: &str,
        report: UpstreamReport,
    ) -> bool {
        if !self.registered.contains_key(upstream) {
            return false;
        }
        let Some(record) = self.reports.get_mut(upstream) else {
            let sent_since_report = VecDeque::new();
            let record = ReportRecord {
                report,
                probe_sent_at,
                received_at,
                suspected: false,
                sent_since_report,
            };
            self.reports.insert(upstream.into(), record);
            return false;
        };
        if probe_sent_at < record.probe_sent_at {
            return false;
        }
        let restarted = record.report.incarnation != report.incarnation;
        if restarted {
            record.sent_since_report.clear();
        }
        // The response to a request may have overtaken the response to the probe.
        let has_newer_load = !restarted && record.report.load.is_newer_than(&report.load);
        let load = if has_newer_load { record.report.load } else { report.load };
        record.report = report;
        record.probe_sent_at = probe_sent_at;
        record.received_at = received_at;
        record.suspected = false;
        record.update_load(probe_sent_at, load);
        restarted
    }

    /// Records the load carried by a response, unless it is older than the last one recorded or comes from a different
    /// incarnation than the last report.
    pub fn record_load(
        &mut self,
        now: Instant,
        upstream: &str,
        incarnation: Incarnation,
        load: UpstreamLoad,
    ) {
        let measured_at = now.checked_sub(MAX_LOAD_DELAY).unwrap_or(now);
        let Some(record) = self.current_mut(upstream, incarnation) else { return };
        let is_newer = match load.sequence {
            0 => measured_at >= record.probe_sent_at,
            _ => load.is_newer_than(&record.report.load),
        };
        if is_newer {
            record.update_load(measured_at, load);
        }
    }

    /// Records that this entry sent a request, which counts as load until a report or a response accounts for it.
    pub fn record_sent(&mut self, now: Instant, upstream: &str, incarnation: Incarnation) {
        if let Some(record) = self.current_mut(upstream, incarnation)
            && record.sent_since_report.len() < MAX_SENT_REQUESTS
        {
            record.sent_since_report.push_back(now);
        }
    }

    /// Records a failed connection or a missed probe. The upstream is not a candidate until it responds to a probe sent
    /// after the failure.
    pub fn record_failure(&mut self, now: Instant, upstream: &str, incarnation: Incarnation) {
        if let Some(record) = self.current_mut(upstream, incarnation) {
            record.suspected = true;
            record.probe_sent_at = record.probe_sent_at.max(now);
        }
    }

    /// Records that the agent reported that it accepts no new work.
    pub fn record_draining(&mut self, upstream: &str, incarnation: Incarnation) {
        if let Some(record) = self.current_mut(upstream, incarnation) {
            record.report.draining = true;
        }
    }

    /// Discards all reports. Used after a process pause, when they are stale.
    pub fn clear_reports(&mut self) {
        self.reports.clear();
    }

    /// Returns the incarnation in the last report, or `None` without a report.
    #[must_use]
    pub fn incarnation(&self, upstream: &str) -> Option<Incarnation> {
        self.reports.get(upstream).map(|record| record.report.incarnation)
    }

    /// Returns the data centre of an upstream, or `None` if the upstream is not registered.
    #[must_use]
    pub fn data_centre(&self, upstream: &str) -> Option<&DataCentreId> {
        self.registered.get(upstream).map(|registration| &registration.data_centre)
    }

    /// Returns the upstreams of a kind and service that may receive new work at `now`.
    pub(crate) fn usable<'a>(
        &'a self,
        now: Instant,
        kind: UpstreamKind,
        service: Option<&'a str>,
    ) -> impl Iterator<Item = (&'a UpstreamId, &'a ReportRecord)> {
        self.reports.iter().filter(move |(upstream, record)| {
            let Some(registration) = self.registered.get(*upstream) else { return false };
            let fresh = now.saturating_duration_since(record.received_at) < REPORT_MAX_AGE;
            let report = &record.report;
            registration.kind == kind
                && registration.service.as_deref() == service
                && !registration.out
                && !registration.leaving
                && fresh
                && !record.suspected
                && !report.draining
                && report.upstream_up
                && report.load.limit > 0
        })
    }

    /// Returns the fraction of registered model upstreams for which this entry has a report.
    pub(crate) fn reported_fraction(&self) -> f64 {
        let kind = |upstream: &UpstreamId| self.registered.get(upstream).map(|known| known.kind);
        let reported = self
            .reports
            .keys()
            .filter(|upstream| kind(upstream) == Some(UpstreamKind::Model))
            .count();
        if self.model_upstreams == 0 { 1.0 } else { reported as f64 / self.model_upstreams as f64 }
    }

    fn current_mut(
        &mut self,
        upstream: &str,
        incarnation: Incarnation,
    ) -> Option<&mut ReportRecord> {
        self.reports.get_mut(upstream).filter(|record| record.report.incarnation == incarnation)
    }
}
