//! One measured node: the control part and the frame server of a process, and an observer of what is in force.

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

/// What was in force on a host, and when.
#[derive(Debug, Default)]
pub(super) struct HostTrack {
    /// Revisions with the time at which they came into force, over all incarnations.
    pub(super) adoptions: Vec<(u64, Instant)>,
    /// Times in which the host could not know of changes, through no fault of its own.
    pub(super) outages: Vec<(Instant, Instant)>,
    /// Adoptions of a lower revision than an earlier one.
    pub(super) reverts: u64,
}

impl HostTrack {
    fn record(&mut self, revision: u64, at: Instant) {
        match self.adoptions.last() {
            Some((last, _)) if *last == revision => return,
            Some((last, _)) if *last > revision => self.reverts += 1,
            _ => {}
        }
        self.adoptions.push((revision, at));
    }

    /// Time from the publication until the revision or a higher one was in force; `None` if it never was. Outages do
    /// not count.
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

/// Counters that outlive a node.
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
            messages: read(&counters.sent) + read(&counters.answered),
            bytes: read(&counters.sent_bytes) + read(&counters.received_bytes),
            refused: read(&counters.refused),
        }
    }

    pub(super) fn add(&mut self, other: Self) {
        self.messages += other.messages;
        self.bytes += other.bytes;
        self.refused += other.refused;
    }
}

/// Where a node lives.
#[derive(Clone)]
pub(super) struct NodePlace {
    pub(super) host: HostId,
    pub(super) data_centre: DataCentreId,
    /// Address that other nodes connect to.
    pub(super) peer: SocketAddr,
    pub(super) platform: SocketAddr,
    pub(super) seeds: Vec<SocketAddr>,
    /// True while the data centre cannot reach the platform.
    pub(super) cut_off: Arc<AtomicBool>,
}

/// A running node.
pub(super) struct MeasuredNode {
    context: NodeContext,
    pub(super) counters: Arc<ControlCounters>,
    pub(super) view: ViewReader,
}

impl MeasuredNode {
    /// Starts a node on the runtime `handle`; `track` is filled by a task on the runtime of the caller.
    pub(super) fn start(
        place: &NodePlace,
        listener: TcpListener,
        handle: &Handle,
        track: &Arc<Mutex<HostTrack>>,
    ) -> Self {
        let context = NodeContext::new(Arc::new(SystemClock), handle.clone(), handle.clone());
        let settings = settings(place);
        let service = HttpConfigService::new(place.platform);
        let directory = HttpHostDirectory::new(place.platform);
        let cut_off = place.cut_off.clone();
        let sources = ControlSources {
            service: Arc::new(CutService { service, cut_off: cut_off.clone() }),
            directory: Arc::new(CutDirectory { directory, cut_off }),
        };
        let part = control::spawn_with(&context, &settings, sources);
        let key = FleetKey::new(FLEET_KEY);
        let server = FrameServer::new(key, place.host.clone(), vec![part.handler]);
        server.spawn(&context, listener);
        tokio::spawn(observe(part.view.clone(), track.clone(), context.killed.clone()));
        Self { context, counters: part.counters, view: part.view }
    }

    /// Ends the node as a crash would.
    pub(super) fn kill(&self) {
        self.context.killed.cancel();
    }
}

async fn observe(
    mut view: ViewReader,
    track: Arc<Mutex<HostTrack>>,
    killed: tokio_util::sync::CancellationToken,
) {
    let follow = async {
        loop {
            view.changed().await;
            if let Some(view) = view.get() {
                lock(&track).record(view.config.revision, view.adopted_at);
            }
        }
    };
    killed.run_until_cancelled(follow).await;
}

/// Binds a free port of loopback.
pub(super) fn bind_loopback() -> Result<(TcpListener, SocketAddr), StandinError> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let failed = |detail: String| StandinError::Start { host: any.to_string(), detail };
    let listener = bind(any).map_err(|error| failed(error.to_string()))?;
    let address = listener.local_addr().map_err(|error| failed(error.to_string()))?;
    Ok((listener, address))
}

fn settings(place: &NodePlace) -> CommonSettings {
    CommonSettings {
        host: place.host.clone(),
        data_centre: place.data_centre.clone(),
        peer_listen: place.peer,
        admin_listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        seeds: place.seeds.clone(),
        platform: place.platform,
        fleet_key: FLEET_KEY.into(),
        statsd: None,
        log_level: "warn".into(),
        drain_ms: 1_000,
    }
}

/// Configuration service behind a link that can be cut.
struct CutService {
    service: HttpConfigService,
    cut_off: Arc<AtomicBool>,
}

/// Host list behind a link that can be cut.
struct CutDirectory {
    directory: HttpHostDirectory,
    cut_off: Arc<AtomicBool>,
}

/// Time after which a call over a cut link fails.
const CUT_TIMEOUT: Duration = Duration::from_secs(2);

async fn pass(cut_off: &AtomicBool) -> Result<(), PlatformError> {
    if cut_off.load(Ordering::Relaxed) {
        tokio::time::sleep(CUT_TIMEOUT).await;
        return Err(PlatformError::Timeout { limit: CUT_TIMEOUT });
    }
    Ok(())
}

impl ConfigService for CutService {
    fn watch(
        &self,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Option<Bytes>, PlatformError>> {
        Box::pin(async move {
            pass(&self.cut_off).await?;
            let answer = self.service.watch(after, wait).await;
            pass(&self.cut_off).await?;
            answer
        })
    }
}

impl HostDirectory for CutDirectory {
    fn list(&self) -> BoxFuture<'_, Result<Bytes, PlatformError>> {
        Box::pin(async move {
            pass(&self.cut_off).await?;
            let answer = self.directory.list().await;
            pass(&self.cut_off).await?;
            answer
        })
    }
}
