//! Signal handling, pause detection and reload of settings, shared by entries and agents.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use base::{Clock, PauseDetector};
use log::{info, warn};
use snafu::ResultExt;
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::{MissedTickBehavior, interval},
};

use crate::{
    frames::{NodeError, SignalSnafu},
    port::SettingsSource,
    settings::CommonSettings,
};

/// Interval between checks of the settings source: an operator who changes a file without sending SIGHUP expects the
/// change to take effect within seconds.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Gap between two ticks above which the process must have been paused. Ticks are at most 0.25 s apart.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Returns the seeds of reloaded settings, which change with the fleet. A change of any other setting needs a restart
/// and is only logged.
pub(crate) fn reload_seeds<T>(known: &T, mut settings: T) -> Vec<SocketAddr>
where
    T: AsMut<CommonSettings> + Clone + PartialEq,
{
    let seeds = settings.as_mut().seeds.clone();
    let mut known = known.clone();
    known.as_mut().seeds.clone_from(&seeds);
    if known != settings {
        warn!("event=restart_needed reason=\"settings other than the seeds have changed\"");
    }
    seeds
}

/// Tracks pauses of the process, and whether its state has been refreshed since the last one.
pub(crate) struct PauseTracker {
    detector: PauseDetector,
    /// Number of pauses so far, and the number of the last pause after which the state was refreshed.
    pauses: AtomicU64,
    refreshed: AtomicU64,
}

impl PauseTracker {
    pub(crate) fn new() -> Self {
        Self {
            detector: PauseDetector::new(PAUSE_THRESHOLD),
            pauses: AtomicU64::new(0),
            refreshed: AtomicU64::new(0),
        }
    }

    /// Number of pauses detected so far.
    pub(crate) fn count(&self) -> u64 {
        self.pauses.load(Ordering::Relaxed)
    }

    /// Records that the process is running; true if a pause has just ended.
    pub(crate) fn tick(&self, clock: &dyn Clock) -> bool {
        let gap = self.detector.tick(clock);
        if let Some(gap) = gap {
            warn!("event=pause_detected gap_ms={}", gap.as_millis());
            self.pauses.fetch_add(1, Ordering::Relaxed);
        }
        gap.is_some()
    }

    /// True from the end of a pause until the state has been refreshed.
    pub(crate) fn is_stale(&self) -> bool {
        self.refreshed.load(Ordering::Relaxed) < self.count()
    }

    /// Records that the state was refreshed after the pause with number `pauses`; true if this was not recorded before.
    pub(crate) fn record_refreshed(&self, pauses: u64) -> bool {
        self.refreshed.fetch_max(pauses, Ordering::Relaxed) < pauses
    }
}

/// Handlers for SIGTERM and SIGHUP.
pub(crate) struct ProcessSignals {
    terminate: Signal,
    reload: Signal,
}

impl ProcessSignals {
    /// Installs the handlers. Without them, either signal would end the process at once.
    pub(crate) fn new() -> Result<Self, NodeError> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).context(SignalSnafu)?,
            reload: signal(SignalKind::hangup()).context(SignalSnafu)?,
        })
    }

    /// Waits for SIGTERM. Until then, settings are reloaded after SIGHUP and after a change of their source. If they
    /// cannot be read, the current settings stay in force.
    pub(crate) async fn wait_for_stop<T>(
        &mut self,
        source: &dyn SettingsSource<T>,
        mut apply: impl FnMut(T),
    ) {
        let mut ticks = interval(SETTINGS_POLL_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let cause = tokio::select! {
                _ = self.terminate.recv() => break,
                _ = self.reload.recv() => "SIGHUP",
                _ = ticks.tick() => "changed",
            };
            if cause == "changed" && !source.has_changed() {
                continue;
            }
            match source.read() {
                Ok(settings) => {
                    info!("event=reload cause={cause} result=read");
                    apply(settings);
                }
                Err(error) => warn!("event=reload cause={cause} result=kept error=\"{error}\""),
            }
        }
        info!("event=stop_requested signal=SIGTERM");
    }
}
