//! State that the tasks of an agent share.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use base::{Clock, DataCentreId, Incarnation};
use member::EntryRoster;
use pieces::{SwarmPeer, TransferSet, WeightsName};
use tokio::sync::Notify;
use wire::{BriefReply, FleetKey};

use super::AgentPorts;
use crate::{
    frames::FrameClient, lifecycle::PauseWatch, metrics::MetricSet, port::EngineReport,
    settings::AgentSettings,
};

/// What the entries told this agent.
#[derive(Clone, Debug)]
pub(super) struct AgentBrief {
    pub(super) digest: u64,
    pub(super) revision: u64,
    pub(super) name: WeightsName,
    pub(super) declared_at: Option<Instant>,
    pub(super) piece_count: u32,
    pub(super) piece_bytes: u32,
    pub(super) origin: Option<(SocketAddr, DataCentreId)>,
    /// All other agents of the service.
    pub(super) agents: Vec<SwarmPeer>,
}

/// Everything that the tasks of an agent share.
pub(super) struct AgentShared {
    pub(super) settings: AgentSettings,
    pub(super) ports: AgentPorts,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) key: FleetKey,
    pub(super) incarnation: Incarnation,
    pub(super) metrics: MetricSet,
    pub(super) client: FrameClient,
    /// Wakes the transfer task.
    pub(super) wake: Notify,
    /// The engine has restarted, so what lies staged must be read again.
    pub(super) staging_unknown: AtomicBool,
    /// Wakes the task that sends beats.
    pub(super) wake_beats: Notify,
    /// The engine changes its weights and accepts nothing.
    pub(super) switching: AtomicBool,
    roster: Mutex<EntryRoster>,
    change_at: Mutex<Option<Instant>>,
    brief: Mutex<Option<AgentBrief>>,
    seeds: Mutex<Vec<SocketAddr>>,
    pauses: PauseWatch,
    report: Mutex<Option<EngineReport>>,
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
            wake: Notify::new(),
            staging_unknown: AtomicBool::new(true),
            wake_beats: Notify::new(),
            switching: AtomicBool::new(false),
            roster: Mutex::default(),
            change_at: Mutex::default(),
            brief: Mutex::default(),
            seeds: Mutex::new(settings.common.seeds.clone()),
            pauses: PauseWatch::new(),
            report: Mutex::default(),
            transfers: Mutex::default(),
            settings,
            ports,
            clock,
        }
    }

    pub(super) fn roster(&self) -> MutexGuard<'_, EntryRoster> {
        self.roster.lock().unwrap_or_else(PoisonError::into_inner)
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

    /// Notices a pause of this process; true until an entry has told after it what weights are wanted.
    pub(super) fn is_stale(&self) -> bool {
        self.pauses.tick(&*self.clock);
        self.pauses.is_stale()
    }

    pub(super) fn brief(&self) -> Option<AgentBrief> {
        self.brief.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(super) fn report(&self) -> Option<EngineReport> {
        self.report.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(super) fn set_report(&self, report: Option<EngineReport>) {
        *self.report.lock().unwrap_or_else(PoisonError::into_inner) = report;
    }

    /// Time at which the engine will be told to change its weights.
    pub(super) fn change_at(&self) -> Option<Instant> {
        *self.change_at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set_change_at(&self, at: Option<Instant>) {
        *self.change_at.lock().unwrap_or_else(PoisonError::into_inner) = at;
    }

    pub(super) fn is_switching(&self) -> bool {
        self.switching.load(Ordering::Relaxed)
    }

    /// This agent as others name it.
    pub(super) fn own_peer(&self) -> SwarmPeer {
        let common = &self.settings.common;
        SwarmPeer {
            address: common.peer,
            data_centre: common.data_centre.clone(),
            region: common.region(),
        }
    }

    /// Takes over what an entry says; false if it is older than what is known or says nothing.
    pub(super) fn set_brief(&self, reply: BriefReply) -> bool {
        let now = self.clock.now();
        self.pauses.record_refreshed(self.pauses.count());
        let mut brief = self.brief.lock().unwrap_or_else(PoisonError::into_inner);
        if reply.model.is_empty()
            || brief.as_ref().is_some_and(|known| known.revision > reply.revision)
        {
            return false;
        }
        let common = &self.settings.common;
        let agents = reply
            .agents
            .iter()
            .filter_map(|agent| {
                let address = common.peer_at(agent.ip.parse().ok()?);
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
        *brief = Some(AgentBrief {
            digest: reply.digest,
            revision: reply.revision,
            name: WeightsName { model: reply.model.as_str().into(), version: reply.version },
            declared_at: reply
                .declared_ms
                .and_then(|age| now.checked_sub(Duration::from_millis(age))),
            piece_count: reply.pieces,
            piece_bytes: reply.piece_bytes,
            origin,
            agents,
        });
        true
    }

    /// Version of the model that the engine serves; 0 if it serves none.
    pub(super) fn loaded_version(&self) -> u64 {
        let Some(report) = self.report() else { return 0 };
        let model = self.brief().map(|brief| brief.name.model);
        report
            .loaded
            .iter()
            .filter(|(loaded, _)| model.as_ref().is_none_or(|model| model == loaded))
            .map(|(_, version)| *version)
            .max()
            .unwrap_or(0)
    }
}
