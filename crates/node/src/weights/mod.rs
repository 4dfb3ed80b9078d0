//! Weights of an agent: transfers, chunk server, activation on the engine, and rollouts.

mod activate;
mod rollout;
mod serve;
mod transfer;
mod wanted;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use base::HostId;
use config::AgentSettings;
use futures_util::future::BoxFuture;
use ports::{HttpWeightSource, ModelEngine, WeightSource};
use weights::{
    FetchFault, FetchPlan, FetchPlanOptions, LinkPacer, PeerRecord, TransferOptions, UploadOptions,
};
use wire::Payload;

use self::activate::ActivationLoop;
pub use self::{
    serve::ChunkServer,
    transfer::{PeerLink, TransferDriver},
};
use crate::{
    context::NodeContext,
    peer::{PeerError, PeerPool},
    server::FrameHandler,
    view::ViewReader,
};

/// Bytes per second of a link of 1 Mbit/s.
const BYTES_PER_MBIT: u64 = 125_000;
/// Interval at which the timeouts of a running transfer are checked.
const TRANSFER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Handles of the weights tasks that the rest of the agent uses.
pub struct WeightsHandle {
    /// Handlers of other agents' requests for weights.
    pub handlers: Vec<Arc<dyn FrameHandler>>,
    /// Receives the load of live requests; transfers slow down in favour of them.
    pub load: LoadSignal,
    /// Download progress of the wanted weights.
    pub progress: WeightsProgress,
}

/// Shared record of the live requests on this host; clones refer to the same record.
#[derive(Clone, Debug, Default)]
pub struct LoadSignal {
    in_flight: Arc<AtomicU32>,
    slow: Arc<AtomicBool>,
}

impl LoadSignal {
    /// Records the number of requests in flight and whether they are slowed down.
    pub fn report(&self, in_flight: u32, slow: bool) {
        self.in_flight.store(in_flight, Ordering::Relaxed);
        self.slow.store(slow, Ordering::Relaxed);
    }

    fn get(&self) -> (u32, bool) {
        (self.in_flight.load(Ordering::Relaxed), self.slow.load(Ordering::Relaxed))
    }
}

/// Download progress of the weights that this agent should hold.
#[derive(Clone)]
pub struct WeightsProgress {
    driver: Arc<TransferDriver>,
}

impl WeightsProgress {
    /// Returns the bytes held and the bytes wanted.
    #[must_use]
    pub fn held_and_wanted_bytes(&self) -> (u64, u64) {
        let plan = self.driver.lock_plan();
        let wanted = plan.wanted().iter().filter(|want| want.fetch);
        (plan.store().held_bytes(), wanted.map(|want| want.size_bytes).sum())
    }
}

/// Starts the transfer and activation tasks of an agent.
#[must_use]
pub fn spawn(
    context: &NodeContext,
    settings: &AgentSettings,
    view: ViewReader,
    engine: Arc<dyn ModelEngine>,
    pool: &Arc<PeerPool>,
) -> WeightsHandle {
    let sources: Vec<Arc<dyn WeightSource>> = settings
        .weight_sources
        .iter()
        .map(|address| Arc::new(HttpWeightSource::new(*address)) as Arc<dyn WeightSource>)
        .collect();
    let link_bytes_per_s = settings.link_mbit.saturating_mul(BYTES_PER_MBIT);
    let options = FetchPlanOptions {
        memory_bytes: settings.memory_mib.saturating_mul(1 << 20),
        transfer: TransferOptions {
            link_bytes_per_s,
            origins: sources.len(),
            ..TransferOptions::default()
        },
        upload: UploadOptions::default(),
    };
    let own = own_peer_record(settings, &view);
    let plan = FetchPlan::new(options, own, context.incarnation);
    let driver = TransferDriver::new(
        plan,
        context.clock.clone(),
        Arc::new(PoolLink { pool: pool.clone(), view: view.clone() }),
        sources,
        LinkPacer::new(link_bytes_per_s),
        TRANSFER_POLL_INTERVAL,
        context.killed.clone(),
    );
    let load = LoadSignal::default();
    context.spawn_traffic(driver.clone().run());
    let activation = ActivationLoop {
        context: context.clone(),
        settings: settings.clone(),
        view,
        engine,
        pool: pool.clone(),
        driver: driver.clone(),
        load: load.clone(),
    };
    context.spawn_traffic(activation.run());
    let progress = WeightsProgress { driver: driver.clone() };
    WeightsHandle { handlers: vec![ChunkServer::new(driver)], load, progress }
}

fn own_peer_record(settings: &AgentSettings, view: &ViewReader) -> PeerRecord {
    let data_centre = settings.common.data_centre.clone();
    let region = view.get().and_then(|view| view.config.region_of(&data_centre).cloned());
    PeerRecord {
        host: settings.common.host.clone(),
        region: region.unwrap_or_else(|| data_centre.clone()),
        data_centre,
    }
}

/// Contacts other agents through the pool, at their addresses in the latest host list.
struct PoolLink {
    pool: Arc<PeerPool>,
    view: ViewReader,
}

impl PeerLink for PoolLink {
    fn exchange<'a>(
        &'a self,
        peer: &'a HostId,
        payload: Payload,
        limit: Duration,
    ) -> BoxFuture<'a, Result<Payload, FetchFault>> {
        Box::pin(async move {
            let view = self.view.get().ok_or(FetchFault::Unreachable)?;
            let address = wanted::peer_address(&view, peer).ok_or(FetchFault::Unreachable)?;
            self.pool.exchange(address, payload, limit).await.map_err(|error| match error {
                PeerError::Timeout { .. } => FetchFault::Stalled,
                PeerError::Connect { .. } | PeerError::Channel { .. } => FetchFault::Unreachable,
            })
        })
    }
}
