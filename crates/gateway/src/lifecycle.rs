//! Signals, pauses, and settings that change while a process runs; entries and agents handle them alike.

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

/// Interval at which the source of the settings is examined: an operator who changes a file without a signal expects
/// the change within seconds.
const SOURCE_INTERVAL: Duration = Duration::from_secs(1);

/// Gap between two ticks, which come every 0.25 s at most, that only a pause of the process explains.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Seeds of settings that were read again. They change with the fleet; everything else needs a restart.
pub(crate) fn take_seeds<T>(known: &T, mut settings: T) -> Vec<SocketAddr>
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

/// Tells whether what a process knows has been refreshed after its last pause.
pub(crate) struct PauseWatch {
    detector: PauseDetector,
    /// Pauses so far, and the number of them after which the knowledge was refreshed.
    pauses: AtomicU64,
    refreshed: AtomicU64,
}

impl PauseWatch {
    pub(crate) fn new() -> Self {
        Self {
            detector: PauseDetector::new(PAUSE_THRESHOLD),
            pauses: AtomicU64::new(0),
            refreshed: AtomicU64::new(0),
        }
    }

    /// Number of pauses that have been noticed.
    pub(crate) fn count(&self) -> u64 {
        self.pauses.load(Ordering::Relaxed)
    }

    /// Records that the process runs; true if that ends a pause.
    pub(crate) fn tick(&self, clock: &dyn Clock) -> bool {
        let gap = self.detector.tick(clock);
        if let Some(gap) = gap {
            warn!("event=pause_detected gap_ms={}", gap.as_millis());
            self.pauses.fetch_add(1, Ordering::Relaxed);
        }
        gap.is_some()
    }

    /// True until the knowledge has been refreshed after the last pause.
    pub(crate) fn is_stale(&self) -> bool {
        self.refreshed.load(Ordering::Relaxed) < self.count()
    }

    /// Records that the knowledge was current after the pause with number `pauses`; true if that is news.
    pub(crate) fn record_refreshed(&self, pauses: u64) -> bool {
        self.refreshed.fetch_max(pauses, Ordering::Relaxed) < pauses
    }
}

/// Handlers of the signals that a process gets.
pub(crate) struct ProcessSignals {
    terminate: Signal,
    reload: Signal,
}

impl ProcessSignals {
    /// Installs the handlers; without them, both signals would end the process at once.
    pub(crate) fn new() -> Result<Self, NodeError> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).context(SignalSnafu)?,
            reload: signal(SignalKind::hangup()).context(SignalSnafu)?,
        })
    }

    /// Waits for the request to stop. Meanwhile settings are read again after SIGHUP and after a change of their
    /// source; those that cannot be read leave the present ones in force.
    pub(crate) async fn wait_for_stop<T>(
        &mut self,
        source: &dyn SettingsSource<T>,
        mut take_over: impl FnMut(T),
    ) {
        let mut ticks = interval(SOURCE_INTERVAL);
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
                    take_over(settings);
                }
                Err(error) => warn!("event=reload cause={cause} result=kept error=\"{error}\""),
            }
        }
        info!("event=stop_requested signal=SIGTERM");
    }
}
