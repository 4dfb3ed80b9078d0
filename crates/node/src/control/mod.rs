//! Adoption of configurations and host lists on the control thread.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use config::{FleetConfig, HostList, settings::CommonSettings};
use futures_util::future::BoxFuture;
use log::{info, warn};
use platform::{ConfigService, HostDirectory, HttpConfigService, HttpHostDirectory};
use wire::{ChannelError, DigestExchange, Payload};

use crate::{
    context::NodeContext,
    peer::PeerPool,
    server::{FrameHandler, ServerChannel},
    view::{self, FleetView, ViewReader, ViewWriter},
};

const WATCH_WAIT: Duration = Duration::from_secs(10);
const HOSTS_INTERVAL: Duration = Duration::from_secs(1);
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// What the rest of the process gets from the control part.
pub struct ControlPart {
    /// Published view of the fleet.
    pub view: ViewReader,
    /// Handler of messages about configuration.
    pub handler: Arc<dyn FrameHandler>,
}

/// Starts the control part of a process.
#[must_use]
pub fn spawn(
    context: &NodeContext,
    settings: &CommonSettings,
    _pool: &Arc<PeerPool>,
) -> ControlPart {
    let (writer, reader) = view::channel();
    let service = HttpConfigService::new(settings.platform);
    let directory = HttpHostDirectory::new(settings.platform);
    let task_context = context.clone();
    context.spawn_control(async move {
        AdoptionLoop { context: task_context, service, directory, writer }.run().await;
    });
    let handler = Arc::new(DigestHandler {
        view: reader.clone(),
        data_centre: settings.data_centre.to_string(),
    });
    ControlPart { view: reader, handler }
}

struct AdoptionLoop {
    context: NodeContext,
    service: HttpConfigService,
    directory: HttpHostDirectory,
    writer: ViewWriter,
}

impl AdoptionLoop {
    async fn run(self) {
        let mut hosts = Arc::new(HostList::default());
        let mut view: Option<FleetView> = None;
        loop {
            let after = view.as_ref().map_or(0, |view| view.config.revision);
            let wait = if after == 0 { Duration::ZERO } else { WATCH_WAIT };
            tokio::select! {
                document = self.service.watch(after, wait) => match document {
                    Ok(Some(document)) => self.adopt(&document, &hosts, &mut view),
                    Ok(None) => {}
                    Err(error) => {
                        warn!("event=config_read_failed error=\"{error}\"");
                        tokio::time::sleep(RETRY_DELAY).await;
                    }
                },
                () = tokio::time::sleep(HOSTS_INTERVAL), if view.is_some() => {}
            }
            self.refresh_hosts(&mut hosts, &mut view).await;
        }
    }

    fn adopt(&self, document: &Bytes, hosts: &Arc<HostList>, view: &mut Option<FleetView>) {
        match FleetConfig::parse(document) {
            Ok(config)
                if view.as_ref().is_none_or(|view| view.config.revision < config.revision) =>
            {
                info!("event=config_adopted revision={} preset={}", config.revision, config.preset);
                let digest = config.digest();
                let adopted_at = self.context.clock.now();
                let config = Arc::new(config);
                let new_view =
                    FleetView { config, digest, adopted_at, hosts: hosts.clone(), fresh: true };
                self.writer.publish(new_view.clone());
                *view = Some(new_view);
            }
            Ok(_) => {}
            Err(error) => warn!("event=config_refused error=\"{error}\""),
        }
    }

    async fn refresh_hosts(&self, hosts: &mut Arc<HostList>, view: &mut Option<FleetView>) {
        let Ok(bytes) = self.directory.list().await else { return };
        let Ok(list) = serde_json::from_slice::<HostList>(&bytes) else { return };
        if list.version > hosts.version {
            *hosts = Arc::new(list);
            if let Some(view) = view {
                view.hosts = hosts.clone();
                self.writer.publish(view.clone());
            }
        }
    }
}

struct DigestHandler {
    view: ViewReader,
    data_centre: String,
}

impl FrameHandler for DigestHandler {
    fn accepts(&self, payload: &Payload) -> bool {
        matches!(payload, Payload::DigestExchange(_))
    }

    fn handle<'a>(
        &'a self,
        _payload: Payload,
        channel: &'a mut ServerChannel,
    ) -> BoxFuture<'a, Result<(), ChannelError>> {
        Box::pin(async move {
            let view = self.view.get();
            let reply = DigestExchange {
                revision: view.as_ref().map_or(0, |view| view.config.revision),
                digest: view
                    .as_ref()
                    .map_or_else(Bytes::new, |view| Bytes::copy_from_slice(view.digest.as_bytes())),
                hosts_version: view.as_ref().map_or(0, |view| view.hosts.version),
                read_age_ms: u64::MAX,
                data_centre: self.data_centre.clone(),
                refused_digest: Bytes::new(),
                peer: String::new(),
            };
            channel.sender.send(Payload::DigestExchange(reply)).await
        })
    }
}
