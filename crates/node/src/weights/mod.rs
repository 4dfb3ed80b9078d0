//! Weights of an agent: transfers, chunk server, activation and rolling changes, on sockets and tasks.

mod activate;
mod rollout;
mod serve;
mod transfer;
mod wants;

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
    transfer::{PeerLink, TransferShell},
};
use crate::{
    context::NodeContext,
    peer::{PeerError, PeerPool},
    server::FrameHandler,
    view::ViewReader,
};

/// Bytes per second of a link of 1 Mbit/s.
const MBIT_BYTES: u64 = 125_000;
/// Interval at which a transfer looks at its timeouts.
const TRANSFER_TICK: Duration = Duration::from_millis(10);

/// What the rest of the agent gets from the weights part.
pub struct WeightsPart {
    /// Handlers of messages about weights.
    pub handlers: Vec<Arc<dyn FrameHandler>>,
    /// Where the agent reports what live requests do; transfers yield to them.
    pub load: LoadSignal,
    /// How much of the wanted weights is held.
    pub progress: WeightsProgress,
}

/// What live requests do on this host.
#[derive(Clone, Debug, Default)]
pub struct LoadSignal {
    in_flight: Arc<AtomicU32>,
    slow: Arc<AtomicBool>,
}

impl LoadSignal {
    /// Reports the requests in flight and whether they are answered slowly.
    pub fn report(&self, in_flight: u32, slow: bool) {
        self.in_flight.store(in_flight, Ordering::Relaxed);
        self.slow.store(slow, Ordering::Relaxed);
    }

    fn get(&self) -> (u32, bool) {
        (self.in_flight.load(Ordering::Relaxed), self.slow.load(Ordering::Relaxed))
    }
}

/// How much of the wanted weights is held.
#[derive(Clone)]
pub struct WeightsProgress {
    shell: Arc<TransferShell>,
}

impl WeightsProgress {
    /// Bytes held and bytes wanted, in this order.
    #[must_use]
    pub fn bytes(&self) -> (u64, u64) {
        let plan = self.shell.lock_plan();
        let wanted = plan.wants().iter().filter(|want| want.fetch);
        (plan.store().held_bytes(), wanted.map(|want| want.size_bytes).sum())
    }
}

/// Starts the weights part of an agent.
#[must_use]
pub fn spawn(
    context: &NodeContext,
    settings: &AgentSettings,
    view: ViewReader,
    engine: Arc<dyn ModelEngine>,
    pool: &Arc<PeerPool>,
) -> WeightsPart {
    let sources: Vec<Arc<dyn WeightSource>> = settings
        .weight_sources
        .iter()
        .map(|address| Arc::new(HttpWeightSource::new(*address)) as Arc<dyn WeightSource>)
        .collect();
    let link_bytes_per_s = settings.link_mbit.saturating_mul(MBIT_BYTES);
    let options = FetchPlanOptions {
        memory_bytes: settings.memory_mib.saturating_mul(1 << 20),
        transfer: TransferOptions {
            link_bytes_per_s,
            origins: sources.len(),
            ..TransferOptions::default()
        },
        upload: UploadOptions::default(),
    };
    let own = own_record(settings, &view);
    let plan = FetchPlan::new(options, own, context.incarnation);
    let shell = TransferShell::new(
        plan,
        context.clock.clone(),
        Arc::new(PoolLink { pool: pool.clone(), view: view.clone() }),
        sources,
        LinkPacer::new(link_bytes_per_s),
        TRANSFER_TICK,
        context.killed.clone(),
    );
    let load = LoadSignal::default();
    context.spawn_traffic(shell.clone().run());
    let activation = ActivationLoop {
        context: context.clone(),
        settings: settings.clone(),
        view,
        engine,
        pool: pool.clone(),
        shell: shell.clone(),
        load: load.clone(),
    };
    context.spawn_traffic(activation.run());
    let progress = WeightsProgress { shell: shell.clone() };
    WeightsPart { handlers: vec![ChunkServer::new(shell)], load, progress }
}

fn own_record(settings: &AgentSettings, view: &ViewReader) -> PeerRecord {
    let data_centre = settings.common.data_centre.clone();
    let region = view.get().and_then(|view| view.config.region_of(&data_centre).cloned());
    PeerRecord {
        host: settings.common.host.clone(),
        region: region.unwrap_or_else(|| data_centre.clone()),
        data_centre,
    }
}

/// Reaches other agents through the pool, at the addresses of the latest host list.
struct PoolLink {
    pool: Arc<PeerPool>,
    view: ViewReader,
}

impl PeerLink for PoolLink {
    fn call<'a>(
        &'a self,
        peer: &'a HostId,
        payload: Payload,
        limit: Duration,
    ) -> BoxFuture<'a, Result<Payload, FetchFault>> {
        Box::pin(async move {
            let view = self.view.get().ok_or(FetchFault::Unreachable)?;
            let address = wants::peer_address(&view, peer).ok_or(FetchFault::Unreachable)?;
            self.pool.call(address, payload, limit).await.map_err(|error| match error {
                PeerError::Timeout { .. } => FetchFault::Stalled,
                PeerError::Connect { .. } | PeerError::Channel { .. } => FetchFault::Unreachable,
            })
        })
    }
}
