//! Faults and how they are injected.

use std::time::Duration;

use super::cell::CellFleet;
use crate::{fleet::layout::add_model, platform::weight_store::StoreFault};

/// Outage of the configuration service.
const OUTAGE: Duration = Duration::from_secs(2);
/// Stall of the links of a data centre.
const STALL: Duration = Duration::from_millis(700);
/// Separation of a data centre.
const SEPARATION: Duration = Duration::from_millis(2_500);
/// Pause of a process; above the threshold of the pause detection, which is 2 s.
const PAUSE: Duration = Duration::from_millis(2_500);
const RESTART_DELAY: Duration = Duration::from_millis(100);
/// Attempts to start a process again; its addresses are released by its own threads.
const START_ATTEMPTS: u32 = 40;
const START_RETRY: Duration = Duration::from_millis(50);
const EXTRA_BYTES: usize = 1 << 20;
const CORRUPT_CHUNKS: u32 = 2;

/// A fault.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum FaultKind {
    /// A host dies: its agent and its upstream at once.
    HostDies,
    /// The links of a data centre stall and go on.
    LinkStalls,
    /// Store and origin deliver corrupted chunks while a model is fetched.
    CorruptChunk,
    /// A new version is published.
    VersionChanges,
    /// An upstream turns cold without a restart.
    TurnsCold,
    /// The configuration service is down.
    ConfigDown,
    /// The configuration service serves an older document.
    ConfigStale,
    /// An agent and an entry are suspended.
    ProcessPauses,
    /// A data centre is separated from the others.
    Partition,
    /// A request crashes each engine that runs it.
    CrashRequest,
    /// An agent restarts without its record.
    AgentRestarts,
    /// An entry dies and starts again.
    EntryRestarts,
    /// A host is replaced by one with new addresses.
    HostReplaced,
}

impl FaultKind {
    /// All faults.
    pub const ALL: [Self; 13] = [
        Self::HostDies,
        Self::LinkStalls,
        Self::CorruptChunk,
        Self::VersionChanges,
        Self::TurnsCold,
        Self::ConfigDown,
        Self::ConfigStale,
        Self::ProcessPauses,
        Self::Partition,
        Self::CrashRequest,
        Self::AgentRestarts,
        Self::EntryRestarts,
        Self::HostReplaced,
    ];

    /// Name on the command line and in the table.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::HostDies => "host-dies",
            Self::LinkStalls => "link-stalls",
            Self::CorruptChunk => "corrupt-chunk",
            Self::VersionChanges => "version-changes",
            Self::TurnsCold => "turns-cold",
            Self::ConfigDown => "config-down",
            Self::ConfigStale => "config-stale",
            Self::ProcessPauses => "process-pauses",
            Self::Partition => "partition",
            Self::CrashRequest => "crash-request",
            Self::AgentRestarts => "agent-restarts",
            Self::EntryRestarts => "entry-restarts",
            Self::HostReplaced => "host-replaced",
        }
    }

    /// Injects the fault at the agent `victim` and waits until it is over, if it ends by itself.
    pub(super) async fn inject(self, cell: &mut CellFleet, victim: usize, round: u32) {
        match self {
            Self::HostDies => {
                cell.fleet.kill_agent(victim);
                cell.crash_upstream(victim);
                cell.dead.push(cell.fleet.agent_plan(victim).id);
            }
            Self::LinkStalls => cell.separate(victim, STALL).await,
            Self::Partition => cell.separate(victim, SEPARATION).await,
            Self::CorruptChunk => {
                let platform = &cell.fleet.platform;
                platform.store.set_fault(StoreFault::Corrupt, CORRUPT_CHUNKS);
                platform.origin.set_fault(StoreFault::Corrupt, CORRUPT_CHUNKS);
                let image = cell.image(EXTRA_BYTES);
                let id = format!("extra-{round}");
                cell.fleet.platform.publish(|config| add_model(config, &id, &image, [2; 3]));
            }
            Self::VersionChanges => cell.publish_version(),
            Self::TurnsCold => cell.turn_cold(victim),
            Self::ConfigDown => {
                cell.fleet.platform.config_service.set_down(true);
                tokio::time::sleep(OUTAGE).await;
                cell.fleet.platform.config_service.set_down(false);
            }
            Self::ConfigStale => {
                cell.fleet.platform.publish(|config| config.teams[1].share += 1);
                cell.fleet.platform.config_service.serve_older(1);
                tokio::time::sleep(OUTAGE).await;
                cell.fleet.platform.config_service.serve_older(0);
            }
            Self::ProcessPauses => {
                cell.fleet.pause_host(&cell.fleet.agent_plan(victim).id, PAUSE);
                cell.fleet.pause_host(&cell.entry_id(round), PAUSE);
                tokio::time::sleep(PAUSE).await;
            }
            Self::CrashRequest => cell.callers.send_poison(round),
            Self::AgentRestarts => {
                cell.fleet.kill_agent(victim);
                tokio::time::sleep(RESTART_DELAY).await;
                retry_start(|| cell.fleet.start_agent(victim)).await;
            }
            Self::EntryRestarts => {
                let entry = cell.entry_index(round);
                cell.fleet.kill_entry(entry);
                tokio::time::sleep(RESTART_DELAY).await;
                retry_start(|| cell.fleet.start_entry(entry)).await;
            }
            Self::HostReplaced => {
                cell.dead.push(cell.fleet.agent_plan(victim).id);
                if let Err(error) = cell.fleet.replace_agent(victim).await {
                    cell.errors.push(error.to_string());
                }
            }
        }
    }
}

async fn retry_start(start: impl Fn() -> Result<(), crate::StandinError>) {
    for _ in 0..START_ATTEMPTS {
        if start().is_ok() {
            return;
        }
        tokio::time::sleep(START_RETRY).await;
    }
}

impl CellFleet {
    async fn separate(&self, victim: usize, duration: Duration) {
        let data_centre = self.fleet.agent_plan(victim).data_centre;
        self.fleet.network.set_separated(&data_centre, true);
        tokio::time::sleep(duration).await;
        self.fleet.network.set_separated(&data_centre, false);
    }
}
