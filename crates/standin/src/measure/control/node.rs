//! A measured node: the control part and the frame server of a process, and a task that records adopted revisions.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use base::{DataCentreId, HostId, SystemClock};
use bytes::Bytes;
use config::settings::CommonSettings;
use futures_util::future::BoxFuture;
use node::{
    NodeContext, ViewReader,
    context::bind,
    control::{self, ControlCounters, ControlSources},
    server::FrameServer,
};
use ports::{ConfigService, HostDirectory, HttpConfigService, HttpHostDirectory, PlatformError};
use tokio::runtime::Handle;
use wire::FleetKey;

use crate::{error::StandinError, http::lock};

const FLEET_KEY: &str = "measured fleet key";

/// Revisions that a host adopted, with their times.
#[derive(Debug, Default)]
pub(super) struct AdoptionLog {
    /// Adopted revisions and the times of their adoption, across restarts of the host.
    pub(super) adoptions: Vec<(u64, Instant)>,
    /// Periods in which an injected fault prevented the host from receiving changes.
    pub(super) outages: Vec<(Instant, Instant)>,
    /// Number of times the host adopted a lower revision than before.
    pub(super) reverts: u64,
}

impl AdoptionLog {
    fn record(&mut self, revision: u64, at: Instant) {
        match self.adoptions.last() {
            Some((last, _)) if *last == revision => return,
            Some((last, _)) if *last > revision => self.reverts += 1,
            _ => {}
        }
        self.adoptions.push((revision, at));
    }

    /// Time from the publication until the host adopted the revision or a higher one. Outages of the host are not
    /// counted. `None` if the revision was never adopted.
    pub(super) fn latency(&self, revision: u64, published: Instant) -> Option<Duration> {
        let at = self.adoptions.iter().find(|(held, _)| *held >= revision)?.1;
        let mut start = published;
        for (from, until) in &self.outages {
            if start < *until && at > *from {
                start = start.max(*until);
            }
        }
        Some(at.saturating_duration_since(start))
    }
}

/// Counters of a node, which are kept after it has been killed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct NodeTotals {
    pub(super) messages: u64,
    pub(super) bytes: u64,
    pub(super) refused: u64,
}

impl NodeTotals {
    pub(super) fn of(counters: &ControlCounters) -> Self {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Self {
            messages: read(&counters.requests_sent) + read(&counters.responses_sent),
            bytes: read(&counters.sent_bytes) + read(&counters.received_bytes),
            refused: read(&counters.documents_refused),
        }
    }

    pub(super) fn add(&mut self, other: Self) {
        self.messages += other.messages;
        self.bytes += other.bytes;
        self.refused += other.refused;
    }
}

/// Identity and addresses of a node.
#[derive(Clone)]
pub(super) struct NodeSpec {
    pub(super) host: HostId,
    pub(super) data_centre: DataCentreId,
    /// Address at which other nodes connect to this one.
    pub(super) peer: SocketAddr,
    /// Address of the configuration service and the host directory.
    pub(super) platform: SocketAddr,
    pub(super) seeds: Vec<SocketAddr>,
    /// True while the data centre cannot reach the platform.
    pub(super) partitioned: Arc<AtomicBool>,
}

/// A running node.
pub(super) struct MeasuredNode {
    context: NodeContext,
    pub(super) counters: Arc<ControlCounters>,
    pub(super) view: ViewReader,
}

impl MeasuredNode {
    /// Starts a node on the runtime `handle`. A task on the runtime of the caller fills `log`.
    pub(super) fn start(
        spec: &NodeSpec,
        listener: TcpListener,
        handle: &Handle,
        log: &Arc<Mutex<AdoptionLog>>,
    ) -> Self {
        let context = NodeContext::new(Arc::new(SystemClock), handle.clone(), handle.clone());
        let settings = settings(spec);
        let service = HttpConfigService::new(spec.platform);
        let directory = HttpHostDirectory::new(spec.platform);
        let partitioned = spec.partitioned.clone();
        let sources = ControlSources {
            service: Arc::new(PartitionedConfigService {
                service,
                partitioned: partitioned.clone(),
            }),
            directory: Arc::new(PartitionedHostDirectory { directory, partitioned }),
        };
        let part = control::spawn_with(&context, &settings, sources);
        let key = FleetKey::new(FLEET_KEY);
        let server = FrameServer::new(key, spec.host.clone(), vec![part.handler]);
        server.spawn(&context, listener);
        tokio::spawn(observe(part.view.clone(), log.clone(), context.killed.clone()));
        Self { context, counters: part.counters, view: part.view }
    }

    /// Stops the node without a graceful shutdown, as a crash would.
    pub(super) fn kill(&self) {
        self.context.killed.cancel();
    }
}

async fn observe(
    mut view: ViewReader,
    log: Arc<Mutex<AdoptionLog>>,
    killed: tokio_util::sync::CancellationToken,
) {
    let follow = async {
        loop {
            view.changed().await;
            if let Some(view) = view.get() {
                lock(&log).record(view.config.revision, view.adopted_at);
            }
        }
    };
    killed.run_until_cancelled(follow).await;
}

/// Binds a free loopback port.
pub(super) fn bind_loopback() -> Result<(TcpListener, SocketAddr), StandinError> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let failed = |detail: String| StandinError::Start { host: any.to_string(), detail };
    let listener = bind(any).map_err(|error| failed(error.to_string()))?;
    let address = listener.local_addr().map_err(|error| failed(error.to_string()))?;
    Ok((listener, address))
}

fn settings(spec: &NodeSpec) -> CommonSettings {
    CommonSettings {
        host: spec.host.clone(),
        data_centre: spec.data_centre.clone(),
        peer_listen: spec.peer,
        admin_listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        seeds: spec.seeds.clone(),
        platform: spec.platform,
        fleet_key: FLEET_KEY.into(),
        statsd: None,
        log_level: "warn".into(),
        drain_ms: 1_000,
    }
}

/// Client of the configuration service whose link can be interrupted.
struct PartitionedConfigService {
    service: HttpConfigService,
    partitioned: Arc<AtomicBool>,
}

/// Client of the host directory whose link can be interrupted.
struct PartitionedHostDirectory {
    directory: HttpHostDirectory,
    partitioned: Arc<AtomicBool>,
}

/// Timeout of a request over an interrupted link.
const PARTITION_TIMEOUT: Duration = Duration::from_secs(2);

async fn check_link(partitioned: &AtomicBool) -> Result<(), PlatformError> {
    if partitioned.load(Ordering::Relaxed) {
        tokio::time::sleep(PARTITION_TIMEOUT).await;
        return Err(PlatformError::Timeout { limit: PARTITION_TIMEOUT });
    }
    Ok(())
}

impl ConfigService for PartitionedConfigService {
    fn watch(
        &self,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Option<Bytes>, PlatformError>> {
        Box::pin(async move {
            check_link(&self.partitioned).await?;
            let response = self.service.watch(after, wait).await;
            check_link(&self.partitioned).await?;
            response
        })
    }
}

impl HostDirectory for PartitionedHostDirectory {
    fn list(&self) -> BoxFuture<'_, Result<Bytes, PlatformError>> {
        Box::pin(async move {
            check_link(&self.partitioned).await?;
            let response = self.directory.list().await;
            check_link(&self.partitioned).await?;
            response
        })
    }
}
