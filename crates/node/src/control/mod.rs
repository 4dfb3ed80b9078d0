//! The control part of a process: dissemination of configurations and host lists on the control thread.

mod convert;
mod handler;
mod shell;

use std::sync::Arc;

use config::{HostList, settings::CommonSettings};
use ports::{HttpConfigService, HttpHostDirectory};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use spread::{SpreadCore, SpreadOptions};
use tokio::sync::mpsc;

pub use self::shell::{ControlCounters, ControlSources};
use self::{
    handler::ControlHandler,
    shell::{ControlShell, INBOX_MESSAGES},
};
use crate::{
    alarm::AlarmBoard,
    context::NodeContext,
    peer::PeerPool,
    server::FrameHandler,
    view::{self, ViewReader},
};

/// What the rest of the process gets from the control part.
pub struct ControlPart {
    /// Published view of the fleet.
    pub view: ViewReader,
    /// Handler of messages about configuration.
    pub handler: Arc<dyn FrameHandler>,
    /// Counters.
    pub counters: Arc<ControlCounters>,
    /// Alarms about configurations and their readers.
    pub alarms: Arc<AlarmBoard>,
}

/// Starts the control part of a process.
#[must_use]
pub fn spawn(context: &NodeContext, settings: &CommonSettings) -> ControlPart {
    let sources = ControlSources {
        service: Arc::new(HttpConfigService::new(settings.platform)),
        directory: Arc::new(HttpHostDirectory::new(settings.platform)),
    };
    spawn_with(context, settings, sources)
}

/// Starts the control part of a process on another adapter of the platform.
#[must_use]
pub fn spawn_with(
    context: &NodeContext,
    settings: &CommonSettings,
    sources: ControlSources,
) -> ControlPart {
    let (writer, view) = view::channel();
    let (sender, inbox) = mpsc::channel(INBOX_MESSAGES);
    let counters = Arc::<ControlCounters>::default();
    let alarms = Arc::<AlarmBoard>::default();
    let options = SpreadOptions {
        host: settings.host.clone(),
        data_centre: settings.data_centre.clone(),
        peer: settings.peer_listen,
        seeds: settings.seeds.clone(),
    };
    let rng = ChaCha8Rng::seed_from_u64(context.incarnation);
    let shell = ControlShell {
        context: context.clone(),
        core: SpreadCore::new(options, Box::new(rng), context.clock.now()),
        // Channels belong to the runtime that opened them, so the control thread has a pool of its own.
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
    context.spawn_control(shell.run());
    let handler = Arc::new(ControlHandler { inbox: sender, counters: counters.clone() });
    ControlPart { view, handler, counters, alarms }
}
