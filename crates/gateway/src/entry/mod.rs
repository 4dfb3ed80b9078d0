//! The entry: answers address queries, forwards callers' requests, keeps what it knows of the fleet current.

mod admit;
mod attempt;
mod brief;
mod call;
mod control;
mod guards;
mod head_timer;
mod http;
mod outcome;
mod pool;
mod relay;
mod reply;
mod shared;
pub mod status;
mod store;

use std::{
    sync::{Arc, atomic::Ordering},
    thread,
    time::Duration,
};

use base::Clock;
use fleet::FactDecoder;
use log::info;
use snafu::ResultExt;
use tokio::{runtime::Builder, sync::watch, time::sleep};

use self::shared::EntryShared;
use crate::{
    frames::{NodeError, ThreadSnafu},
    lifecycle::{ProcessSignals, take_seeds},
    log_sink::LogSink,
    port::{CallCodec, SettingsSource, StateStore},
    settings::EntrySettings,
};

/// Interval at which collected log lines are written.
const LOG_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a stopping entry keeps serving at least: callers keep an answer about addresses for its time to live.
const LINGER: Duration = Duration::from_millis(2_500);
/// Part of the grace period after which a stopping entry refuses new requests, so that none is cut off at its end.
const REFUSE_PART: f64 = 0.55;
/// Time before the end of the grace period at which the entry ends with whatever it still holds.
const GRACE_RESERVE: Duration = Duration::from_millis(400);
const STOP_POLL: Duration = Duration::from_millis(50);

/// Parts of the platform that an entry uses.
pub struct EntryPorts {
    /// The store.
    pub store: Arc<dyn StateStore>,
    /// Reads items of the store.
    pub decoder: Arc<dyn FactDecoder>,
    /// Translates requests and answers.
    pub codec: Arc<dyn CallCodec>,
    /// Source of the settings, which may change while the entry runs.
    pub settings: Arc<dyn SettingsSource<EntrySettings>>,
}

/// Runs an entry until it is told to stop: one thread for control state, one for traffic.
///
/// # Errors
/// Fails if an address cannot be bound or a thread cannot be started.
pub fn run_entry(
    settings: EntrySettings,
    ports: EntryPorts,
    clock: Arc<dyn Clock>,
    logs: LogSink,
) -> Result<(), NodeError> {
    info!(
        "event=start role=entry name={} data_centre={} callers={} peer={}",
        settings.common.name, settings.common.data_centre, settings.callers, settings.common.peer
    );
    let runtime = Builder::new_current_thread().enable_all().build().context(ThreadSnafu)?;
    let signals = {
        let _entered = runtime.enter();
        ProcessSignals::new()?
    };
    let (stop, stopped) = watch::channel(false);
    let shared = Arc::new(EntryShared::new(settings, ports, clock));
    let control = {
        let shared = shared.clone();
        let runtime = Builder::new_current_thread().enable_all().build().context(ThreadSnafu)?;
        thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || runtime.block_on(control::run(shared, stopped)))
            .context(ThreadSnafu)?
    };
    let result = runtime.block_on(run_traffic(&shared, signals, logs.clone()));
    info!("event=stop in_flight={}", shared.in_flight.load(Ordering::Relaxed));
    // The control thread ends when the sender is gone; a thread that panicked has nothing left to do.
    drop(stop);
    if let Ok(Err(error)) = control.join() {
        log::error!("event=control_failed error=\"{error}\"");
    }
    logs.flush_out();
    result
}

async fn run_traffic(
    shared: &Arc<EntryShared>,
    signals: ProcessSignals,
    logs: LogSink,
) -> Result<(), NodeError> {
    let flushing = tokio::spawn(logs.flush_forever(LOG_INTERVAL));
    let served = tokio::select! {
        result = http::serve(shared.clone()) => result,
        () = run_until_stopped(shared, signals) => Ok(()),
    };
    flushing.abort();
    served
}

async fn run_until_stopped(shared: &EntryShared, mut signals: ProcessSignals) {
    let source = shared.ports.settings.clone();
    signals
        .wait_for_stop(&*source, |settings| {
            shared.set_seeds(take_seeds(&shared.settings, settings));
            shared.wake_control.notify_one();
        })
        .await;
    let begun = shared.clock.now();
    shared.leaving.store(true, Ordering::Relaxed);
    shared.wake_control.notify_one();
    let grace = shared.settings.common.grace;
    loop {
        sleep(STOP_POLL).await;
        let elapsed = shared.clock.now().saturating_duration_since(begun);
        let is_idle = shared.in_flight.load(Ordering::Relaxed) == 0;
        if (elapsed >= LINGER && is_idle) || elapsed + GRACE_RESERVE >= grace {
            return;
        }
        if elapsed >= grace.mul_f64(REFUSE_PART) {
            shared.refusing.store(true, Ordering::Relaxed);
        }
    }
}
