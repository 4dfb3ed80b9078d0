//! Distribution of configurations and host lists between processes, run on the control thread.

mod convert;
mod handler;
mod task;

use std::sync::Arc;

use config::{HostList, settings::CommonSettings};
use ports::{HttpConfigService, HttpHostDirectory};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use spread::{GossipCore, GossipOptions};
use tokio::sync::mpsc;

pub use self::task::{ControlCounters, ControlSources};
use self::{
    handler::ControlHandler,
    task::{ControlTask, INBOX_CAPACITY},
};
use crate::{
    alarm::AlarmRegistry,
    context::NodeContext,
    peer::PeerPool,
    server::FrameHandler,
    view::{self, ViewReader},
};

/// Handles of the control task that the rest of the process uses.
pub struct ControlHandle {
    /// Reader of the published view of the fleet.
    pub view: ViewReader,
    /// Handles peers' exchanges and pulls of documents.
    pub handler: Arc<dyn FrameHandler>,
    /// Message and document counters.
    pub counters: Arc<ControlCounters>,
    /// Alarms about refused or conflicting configurations and overdue reads.
    pub alarms: Arc<AlarmRegistry>,
}

/// Starts the control task with the platform's HTTP services from the settings.
#[must_use]
pub fn spawn(context: &NodeContext, settings: &CommonSettings) -> ControlHandle {
    let sources = ControlSources {
        service: Arc::new(HttpConfigService::new(settings.platform)),
        directory: Arc::new(HttpHostDirectory::new(settings.platform)),
    };
    spawn_with(context, settings, sources)
}

/// Starts the control task with the given adapters of the platform's services.
#[must_use]
pub fn spawn_with(
    context: &NodeContext,
    settings: &CommonSettings,
    sources: ControlSources,
) -> ControlHandle {
    let (writer, view) = view::channel();
    let (sender, inbox) = mpsc::channel(INBOX_CAPACITY);
    let counters = Arc::<ControlCounters>::default();
    let alarms = Arc::<AlarmRegistry>::default();
    let options = GossipOptions {
        host: settings.host.clone(),
        data_centre: settings.data_centre.clone(),
        peer: settings.peer_listen,
        seeds: settings.seeds.clone(),
    };
    let rng = ChaCha8Rng::seed_from_u64(context.incarnation);
    let task = ControlTask {
        context: context.clone(),
        core: GossipCore::new(options, Box::new(rng), context.clock.now()),
        // A channel is tied to the runtime that opened it, so the control thread needs a separate pool.
        pool: PeerPool::new(wire::FleetKey::new(&settings.fleet_key), settings.host.clone()),
        sources,
        writer,
        counters: counters.clone(),
        alarms: alarms.clone(),
        inbox,
        sender: sender.clone(),
        view: None,
        published: false,
        hosts: Arc::new(HostList::default()),
    };
    context.spawn_control(task.run());
    let handler = Arc::new(ControlHandler { inbox: sender, counters: counters.clone() });
    ControlHandle { view, handler, counters, alarms }
}
