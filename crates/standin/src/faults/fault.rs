//! Faults of the matrix and their injection.

use std::time::Duration;

use super::cell::CellFleet;
use crate::{fleet::layout::add_model, platform::weight_store::StoreFault};

/// Duration of an outage of the configuration service.
const OUTAGE_DURATION: Duration = Duration::from_secs(2);
/// Duration for which the links of a data centre stall.
const STALL_DURATION: Duration = Duration::from_millis(700);
/// Duration for which a data centre is partitioned from the others.
const PARTITION_DURATION: Duration = Duration::from_millis(2_500);
/// Duration for which a process is paused, above the 2 s threshold of the pause detection.
const PAUSE_DURATION: Duration = Duration::from_millis(2_500);
const RESTART_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of attempts to start a process again. An attempt fails until the threads of the old process have
/// released its addresses.
const START_ATTEMPTS: u32 = 40;
const START_RETRY_DELAY: Duration = Duration::from_millis(50);
const EXTRA_MODEL_BYTES: usize = 1 << 20;
const CORRUPT_CHUNKS: u32 = 2;

/// Fault that is injected into the fleet.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum FaultKind {
    /// A host fails: its agent and its upstream crash at the same time.
    HostDies,
    /// The links of a data centre stall for a short time.
    LinkStalls,
    /// The weight store and the origin serve corrupt chunks while a model is fetched.
    CorruptChunk,
    /// A new version is published.
    VersionChanges,
    /// An upstream turns cold without a restart.
    TurnsCold,
    /// The configuration service is down.
    ConfigDown,
    /// The configuration service returns an older document.
    ConfigStale,
    /// An agent and an entry are paused.
    ProcessPauses,
    /// A data centre is partitioned from the others.
    Partition,
    /// A request crashes each engine that runs it.
    CrashRequest,
    /// An agent crashes and restarts, losing its record of requests.
    AgentRestarts,
    /// An entry crashes and restarts.
    EntryRestarts,
    /// A host is replaced by a new one with other addresses.
    HostReplaced,
}

impl FaultKind {
    /// All faults, in the order of the table's rows.
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

    /// Name of the fault on the command line and in the table.
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

    /// Injects the fault; `target_agent` is the index of the agent that faults of a single host affect. Returns when a
    /// fault of limited duration is over.
    pub(super) async fn inject(self, cell: &mut CellFleet, target_agent: usize, round: u32) {
        match self {
            Self::HostDies => {
                cell.fleet.kill_agent(target_agent);
                cell.crash_upstream(target_agent);
                cell.killed_hosts.push(cell.fleet.agent_plan(target_agent).id);
            }
            Self::LinkStalls => cell.partition_data_centre(target_agent, STALL_DURATION).await,
            Self::Partition => cell.partition_data_centre(target_agent, PARTITION_DURATION).await,
            Self::CorruptChunk => {
                let platform = &cell.fleet.platform;
                platform.store.set_fault(StoreFault::Corrupt, CORRUPT_CHUNKS);
                platform.origin.set_fault(StoreFault::Corrupt, CORRUPT_CHUNKS);
                let image = cell.image(EXTRA_MODEL_BYTES);
                let id = format!("extra-{round}");
                cell.fleet.platform.publish(|config| add_model(config, &id, &image, [2; 3]));
            }
            Self::VersionChanges => cell.publish_version(),
            Self::TurnsCold => cell.set_cold(target_agent),
            Self::ConfigDown => {
                cell.fleet.platform.config_service.set_down(true);
                tokio::time::sleep(OUTAGE_DURATION).await;
                cell.fleet.platform.config_service.set_down(false);
            }
            Self::ConfigStale => {
                cell.fleet.platform.publish(|config| config.teams[1].share += 1);
                cell.fleet.platform.config_service.serve_older(1);
                tokio::time::sleep(OUTAGE_DURATION).await;
                cell.fleet.platform.config_service.serve_older(0);
            }
            Self::ProcessPauses => {
                cell.fleet.pause_host(&cell.fleet.agent_plan(target_agent).id, PAUSE_DURATION);
                cell.fleet.pause_host(&cell.entry_id(round), PAUSE_DURATION);
                tokio::time::sleep(PAUSE_DURATION).await;
            }
            Self::CrashRequest => cell.callers.send_poison(round),
            Self::AgentRestarts => {
                cell.fleet.kill_agent(target_agent);
                tokio::time::sleep(RESTART_DELAY).await;
                retry_start(|| cell.fleet.start_agent(target_agent)).await;
            }
            Self::EntryRestarts => {
                let entry = cell.entry_index(round);
                cell.fleet.kill_entry(entry);
                tokio::time::sleep(RESTART_DELAY).await;
                retry_start(|| cell.fleet.start_entry(entry)).await;
            }
            Self::HostReplaced => {
                cell.killed_hosts.push(cell.fleet.agent_plan(target_agent).id);
                if let Err(error) = cell.fleet.replace_agent(target_agent).await {
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
        tokio::time::sleep(START_RETRY_DELAY).await;
    }
}

impl CellFleet {
    async fn partition_data_centre(&self, target_agent: usize, duration: Duration) {
        let data_centre = self.fleet.agent_plan(target_agent).data_centre;
        self.fleet.network.set_separated(&data_centre, true);
        tokio::time::sleep(duration).await;
        self.fleet.network.set_separated(&data_centre, false);
    }
}
