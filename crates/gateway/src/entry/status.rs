//! State of an entry for operators: served as JSON on the metrics address and printed by `wigeon status`.

use std::{net::SocketAddr, sync::atomic::Ordering};

use base::{DataCentreId, HostId, ModelId, Revision, ServiceId, UpstreamId};
use fleet::WeightsVersion;
use pace::SpeedEstimate;
use serde::{Deserialize, Serialize};
use shed::ServiceUsage;

use super::{assignment::millis, shared::EntryShared};

/// State of an entry, and of the fleet as this entry sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryStatus {
    /// Name of the entry.
    pub name: HostId,
    /// True if callers may be directed to the entry.
    pub ready: bool,
    /// True if the entry is stopping.
    pub leaving: bool,
    /// Highest revision among the store items that the entry knows.
    pub revision: Revision,
    /// Version of the configuration in force; `None` until one is known.
    pub config_version: Option<u64>,
    /// Milliseconds since the fleet state was last confirmed; `None` if it never was.
    pub knowledge_age_ms: Option<u64>,
    /// Number of requests whose response is not yet complete.
    pub in_flight: usize,
    /// Names of the live entries, including this one.
    pub entries: Vec<HostId>,
    /// Data centres whose upstreams get no new requests.
    pub evacuated: Vec<DataCentreId>,
    /// Declared version of each model's weights.
    pub declared: Vec<(ModelId, WeightsVersion)>,
    /// Requests that wait at the entry, by service and rank.
    #[serde(default)]
    pub waiting: Vec<WaitingStatus>,
    /// All upstreams, sorted by id.
    pub upstreams: Vec<UpstreamStatus>,
    /// Load shedding at contended services, sorted by service.
    #[serde(default)]
    pub shedding: Vec<ServiceUsage>,
}

/// Requests of one rank of a service that wait at an entry because no upstream can take them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaitingStatus {
    /// Service that the requests are for.
    pub service: ServiceId,
    /// Rank of the requests; 0 is the most urgent.
    pub rank: u8,
    /// Number of requests.
    pub requests: usize,
    /// Number of them that can no longer be on time.
    pub late: usize,
    /// Milliseconds for which the first of them has been waiting.
    pub longest_ms: u64,
}

/// State of an upstream as an entry sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpstreamStatus {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Service to which the upstream belongs.
    pub service: ServiceId,
    /// Data centre of the upstream.
    pub data_centre: DataCentreId,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// True if the upstream is stopping.
    pub draining: bool,
    /// Version of the weights that requests may run on at the upstream; `None` if an agent has verified none or none is
    /// needed.
    pub version: Option<WeightsVersion>,
    /// Numbers of running and queued requests in the agent's last report; `None` without a current report.
    pub load: Option<(u32, u32)>,
    /// Number of requests of this entry at the upstream.
    pub in_flight: u32,
    /// Milliseconds until the upstream is warm.
    pub cold_ms: u64,
    /// True if this entry sends the upstream no requests because of recent failures.
    pub suspended: bool,
    /// Requests per second that the upstream takes from all entries together; `None` if it has stated no limit.
    pub rate_limit: Option<f64>,
    /// Requests that this entry sent to the upstream in the last 4 s.
    pub recent_sends: u32,
    /// True if a response stated that the upstream is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// Milliseconds for which the upstream wants no requests from this entry.
    #[serde(default)]
    pub wait_ms: u64,
    /// What was learned of the upstream's speed; `None` if capacity is not learned at its service.
    #[serde(default)]
    pub speed: Option<SpeedEstimate>,
    /// Share of the requests of its service that the upstream gets by its learned capacity; `None` if capacity is not
    /// learned at its service, if it serves models, or if it gets no requests.
    #[serde(default)]
    pub share: Option<f64>,
}

/// Builds the status of the entry.
pub(super) fn entry_status(shared: &EntryShared) -> EntryStatus {
    let now = shared.clock.now();
    let view = shared.view.load();
    let mut entries: Vec<HostId> =
        shared.membership().alive(now).map(|member| member.name.clone()).collect();
    entries.push(shared.settings.common.name.clone());
    entries.sort();
    entries.dedup();
    let mut evacuated: Vec<DataCentreId> = view.evacuated.iter().cloned().collect();
    evacuated.sort();
    let mut declared: Vec<(ModelId, WeightsVersion)> = view
        .weights
        .iter()
        .filter_map(|(model, state)| Some((model.clone(), state.declared()?)))
        .collect();
    declared.sort();
    let waiting = shared.waiting.status(now);
    let balancer = shared.balancer();
    let mut upstreams: Vec<UpstreamStatus> = view
        .upstreams()
        .map(|(record, _)| {
            let load = balancer.load_of(&record.upstream, now);
            UpstreamStatus {
                upstream: record.upstream.clone(),
                service: record.service.clone(),
                data_centre: record.data_centre.clone(),
                address: record.address,
                draining: record.draining,
                version: load.version,
                load: load.report.map(|report| (report.running, report.queued)),
                in_flight: load.in_flight,
                cold_ms: millis(load.cold_for),
                suspended: load.ejected,
                rate_limit: load.rate_limit,
                recent_sends: load.recent_sends,
                leaving: load.leaving,
                wait_ms: millis(load.wait_time),
                speed: balancer.learned_speed(&record.upstream, now),
                share: balancer.learned_share(&record.upstream, now),
            }
        })
        .collect();
    upstreams.sort_by(|left, right| left.upstream.cmp(&right.upstream));
    EntryStatus {
        name: shared.settings.common.name.clone(),
        ready: shared.is_ready(),
        leaving: shared.is_leaving(),
        revision: view.revision,
        config_version: view.config().map(|config| config.version),
        knowledge_age_ms: shared.fleet_state_age().map(millis),
        in_flight: shared.in_flight.load(Ordering::Relaxed),
        entries,
        evacuated,
        declared,
        waiting,
        upstreams,
        shedding: shared.shedding().usage(now),
    }
}
