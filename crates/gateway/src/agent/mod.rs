//! Agent: fetches model weights for the engine on its host and reports the engine's load to the entries.

mod downloads;
mod engine;
mod fetch;
mod heartbeats;
mod shared;
mod transfer;
mod uploads;

use std::{sync::Arc, time::Duration};

use base::Clock;
use log::info;
use serde_json::json;
use snafu::ResultExt;
use tokio::{runtime::Builder, time::sleep};

use self::shared::AgentShared;
use crate::{
    frames::{NodeError, ThreadSnafu, bind, serve_frames},
    lifecycle::{ProcessSignals, reload_seeds},
    log_sink::LogSink,
    metrics::serve_metrics,
    peers::NoticeSocket,
    port::{ChunkOrigin, EngineControl, SettingsSource},
    settings::AgentSettings,
    supervise::keep_running,
};

const LOG_INTERVAL: Duration = Duration::from_millis(200);
/// Delay between the request to stop and the end of the process, so that chunks being sent still arrive.
const STOP_DELAY: Duration = Duration::from_millis(150);

/// Adapters to the platform that an agent uses.
pub struct AgentPorts {
    /// Control interface of the engine on this host.
    pub engine: Arc<dyn EngineControl>,
    /// Server from which weights are fetched if no other agent has them.
    pub origin: Arc<dyn ChunkOrigin>,
    /// Source of the settings, which may change while the agent runs.
    pub settings: Arc<dyn SettingsSource<AgentSettings>>,
}

/// Runs an agent until it receives SIGTERM.
///
/// # Errors
/// Fails if an address cannot be bound, or if the runtime or the signal handlers cannot be set up.
pub fn run_agent(
    settings: AgentSettings,
    ports: AgentPorts,
    clock: Arc<dyn Clock>,
    logs: LogSink,
) -> Result<(), NodeError> {
    info!(
        "event=start role=agent name={} data_centre={} engine={} service={}",
        settings.common.name, settings.common.data_centre, settings.engine, settings.service
    );
    let runtime = Builder::new_current_thread().enable_all().build().context(ThreadSnafu)?;
    let logs = logs.start_writer(LOG_INTERVAL).context(ThreadSnafu)?;
    let result = runtime.block_on(run(settings, ports, clock));
    info!("event=stop");
    logs.finish();
    result
}

async fn run(
    settings: AgentSettings,
    ports: AgentPorts,
    clock: Arc<dyn Clock>,
) -> Result<(), NodeError> {
    let mut signals = ProcessSignals::new()?;
    let peer = settings.common.peer;
    let metrics = settings.common.metrics;
    let shared = Arc::new(AgentShared::new(settings, ports, clock));
    let socket = NoticeSocket::bind(peer, shared.key.clone(), shared.metrics.clone()).await?;
    let listener = bind(peer).await?;
    let handler = Arc::new(uploads::AgentFrameHandler::new(shared.clone()));
    let name = shared.settings.common.name.to_string();
    tokio::spawn(serve_frames(listener, shared.key.clone(), name, handler));
    if let Some(address) = metrics {
        let status_source = shared.clone();
        let status = Arc::new(move || status_json(&status_source));
        tokio::spawn(serve_metrics(address, shared.metrics.clone(), status));
    }
    let (state, receiver) = (shared.clone(), socket.clone());
    keep_running("notices", move || heartbeats::receive(state.clone(), receiver.clone()));
    let (state, sender) = (shared.clone(), socket.clone());
    keep_running("heartbeats", move || heartbeats::send(state.clone(), sender.clone()));
    let state = shared.clone();
    keep_running("transfer", move || transfer::run(state.clone(), socket.clone()));
    let source = shared.ports.settings.clone();
    signals
        .wait_for_stop(&*source, |settings| {
            shared.set_seeds(reload_seeds(&shared.settings, settings));
        })
        .await;
    sleep(STOP_DELAY).await;
    Ok(())
}

/// State of the agent as JSON.
fn status_json(shared: &AgentShared) -> String {
    let assignment = shared.assignment();
    json!({
        "name": shared.settings.common.name,
        "engine": shared.settings.engine,
        "report": shared.report(),
        "wanted": assignment.as_ref().map(|assignment| assignment.weights.version),
        "revision": assignment.as_ref().map(|assignment| assignment.revision),
        "verified": shared.served_load().map(|(_, verdict)| verdict),
        "switching": shared.is_switching(),
        "weights_in_ms": shared.weights_at().map(|at| {
            at.saturating_duration_since(shared.clock.now()).as_millis() as u64
        }),
    })
    .to_string()
}
