//! Asks other entries when a version of the weights was declared, if this entry could not observe it.

use std::{sync::Arc, time::Duration};

use log::{info, warn};
use rand::seq::IteratorRandom;
use tokio::time::sleep;
use wire::{BriefRequest, Payload};

use super::{control::publish, shared::EntryShared};
use crate::frames::FrameClient;

/// Interval between checks for declarations that need a date.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Pause after a request to another entry, which may not know the date either.
const REQUEST_PAUSE: Duration = Duration::from_millis(850);
/// Uncertainty of a date above which other entries are asked. Entries that follow the store closely date changes within
/// their pause between two watches.
const MAX_UNCERTAINTY: Duration = Duration::from_millis(400);
const DATE_TIMEOUT: Duration = Duration::from_millis(800);

/// Improves the dates of recent declarations. Until a declaration is dated, it counts as made long ago, and engines with
/// older weights are not used.
pub(super) async fn date_declarations(shared: Arc<EntryShared>, client: Arc<FrameClient>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = shared.clock.now();
        let rollout_timeout = shared.settings.common.rollout_timeout;
        let since = now.checked_sub(rollout_timeout).unwrap_or(now);
        let poorly_dated = shared.fleet_state().poorly_dated(MAX_UNCERTAINTY, since);
        if poorly_dated.is_empty() {
            continue;
        }
        let view = shared.view.load_full();
        let peer = {
            let membership = shared.membership();
            let alive = membership.alive(now).filter(|member| member.revision > 0);
            alive.choose(&mut rand::rng()).map(|member| member.peer)
        };
        let Some(peer) = peer else { continue };
        for (model, version) in poorly_dated {
            let service = view.services().find(|service| {
                let models = service.engine.as_ref().map_or(&[][..], |engine| &engine.models);
                models.iter().any(|known| known.model == model)
            });
            let Some(service) = service else { continue };
            let request = Payload::BriefRequest(BriefRequest {
                service: service.service.to_string(),
                ..BriefRequest::default()
            });
            let timer = shared.start_request();
            match client.call(peer, request, DATE_TIMEOUT).await {
                Ok(Payload::BriefReply(reply))
                    if reply.model == model && reply.version == version =>
                {
                    let Some(age_ms) = reply.declared_ms else { continue };
                    shared.record_suspension();
                    let period = timer.finish(&*shared.clock);
                    let age = Duration::from_millis(age_ms);
                    if shared.fleet_state().improve_date(&model, version, period, age) {
                        info!(
                            "event=declaration_dated model={model} version={version} age_ms={age_ms}"
                        );
                        publish(&shared);
                    }
                }
                // The peer does not know the version yet, or a newer one has been declared.
                Ok(_) => {}
                Err(error) => warn!("event=dating_failed peer={peer} error=\"{error}\""),
            }
        }
        sleep(REQUEST_PAUSE).await;
    }
}
