//! The entry: answers address queries, forwards callers' requests, keeps what it knows of the fleet current.

mod admit;
mod brief;
mod call;
mod control;
mod guards;
mod http;
mod outcome;
mod pool;
mod relay;
mod reply;
mod shared;

use std::{
    sync::{Arc, atomic::Ordering},
    thread,
    time::Duration,
};

use base::Clock;
use fleet::FactDecoder;
use log::info;
use snafu::ResultExt;
use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
    sync::watch,
    time::sleep,
};

use self::shared::EntryShared;
use crate::{
    frames::{NodeError, ThreadSnafu},
    log_sink::LogSink,
    port::{CallCodec, StateStore},
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
    /// Reads the settings again after a signal.
    pub reload: Arc<dyn Fn() -> Option<EntrySettings> + Send + Sync>,
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
    let runtime = Builder::new_current_thread().enable_all().build().context(ThreadSnafu)?;
    let result = runtime.block_on(run_traffic(&shared, logs.clone()));
    info!("event=stop in_flight={}", shared.in_flight.load(Ordering::Relaxed));
    // The control thread ends when the sender is gone; a thread that panicked has nothing left to do.
    drop(stop);
    if let Ok(Err(error)) = control.join() {
        log::error!("event=control_failed error=\"{error}\"");
    }
    logs.flush_out();
    result
}

async fn run_traffic(shared: &Arc<EntryShared>, logs: LogSink) -> Result<(), NodeError> {
    let flushing = tokio::spawn(logs.flush_forever(LOG_INTERVAL));
    let served = tokio::select! {
        result = http::serve(shared.clone()) => result,
        () = run_until_stopped(shared) => Ok(()),
    };
    flushing.abort();
    served
}

async fn run_until_stopped(shared: &EntryShared) {
    let (Ok(mut terminate), Ok(mut reload)) =
        (signal(SignalKind::terminate()), signal(SignalKind::hangup()))
    else {
        log::error!("event=signals_unavailable");
        return;
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => reload_settings(shared),
        }
    }
    info!(
        "event=stop_requested signal=SIGTERM in_flight={}",
        shared.in_flight.load(Ordering::Relaxed)
    );
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

/// Settings that bind addresses need a restart; the others are taken over.
fn reload_settings(shared: &EntryShared) {
    match (shared.ports.reload)() {
        Some(settings) => {
            let needs_restart = settings.callers != shared.settings.callers
                || settings.addresses != shared.settings.addresses
                || settings.common.peer != shared.settings.common.peer;
            info!("event=reload result=read needs_restart={needs_restart}");
            shared.set_seeds(settings.common.seeds);
            shared.wake_control.notify_one();
        }
        None => info!("event=reload result=kept"),
    }
}
