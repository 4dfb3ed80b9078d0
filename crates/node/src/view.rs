//! The published snapshot of control state: traffic threads read it without locks.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use arc_swap::ArcSwapOption;
use base::ContentDigest;
use config::{FleetConfig, HostList};
use tokio::sync::watch;

/// Silence of the control thread, in milliseconds, after which its last view no longer counts as fresh.
const MAX_SILENCE_MS: u64 = 2_000;

/// What a process knows of the fleet.
#[derive(Clone, Debug)]
pub struct FleetView {
    /// Configuration in force.
    pub config: Arc<FleetConfig>,
    /// Digest of the configuration.
    pub digest: ContentDigest,
    /// When the configuration came into force.
    pub adopted_at: Instant,
    /// Latest host list.
    pub hosts: Arc<HostList>,
    /// False after a pause until the knowledge was refreshed; no new work is handed out meanwhile.
    pub fresh: bool,
}

/// Publishing side; belongs to the control thread.
pub struct ViewWriter {
    current: Arc<ArcSwapOption<FleetView>>,
    heartbeat: Arc<Heartbeat>,
    version: watch::Sender<u64>,
}

/// Reading side.
#[derive(Clone)]
pub struct ViewReader {
    current: Arc<ArcSwapOption<FleetView>>,
    heartbeat: Arc<Heartbeat>,
    version: watch::Receiver<u64>,
}

/// Creates both sides; nothing is published yet.
#[must_use]
pub fn channel() -> (ViewWriter, ViewReader) {
    let current = Arc::new(ArcSwapOption::empty());
    let heartbeat = Arc::new(Heartbeat { start: Instant::now(), last_ms: AtomicU64::new(0) });
    let (sender, receiver) = watch::channel(0);
    (
        ViewWriter { current: current.clone(), heartbeat: heartbeat.clone(), version: sender },
        ViewReader { current, heartbeat, version: receiver },
    )
}

/// When the control thread last ran.
struct Heartbeat {
    start: Instant,
    last_ms: AtomicU64,
}

impl Heartbeat {
    fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

impl ViewWriter {
    /// Records that the control thread runs.
    pub fn beat(&self) {
        self.heartbeat.last_ms.store(self.heartbeat.elapsed_ms(), Ordering::Relaxed);
    }

    /// Publishes a view.
    pub fn publish(&self, view: FleetView) {
        self.current.store(Some(Arc::new(view)));
        self.version.send_modify(|version| *version += 1);
    }
}

impl ViewReader {
    /// The latest view; `None` until the first configuration is in force.
    #[must_use]
    pub fn get(&self) -> Option<Arc<FleetView>> {
        self.current.load_full()
    }

    /// True if the view is fresh and the control thread has run within the last 2 s.
    ///
    /// Right after a pause, traffic threads may run before the control thread withdraws the flag.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        let silence_ms = self
            .heartbeat
            .elapsed_ms()
            .saturating_sub(self.heartbeat.last_ms.load(Ordering::Relaxed));
        silence_ms <= MAX_SILENCE_MS && self.get().is_some_and(|view| view.fresh)
    }

    /// Waits until a view newer than the last one seen by this reader is published.
    pub async fn changed(&mut self) {
        if self.version.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
