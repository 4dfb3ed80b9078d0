//! Entry: answers address queries, forwards callers' requests and keeps its copy of the fleet state up to date.

mod admit;
mod assignment;
mod attempt;
mod backup;
mod control;
mod crashes;
mod dating;
mod error_body;
mod event_order;
mod events;
mod guards;
mod head_timer;
mod held_body;
mod http;
mod limits;
mod lost_config;
mod outcome;
mod pool;
mod relay;
mod request;
mod response;
mod response_check;
mod response_head;
mod rooms;
mod shared;
mod shedding;
mod speeds;
pub mod status;
mod store;
mod waiting;

use std::{
    pin::pin,
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use base::Clock;
use fleet::DecodeItem;
use log::{error, info};
use snafu::ResultExt;
use tokio::{
    runtime::Builder,
    sync::{oneshot, watch},
    time::{sleep, timeout_at},
};

use self::{
    rooms::run_rooms,
    shared::{EntryShared, StopTimes},
};
use crate::{
    frames::{NodeError, ThreadSnafu},
    lifecycle::{ProcessSignals, reload_seeds},
    log_sink::LogSink,
    port::{MessageCodec, SettingsSource, StateStore},
    settings::EntrySettings,
    supervise::keep_running,
};

/// Interval between writes of the buffered log lines.
const LOG_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time for which a stopping entry keeps serving, because callers cache the response to an address query for
/// its time to live.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// Margin before the end of the grace period at which the entry closes its listeners and connections, even if requests
/// are still in flight.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Margin before the end of the grace period at which the entry exits, even if connections are still open.
const END_MARGIN: Duration = Duration::from_millis(150);
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Adapters to the platform that an entry uses.
pub struct EntryPorts {
    /// Store from which the fleet state is read.
    pub store: Arc<dyn StateStore>,
    /// Decodes the items of the store.
    pub decoder: Arc<dyn DecodeItem>,
    /// Translates the heads of requests and responses.
    pub codec: Arc<dyn MessageCodec>,
    /// Source of the settings, which may change while the entry runs.
    pub settings: Arc<dyn SettingsSource<EntrySettings>>,
}

/// Runs an entry until it receives SIGTERM: one thread runs the control tasks, another serves the traffic.
///
/// # Errors
/// Fails if an address cannot be bound, a thread cannot be started or the signal handlers cannot be installed.
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
    let (failed, control_failure) = oneshot::channel();
    let control = {
        let shared = shared.clone();
        let runtime = Builder::new_current_thread().enable_all().build().context(ThreadSnafu)?;
        let run_control = move || {
            if let Err(error) = runtime.block_on(control::run(shared, stopped)) {
                // The receiver is only gone if the process is stopping anyway.
                let _ = failed.send(error);
            }
        };
        let builder = thread::Builder::new().name("control".to_owned());
        builder.spawn(run_control).context(ThreadSnafu)?
    };
    let logs = logs.start_writer(LOG_INTERVAL).context(ThreadSnafu)?;
    let result = runtime.block_on(run_traffic(&shared, signals, control_failure));
    info!("event=stop in_flight={}", shared.in_flight.load(Ordering::Relaxed));
    // The control thread ends when the sender is dropped.
    drop(stop);
    if control.join().is_err() {
        error!("event=control_failed error=\"the thread panicked\"");
    }
    logs.finish();
    result
}

async fn run_traffic(
    shared: &Arc<EntryShared>,
    signals: ProcessSignals,
    control_failure: oneshot::Receiver<NodeError>,
) -> Result<(), NodeError> {
    let state = shared.clone();
    let waiting_task = keep_running("waiting", move || run_rooms(state.clone()));
    let mut serving = pin!(http::serve(shared.clone()));
    let served = tokio::select! {
        result = serving.as_mut() => result,
        end = run_until_stopped(shared, signals) => {
            shared.closing.cancel();
            let close = async {
                let result = serving.await;
                while shared.connections() > 0 {
                    sleep(CLOSE_POLL_INTERVAL).await;
                }
                result
            };
            timeout_at(end.into(), close).await.unwrap_or(Ok(()))
        }
        Ok(error) = control_failure => {
            error!("event=control_failed error=\"{error}\"");
            Err(error)
        }
    };
    waiting_task.abort();
    served
}

/// Waits until the entry may close its listeners and connections after SIGTERM. Returns the time by which the process
/// must end.
async fn run_until_stopped(shared: &EntryShared, mut signals: ProcessSignals) -> Instant {
    let source = shared.ports.settings.clone();
    signals
        .wait_for_stop(&*source, |settings| {
            shared.set_seeds(reload_seeds(&shared.settings, settings));
            shared.wake_control.notify_one();
        })
        .await;
    let stop_started = shared.clock.now();
    shared.leaving.store(true, Ordering::Relaxed);
    shared.wake_control.notify_one();
    let grace_period = shared.settings.common.grace_period;
    let drained_at = stop_started + MIN_DRAIN_TIME;
    let close_at = stop_started + grace_period.saturating_sub(GRACE_MARGIN);
    // Set only once, because this function is called once.
    let _ = shared.stop_times.set(StopTimes { drained_at, close_at });
    loop {
        sleep(STOP_POLL_INTERVAL).await;
        let now = shared.clock.now();
        let is_idle = shared.in_flight.load(Ordering::Relaxed) == 0;
        if (now >= drained_at && is_idle) || now >= close_at {
            return stop_started + grace_period.saturating_sub(END_MARGIN);
        }
    }
}
