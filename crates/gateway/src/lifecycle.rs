//! Signals and settings that change while a process runs; entries and agents handle them alike.

use std::time::Duration;

use log::{info, warn};
use snafu::ResultExt;
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::{MissedTickBehavior, interval},
};

use crate::{
    frames::{NodeError, ThreadSnafu},
    port::SettingsSource,
};

/// Interval at which the source of the settings is examined: an operator who changes a file without a signal expects
/// the change within seconds.
const SOURCE_INTERVAL: Duration = Duration::from_secs(1);

/// Handlers of the signals that a process gets.
pub(crate) struct ProcessSignals {
    terminate: Signal,
    reload: Signal,
}

impl ProcessSignals {
    /// Installs the handlers; without them, both signals would end the process at once.
    pub(crate) fn new() -> Result<Self, NodeError> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).context(ThreadSnafu)?,
            reload: signal(SignalKind::hangup()).context(ThreadSnafu)?,
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
