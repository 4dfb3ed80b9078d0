//! What an entry knows about the upstreams it may use: registration, last report, own sends since that report.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use base::{ContentDigest, DataCentreId, Incarnation, ServiceId, UpstreamId};
use config::{FleetConfig, HostList, HostState, UpstreamKind};

/// Age from which a report no longer makes an upstream a candidate. Agents are probed twice a second, so this is four
/// missed answers, and it stays under the 3 s within which a leaving upstream must get no new work.
pub const REPORT_MAX_AGE: Duration = Duration::from_secs(2);

/// Time that a load carried on an answer has travelled at most; own sends of this span are not in it yet. Twice the
/// one-way latency between regions.
const LOAD_TRAVEL_TIME: Duration = Duration::from_millis(6);

/// Own sends kept for one upstream; more than this between two reports means that it is overloaded anyway.
const MAX_OWN_SENDS: usize = 1_024;

/// Load of an upstream as its agent reports it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UpstreamLoad {
    /// Concurrent requests that the agent allows.
    pub limit: u32,
    /// Requests that the upstream works on.
    pub in_use: u32,
    /// Requests that wait in the agent.
    pub queued: u32,
}

/// Status of an upstream as its agent reports it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamReport {
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Uptime of the agent.
    pub uptime: Duration,
    /// Load.
    pub load: UpstreamLoad,
    /// Manifests that the engine names as loaded.
    pub ready: Vec<ContentDigest>,
    /// True if the agent takes no new work.
    pub draining: bool,
    /// True if the upstream answers.
    pub upstream_up: bool,
}

/// What configuration and host list say about an upstream.
#[derive(Clone, Debug)]
struct Registration {
    data_centre: DataCentreId,
    kind: UpstreamKind,
    service: Option<ServiceId>,
    out: bool,
    /// The host of the agent is absent from the list or leaving.
    leaving: bool,
}

/// Last report of one upstream and what happened since.
#[derive(Clone, Debug)]
pub(crate) struct ReportRecord {
    pub(crate) report: UpstreamReport,
    asked_at: Instant,
    received_at: Instant,
    suspected: bool,
    own_sends: VecDeque<Instant>,
}

impl ReportRecord {
    /// Requests running, waiting and on their way.
    fn work(&self) -> u64 {
        let load = &self.report.load;
        u64::from(load.in_use) + u64::from(load.queued) + self.own_sends.len() as u64
    }

    /// Work in proportion to the limit.
    pub(crate) fn relative_load(&self) -> f64 {
        self.work() as f64 / f64::from(self.report.load.limit.max(1))
    }

    /// True if one more request is within the limit.
    pub(crate) fn has_free_slot(&self) -> bool {
        self.work() < u64::from(self.report.load.limit)
    }

    /// Uptime of the agent at `now`, at least.
    pub(crate) fn uptime(&self, now: Instant) -> Duration {
        self.report.uptime + now.saturating_duration_since(self.received_at)
    }

    fn take_load(&mut self, measured_at: Instant, load: UpstreamLoad) {
        self.report.load = load;
        self.own_sends.retain(|sent_at| *sent_at > measured_at);
    }
}

/// Everything known about the upstreams of the fleet, as one entry sees them.
#[derive(Debug, Default)]
pub struct UpstreamBoard {
    registered: HashMap<UpstreamId, Registration>,
    model_upstreams: usize,
    // Ordered, so that a choice with a seeded generator can be replayed.
    reports: BTreeMap<UpstreamId, ReportRecord>,
}

impl UpstreamBoard {
    /// Creates an empty board; without a fleet no upstream is a candidate.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over a configuration and a host list. Reports of upstreams that are no longer registered are dropped.
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

    /// Records the answer to a probe that was sent at `asked_at`. Ignores an answer to an earlier probe than the last
    /// one answered: it may come from an incarnation that is gone. Returns true if the incarnation changed.
    pub fn record_report(
        &mut self,
        asked_at: Instant,
        received_at: Instant,
        upstream: &str,
        report: UpstreamReport,
    ) -> bool {
        if !self.registered.contains_key(upstream) {
            return false;
        }
        let Some(record) = self.reports.get_mut(upstream) else {
            let own_sends = VecDeque::new();
            let record =
                ReportRecord { report, asked_at, received_at, suspected: false, own_sends };
            self.reports.insert(upstream.into(), record);
            return false;
        };
        if asked_at < record.asked_at {
            return false;
        }
        let restarted = record.report.incarnation != report.incarnation;
        if restarted {
            record.own_sends.clear();
        }
        let load = report.load;
        record.report = report;
        record.asked_at = asked_at;
        record.received_at = received_at;
        record.suspected = false;
        record.take_load(asked_at, load);
        restarted
    }

    /// Records the load that an answer carried, unless it comes from another incarnation than the last report.
    pub fn record_load(
        &mut self,
        now: Instant,
        upstream: &str,
        incarnation: Incarnation,
        load: UpstreamLoad,
    ) {
        let measured_at = now.checked_sub(LOAD_TRAVEL_TIME).unwrap_or(now);
        if let Some(record) = self.current_mut(upstream, incarnation)
            && measured_at >= record.asked_at
        {
            record.take_load(measured_at, load);
        }
    }

    /// Records that this entry sent a request.
    pub fn record_sent(&mut self, now: Instant, upstream: &str, incarnation: Incarnation) {
        if let Some(record) = self.current_mut(upstream, incarnation)
            && record.own_sends.len() < MAX_OWN_SENDS
        {
            record.own_sends.push_back(now);
        }
    }

    /// Records a failed connection or a missed probe; the upstream is no candidate until it answers a probe that was
    /// sent after this.
    pub fn record_failure(&mut self, now: Instant, upstream: &str, incarnation: Incarnation) {
        if let Some(record) = self.current_mut(upstream, incarnation) {
            record.suspected = true;
            record.asked_at = record.asked_at.max(now);
        }
    }

    /// Records that the agent says of itself that it takes no new work.
    pub fn record_draining(&mut self, upstream: &str, incarnation: Incarnation) {
        if let Some(record) = self.current_mut(upstream, incarnation) {
            record.report.draining = true;
        }
    }

    /// Forgets all reports. After a pause they say nothing about the present.
    pub fn forget_reports(&mut self) {
        self.reports.clear();
    }

    /// The incarnation that the last report named.
    #[must_use]
    pub fn incarnation(&self, upstream: &str) -> Option<Incarnation> {
        self.reports.get(upstream).map(|record| record.report.incarnation)
    }

    /// Data centre of a registered upstream.
    #[must_use]
    pub fn data_centre(&self, upstream: &str) -> Option<&DataCentreId> {
        self.registered.get(upstream).map(|registration| &registration.data_centre)
    }

    /// Upstreams that may receive new work now, of one kind and service.
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

    /// Share of the registered model upstreams that this entry has reports of.
    pub(crate) fn seen_share(&self) -> f64 {
        let kind = |upstream: &UpstreamId| self.registered.get(upstream).map(|entry| entry.kind);
        let seen = self
            .reports
            .keys()
            .filter(|upstream| kind(upstream) == Some(UpstreamKind::Model))
            .count();
        if self.model_upstreams == 0 { 1.0 } else { seen as f64 / self.model_upstreams as f64 }
    }

    fn current_mut(
        &mut self,
        upstream: &str,
        incarnation: Incarnation,
    ) -> Option<&mut ReportRecord> {
        self.reports.get_mut(upstream).filter(|record| record.report.incarnation == incarnation)
    }
}
