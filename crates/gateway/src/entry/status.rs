//! What an entry knows, for operators: served as JSON beside the metrics and printed by `wigeon status`.

use std::{net::SocketAddr, sync::atomic::Ordering};

use base::{DataCentreId, HostId, ModelId, Revision, ServiceId, UpstreamId};
use fleet::WeightsVersion;
use serde::{Deserialize, Serialize};

use super::{brief::millis, shared::EntryShared};

/// State of an entry and of the fleet as it sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryStatus {
    /// Name of the entry.
    pub name: HostId,
    /// True if callers are sent to it.
    pub ready: bool,
    /// True if it is about to stop.
    pub leaving: bool,
    /// Highest revision of an item that it knows.
    pub revision: Revision,
    /// Version of the configuration in force; `None` before one is known.
    pub config_version: Option<u64>,
    /// Milliseconds since what it knows was last confirmed; `None` if it never was.
    pub knowledge_age_ms: Option<u64>,
    /// Requests that are being answered.
    pub in_flight: usize,
    /// Names of the entries that are alive, this one included.
    pub entries: Vec<HostId>,
    /// Data centres whose upstreams get no new work.
    pub evacuated: Vec<DataCentreId>,
    /// Declared version of each model's weights.
    pub declared: Vec<(ModelId, WeightsVersion)>,
    /// All upstreams.
    pub upstreams: Vec<UpstreamStatus>,
}

/// An upstream as an entry sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpstreamStatus {
    /// Its id.
    pub upstream: UpstreamId,
    /// Its service.
    pub service: ServiceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its address.
    pub address: SocketAddr,
    /// True if it is about to stop.
    pub draining: bool,
    /// Version of the weights that it serves; `None` if it serves none or needs none.
    pub version: Option<WeightsVersion>,
    /// Requests that run and wait there, from the agent's last report; `None` without a current report.
    pub load: Option<(u32, u32)>,
    /// Requests of this entry at the upstream.
    pub in_flight: u32,
    /// Milliseconds for which it stays cold.
    pub cold_ms: u64,
    /// True if this entry leaves it alone because it failed lately.
    pub suspended: bool,
}

/// Describes the entry.
pub(super) fn entry_status(shared: &EntryShared) -> EntryStatus {
    let now = shared.clock.now();
    let view = shared.view.load();
    let mut entries: Vec<HostId> =
        shared.roster().alive(now).map(|member| member.name.clone()).collect();
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
    let board = shared.board();
    let mut upstreams: Vec<UpstreamStatus> = view
        .upstreams()
        .map(|(record, _)| {
            let load = board.load_of(&record.upstream, now);
            let listed = record.weights.iter().map(|weights| weights.version).max();
            UpstreamStatus {
                upstream: record.upstream.clone(),
                service: record.service.clone(),
                data_centre: record.data_centre.clone(),
                address: record.address,
                draining: record.draining,
                version: load
                    .report
                    .map_or(listed, |report| (report.version > 0).then_some(report.version)),
                load: load.report.map(|report| (report.running, report.queued)),
                in_flight: load.in_flight,
                cold_ms: millis(load.cold_for),
                suspended: load.suspended,
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
        knowledge_age_ms: shared.knowledge_age().map(millis),
        in_flight: shared.in_flight.load(Ordering::Relaxed),
        entries,
        evacuated,
        declared,
        upstreams,
    }
}
