//! Follows the platform's store and takes over its items.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::rendezvous_weight;
use fleet::{FactSource, KnowledgeDelta, RawItem};
use log::{info, warn};
use rand::RngExt;
use tokio::time::sleep;

use super::{control::publish, shared::EntryShared};
use crate::port::StoreError;

/// Time for which one call waits for changes: a call that returns without changes confirms what is known.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);
/// Pause after a call that brought changes, so that a storm of changes comes in few calls. It stays far below the
/// shortest time in which a change must be in force.
const WATCH_PAUSE: Duration = Duration::from_millis(250);
/// Entries of each region that follow the store closely. The others learn of changes from these and ask the store less
/// often, because each call has its price; two, so that one may fail.
const READERS: usize = 2;
/// Pause of the others after a call that brought changes, and the wait of the next call. Both together stay below the age
/// of knowledge at which requests are no longer refused for good.
const FOLLOWER_PAUSE: Duration = Duration::from_millis(1_800);
const FOLLOWER_WAIT: Duration = Duration::from_millis(1_400);
/// Shortest and longest delay before the store is asked again after a failure.
const BACKOFF_RANGE: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(1_200));

/// Keeps the knowledge current: lists the store once, then waits for changes.
pub(super) async fn follow_store(shared: Arc<EntryShared>) {
    let mut backoff = BACKOFF_RANGE.0;
    let mut failing = false;
    let mut has_paused = false;
    loop {
        let after = shared.knowledge().as_of();
        let pauses = shared.pauses();
        // After a pause, what the store has now is wanted at once, and an answer from before the pause tells nothing.
        let wait = match () {
            () if shared.is_stale_after_pause() => Duration::ZERO,
            () if has_paused => FOLLOWER_WAIT,
            () => WATCH_WAIT,
        };
        let call = async {
            match after {
                None => shared.ports.store.list().await,
                Some(after) => shared.ports.store.watch(after, wait).await,
            }
        };
        let result = tokio::select! {
            () = shared.wake_store.notified() => continue,
            result = call => result,
        };
        let now = shared.clock.now();
        shared.metrics.count("store_calls_total");
        match result {
            Ok(listing) => {
                if failing {
                    info!("event=store_regained as_of={}", listing.as_of);
                }
                (failing, backoff) = (false, BACKOFF_RANGE.0);
                let has_changes = !listing.items.is_empty();
                let deltas = take_over(&shared, listing.items, listing.as_of, after.is_none());
                shared.record_confirmed(now);
                if deltas || after.is_none() {
                    publish(&shared);
                }
                shared.record_refreshed(pauses);
                has_paused = has_changes && !is_reader(&shared);
                if has_changes {
                    let pause = if has_paused { FOLLOWER_PAUSE } else { WATCH_PAUSE };
                    tokio::select! {
                        () = sleep(pause) => {}
                        () = shared.wake_store.notified() => {}
                    }
                }
            }
            Err(StoreError::Forgotten) => {
                info!("event=store_history_lost after={}", after.unwrap_or_default());
                if let Err(error) = list_again(&shared).await {
                    warn!("event=store_list_failed error=\"{error}\"");
                    sleep(jittered(backoff)).await;
                    backoff = (backoff * 2).min(BACKOFF_RANGE.1);
                }
            }
            Err(error) => {
                shared.knowledge().record_unavailable(now);
                shared.metrics.count("store_failures_total");
                if !failing {
                    warn!("event=store_lost error=\"{error}\"");
                }
                failing = true;
                sleep(jittered(backoff)).await;
                backoff = (backoff * 2).min(BACKOFF_RANGE.1);
            }
        }
    }
}

/// True if this entry is one of those of its region that follow the store closely. Entries that do not see one another
/// may disagree; then more of them do so.
fn is_reader(shared: &EntryShared) -> bool {
    let common = &shared.settings.common;
    let weight = |peer: SocketAddr| rendezvous_weight(b"reader", &peer.to_string());
    let own = weight(common.peer);
    let now = shared.clock.now();
    let roster = shared.roster();
    let before = roster
        .alive(now)
        .filter(|entry| entry.peer != common.peer && !entry.leaving && entry.ready)
        .filter(|entry| common.is_own_region(&entry.data_centre))
        .filter(|entry| weight(entry.peer) > own)
        .count();
    before < READERS
}

fn jittered(span: Duration) -> Duration {
    span.mul_f64(rand::rng().random_range(0.7..1.3))
}

async fn list_again(shared: &EntryShared) -> Result<(), StoreError> {
    let listing = shared.ports.store.list().await?;
    take_over(shared, listing.items, listing.as_of, true);
    shared.record_confirmed(shared.clock.now());
    publish(shared);
    Ok(())
}

/// Applies items; true if any of them was new.
pub(super) fn take_over(
    shared: &EntryShared,
    items: Vec<RawItem>,
    as_of: u64,
    is_complete: bool,
) -> bool {
    let now = shared.clock.now();
    let decoder = &*shared.ports.decoder;
    let mut knowledge = shared.knowledge();
    let deltas = if is_complete {
        knowledge.apply_listing(items, as_of, decoder, now)
    } else {
        let deltas = items
            .into_iter()
            .filter_map(|item| knowledge.apply(item, FactSource::Change, decoder, now))
            .collect();
        knowledge.advance(as_of);
        deltas
    };
    deltas.iter().for_each(log_delta);
    !deltas.is_empty()
}

fn log_delta(delta: &KnowledgeDelta) {
    let KnowledgeDelta { key, revision, before, after, error } = delta;
    if let Some(error) = error {
        warn!("event=item_unreadable key={key} revision={revision} error=\"{error}\"");
        return;
    }
    let describe = |fact: &Option<fleet::FleetFact>| match fact {
        None => "none".to_owned(),
        Some(fleet::FleetFact::Routing(config)) => format!("config:{}", config.version),
        Some(fleet::FleetFact::Evacuated(data_centre)) => format!("evacuated:{data_centre}"),
        Some(fleet::FleetFact::Declared { model, version }) => format!("weights:{model}:{version}"),
        Some(fleet::FleetFact::Upstream(record)) => {
            let state = if record.draining { "draining" } else { "ready" };
            format!("upstream:{}:{state}:cold_ms={}", record.address, record.cold_for.as_millis())
        }
        Some(fleet::FleetFact::Other) => "other".to_owned(),
    };
    info!(
        "event=item_changed key={key} revision={revision} before={} after={}",
        describe(before),
        describe(after)
    );
}
