//! Snapshot of the control state, published by the control thread and read by traffic threads without locks.

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

/// Maximum age in milliseconds of the control thread's heartbeat; beyond it, the last view no longer counts as fresh.
const MAX_HEARTBEAT_AGE_MS: u64 = 2_000;

/// The fleet as this process knows it: configuration and host list.
#[derive(Clone, Debug)]
pub struct FleetView {
    /// Configuration in force.
    pub config: Arc<FleetConfig>,
    /// Content digest of `config`.
    pub digest: ContentDigest,
    /// When the configuration came into force.
    pub adopted_at: Instant,
    /// Latest host list.
    pub hosts: Arc<HostList>,
    /// False from a pause of the process until the state has been refreshed from peers or the platform. While it is
    /// false, no new work or load orders are sent.
    pub fresh: bool,
}

/// Publishing half, owned by the control thread.
pub struct ViewWriter {
    current: Arc<ArcSwapOption<FleetView>>,
    heartbeat: Arc<Heartbeat>,
    version: watch::Sender<u64>,
}

/// Reading half; clones are independent readers.
#[derive(Clone)]
pub struct ViewReader {
    current: Arc<ArcSwapOption<FleetView>>,
    heartbeat: Arc<Heartbeat>,
    version: watch::Receiver<u64>,
}

/// Creates a connected writer and reader with nothing published.
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

/// Time of the control thread's last run, relative to `start`.
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
    /// Records that the control thread is running; readers treat the view as stale when this stops.
    pub fn record_heartbeat(&self) {
        self.heartbeat.last_ms.store(self.heartbeat.elapsed_ms(), Ordering::Relaxed);
    }

    /// Replaces the published view and wakes the readers that wait in [`ViewReader::changed`].
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
    /// The heartbeat is checked too because right after a pause of the process, traffic threads may run before the
    /// control thread has cleared the flag.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        let heartbeat_age_ms = self
            .heartbeat
            .elapsed_ms()
            .saturating_sub(self.heartbeat.last_ms.load(Ordering::Relaxed));
        heartbeat_age_ms <= MAX_HEARTBEAT_AGE_MS && self.get().is_some_and(|view| view.fresh)
    }

    /// Waits until a view is published that this reader has not seen yet. Never returns once the writer is gone.
    pub async fn changed(&mut self) {
        if self.version.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
