//! The published snapshot of control state: traffic threads read it without locks.

use std::{sync::Arc, time::Instant};

use arc_swap::ArcSwapOption;
use base::ContentDigest;
use config::{FleetConfig, HostList};
use tokio::sync::watch;

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
    version: watch::Sender<u64>,
}

/// Reading side.
#[derive(Clone)]
pub struct ViewReader {
    current: Arc<ArcSwapOption<FleetView>>,
    version: watch::Receiver<u64>,
}

/// Creates both sides; nothing is published yet.
#[must_use]
pub fn channel() -> (ViewWriter, ViewReader) {
    let current = Arc::new(ArcSwapOption::empty());
    let (sender, receiver) = watch::channel(0);
    (
        ViewWriter { current: current.clone(), version: sender },
        ViewReader { current, version: receiver },
    )
}

impl ViewWriter {
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

    /// Waits until a view newer than the last one seen by this reader is published.
    pub async fn changed(&mut self) {
        if self.version.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
