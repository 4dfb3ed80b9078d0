//! State shared by the tasks of an agent.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use base::{Clock, DataCentreId, Incarnation, ModelId};
use chunks::{
    EngineLoad, LoadVerdict, LoadVerification, OrderReport, SwarmPeer, TransferSet, WeightsId,
};
use fleet::WeightsVersion;
use member::EntryMembership;
use tokio::sync::Notify;
use wire::{BriefReply, FleetKey, VerifiedLoad};

use super::AgentPorts;
use crate::{
    frames::FrameClient, lifecycle::PauseTracker, metrics::MetricSet, port::EngineReport,
    settings::AgentSettings,
};

/// Assignment from the entries: the weights to load, and where to fetch them.
#[derive(Clone, Debug)]
pub(super) struct AgentAssignment {
    pub(super) digest: u64,
    pub(super) revision: u64,
    pub(super) weights: WeightsId,
    pub(super) declared_at: Option<Instant>,
    /// Earlier versions with the times of their declarations, as far as the entry knows them.
    pub(super) earlier: Vec<(WeightsVersion, Instant)>,
    pub(super) chunk_count: u32,
    pub(super) chunk_bytes: u32,
    /// Number of layers of the model; 0 if unknown.
    pub(super) layers: u32,
    /// Last load of the engine that an agent has verified, as far as the entry knows.
    pub(super) verified: Option<VerifiedLoad>,
    pub(super) origin: Option<(SocketAddr, DataCentreId)>,
    /// All other agents of the service.
    pub(super) agents: Vec<SwarmPeer>,
}

/// State shared by the tasks of an agent.
pub(super) struct AgentShared {
    pub(super) settings: AgentSettings,
    pub(super) ports: AgentPorts,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) key: FleetKey,
    pub(super) incarnation: Incarnation,
    pub(super) metrics: MetricSet,
    pub(super) client: FrameClient,
    /// Wakes the transfer task.
    pub(super) wake_transfer: Notify,
    /// The process or the engine has restarted, so the contents of the staging area must be read again.
    pub(super) staging_unknown: AtomicBool,
    /// Wakes the task that sends heartbeats.
    pub(super) wake_heartbeats: Notify,
    /// The engine is loading other weights and accepts no requests.
    pub(super) switching: AtomicBool,
    membership: Mutex<EntryMembership>,
    next_load_at: Mutex<Option<Instant>>,
    weights_at: Mutex<Option<Instant>>,
    assignment: Mutex<Option<Arc<AgentAssignment>>>,
    seeds: Mutex<Vec<SocketAddr>>,
    pauses: PauseTracker,
    report: Mutex<Option<EngineReport>>,
    loads: Mutex<LoadVerification>,
    transfers: Mutex<TransferSet>,
}

impl AgentShared {
    pub(super) fn new(settings: AgentSettings, ports: AgentPorts, clock: Arc<dyn Clock>) -> Self {
        let key = FleetKey::new(&settings.common.fleet_secret);
        let name = settings.common.name.to_string();
        Self {
            client: FrameClient::new(key.clone(), name, clock.clone()),
            key,
            incarnation: rand::random(),
            metrics: MetricSet::default(),
            wake_transfer: Notify::new(),
            staging_unknown: AtomicBool::new(true),
            wake_heartbeats: Notify::new(),
            switching: AtomicBool::new(false),
            membership: Mutex::default(),
            next_load_at: Mutex::default(),
            weights_at: Mutex::default(),
            assignment: Mutex::default(),
            seeds: Mutex::new(settings.common.seeds.clone()),
            pauses: PauseTracker::new(),
            report: Mutex::default(),
            loads: Mutex::default(),
            transfers: Mutex::default(),
            settings,
            ports,
            clock,
        }
    }

    pub(super) fn membership(&self) -> MutexGuard<'_, EntryMembership> {
        self.membership.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn transfers(&self) -> MutexGuard<'_, TransferSet> {
        self.transfers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(super) fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.lock().unwrap_or_else(PoisonError::into_inner) = seeds;
    }

    /// Detects pauses of this process. True from the end of a pause until an entry has sent a new assignment.
    pub(super) fn is_stale(&self) -> bool {
        self.pauses.tick(&*self.clock);
        self.pauses.is_stale()
    }

    pub(super) fn assignment(&self) -> Option<Arc<AgentAssignment>> {
        self.assignment.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(super) fn report(&self) -> Option<EngineReport> {
        self.report.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sets the last report of the engine, which was requested at `requested_at`.
    pub(super) fn set_report(&self, report: Option<EngineReport>, requested_at: Instant) {
        if let Some(report) = &report {
            self.observe_report(report, requested_at);
        }
        *self.report.lock().unwrap_or_else(PoisonError::into_inner) = report;
    }

    /// Records what a report that was requested at `requested_at` states about load orders.
    pub(super) fn observe_report(&self, report: &EngineReport, requested_at: Instant) {
        let Some(model) = self.served_model(report) else { return };
        self.loads().observe(&order_report(report, &model), &model, requested_at);
    }

    pub(super) fn loads(&self) -> MutexGuard<'_, LoadVerification> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Model that the agent has to load or, before it knows that, the one that the engine has loaded.
    fn served_model(&self, report: &EngineReport) -> Option<ModelId> {
        let wanted = self.assignment().map(|assignment| assignment.weights.model.clone());
        wanted.or_else(|| report.loaded.first().map(|(model, _)| model.clone()))
    }

    /// Load whose weights the engine serves, and the verdict on it; `None` if it serves none or does not respond.
    pub(super) fn served_load(&self) -> Option<(EngineLoad, LoadVerdict)> {
        let report = self.report()?;
        let model = self.served_model(&report)?;
        let load = EngineLoad::of_report(&model, &order_report(&report, &model))?;
        let verdict = self.loads().verdict(&load);
        Some((load, verdict))
    }

    /// Time at which the engine will be ordered to load other weights; `None` if no load is planned.
    pub(super) fn next_load_at(&self) -> Option<Instant> {
        *self.next_load_at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set_next_load_at(&self, at: Option<Instant>) {
        *self.next_load_at.lock().unwrap_or_else(PoisonError::into_inner) = at;
    }

    /// Expected time at which the engine serves the wanted weights; `None` if it serves them already or the time is
    /// unknown.
    pub(super) fn weights_at(&self) -> Option<Instant> {
        *self.weights_at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set_weights_at(&self, at: Option<Instant>) {
        *self.weights_at.lock().unwrap_or_else(PoisonError::into_inner) = at;
    }

    pub(super) fn is_switching(&self) -> bool {
        self.switching.load(Ordering::Relaxed)
    }

    /// Transfer time of a chunk on this host's link while it is idle.
    pub(super) fn chunk_time(&self, assignment: &AgentAssignment) -> Duration {
        let rate = self.settings.common.link_bytes_per_s.max(1) as f64;
        Duration::from_secs_f64(f64::from(assignment.chunk_bytes) / rate)
    }

    /// This agent in the form in which agents refer to each other.
    pub(super) fn own_peer(&self) -> SwarmPeer {
        let common = &self.settings.common;
        SwarmPeer {
            address: common.peer,
            data_centre: common.data_centre.clone(),
            region: common.region(),
        }
    }

    /// Stores an assignment that was requested from an entry at `requested`; false if it is older than the current one
    /// or names no model.
    pub(super) fn set_assignment(&self, reply: BriefReply, requested: Instant) -> bool {
        self.pauses.record_refreshed(self.pauses.count());
        let mut assignment = self.assignment.lock().unwrap_or_else(PoisonError::into_inner);
        if reply.model.is_empty()
            || assignment.as_ref().is_some_and(|known| known.revision > reply.revision)
        {
            return false;
        }
        let common = &self.settings.common;
        let agents = reply
            .agents
            .iter()
            .filter_map(|agent| {
                let address = common.peer_address_on(agent.ip.parse().ok()?);
                let region = common.regions.get(agent.data_centre.as_str())?.clone();
                Some(SwarmPeer { address, data_centre: agent.data_centre.as_str().into(), region })
            })
            .filter(|agent| agent.address != common.peer)
            .collect();
        let origin = reply
            .origin
            .parse()
            .ok()
            .map(|address| (address, reply.origin_data_centre.as_str().into()));
        let date_of = |age_ms| requested.checked_sub(Duration::from_millis(age_ms));
        let mut next = AgentAssignment {
            digest: reply.digest,
            revision: reply.revision,
            weights: WeightsId { model: reply.model.as_str().into(), version: reply.version },
            declared_at: reply.declared_ms.and_then(date_of),
            earlier: reply
                .earlier
                .iter()
                .filter_map(|earlier| Some((earlier.version, date_of(earlier.age_ms)?)))
                .collect(),
            chunk_count: reply.pieces,
            chunk_bytes: reply.piece_bytes,
            layers: reply.layers,
            verified: reply.verified,
            origin,
            agents,
        };
        // Versions only increase. An entry that has started after the store was restored from a copy may not know the
        // latest one yet.
        if let Some(known) = assignment.as_ref().filter(|known| {
            known.weights.model == next.weights.model
                && known.weights.version > next.weights.version
        }) {
            next.weights = known.weights.clone();
            next.declared_at = known.declared_at;
            next.earlier = known.earlier.clone();
            next.chunk_count = known.chunk_count;
            next.chunk_bytes = known.chunk_bytes;
        }
        *assignment = Some(Arc::new(next));
        true
    }

    /// Version of the wanted model that the engine has loaded; 0 if there is none.
    pub(super) fn loaded_version(&self) -> u64 {
        self.served_load().map_or(0, |(load, _)| load.weights.version)
    }
}

/// What `report` states about orders to load weights of `model`.
pub(super) fn order_report(report: &EngineReport, model: &ModelId) -> OrderReport {
    let versions = report.loaded.iter().filter(|(loaded, _)| loaded == model);
    OrderReport {
        started_at_ms: report.started_at_ms,
        load_orders: report.load_orders,
        busy: report.busy,
        loaded: versions.map(|(_, version)| *version).max().unwrap_or(0),
    }
}
