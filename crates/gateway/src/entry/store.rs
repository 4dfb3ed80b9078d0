//! Follows the platform's store and applies its changes to the fleet state.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::rendezvous_weight;
use fleet::{
    FleetChange, ItemSource, RawItem, ReceivePeriod, WAIT_CHECK_INTERVAL, WatchTimer,
    era_and_number,
};
use log::{info, warn};
use rand::RngExt;
use tokio::time::sleep;

use super::{control::publish, shared::EntryShared};
use crate::port::StoreError;

/// Maximum time for which a watch request waits for changes. A watch that returns without changes confirms the fleet
/// state.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);
/// Pause after a watch that returned changes, so that a burst of changes takes few requests. It must stay far below the
/// shortest time within which a change must be in force.
const WATCH_PAUSE: Duration = Duration::from_millis(250);
/// Number of entries per region that follow the store closely. The others learn of changes from these and query the
/// store less often, because each request is billed. Two, so that one may fail.
const READERS_PER_REGION: usize = 2;
/// Pause of the other entries after a watch that returned changes, and the wait of their next watch. The sum stays
/// below `MAX_FLEET_STATE_AGE`, the maximum age at which requests are rejected permanently.
const FOLLOWER_PAUSE: Duration = Duration::from_millis(1_800);
const FOLLOWER_WAIT: Duration = Duration::from_millis(1_400);
/// Minimum and maximum delay before the store is queried again after a failure.
const BACKOFF_RANGE: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(1_200));

/// Keeps the fleet state up to date: lists the store once, then watches for changes.
pub(super) async fn follow_store(shared: Arc<EntryShared>) {
    let mut backoff = BACKOFF_RANGE.0;
    let mut is_failing = false;
    let mut after_follower_pause = false;
    let mut timer = WatchTimer::new(shared.clock.now());
    loop {
        let after = shared.fleet_state().as_of();
        let pauses = shared.pauses();
        // After a pause of this process, the current state is needed at once, and a response from before the pause does
        // not confirm it.
        let wait = match () {
            () if shared.is_stale_after_pause() => Duration::ZERO,
            () if after_follower_pause => FOLLOWER_WAIT,
            () => WATCH_WAIT,
        };
        let store_request = async {
            match after {
                None => shared.ports.store.list().await,
                Some(after) => shared.ports.store.watch(after, wait).await,
            }
        };
        timer.record_request(shared.clock.now());
        let result = tokio::select! {
            () = shared.wake_store.notified() => continue,
            result = store_request => result,
            () = check_waiting(&shared, &mut timer) => continue,
        };
        timer.record_suspension(shared.record_suspension());
        let now = shared.clock.now();
        shared.metrics.count("store_calls_total");
        match result {
            Ok(listing) => {
                if is_failing {
                    info!("event=store_regained as_of={}", listing.as_of);
                }
                (is_failing, backoff) = (false, BACKOFF_RANGE.0);
                let has_changes = !listing.items.is_empty();
                let (source, period) = match after {
                    None => (ItemSource::Listing, timer.record_listing(now)),
                    Some(_) => {
                        let head_at = now.checked_sub(listing.transfer_time).unwrap_or(now);
                        timer.record_response_head(head_at);
                        (ItemSource::Change, timer.record_watch(now))
                    }
                };
                let has_new_items =
                    apply_items(&shared, listing.items, listing.as_of, source, period);
                shared.fleet_state().set_unseen_since(timer.unseen_since());
                shared.record_confirmed(now);
                if has_new_items || after.is_none() {
                    publish(&shared);
                }
                shared.record_refreshed(pauses);
                after_follower_pause = has_changes && !is_reader(&shared);
                if has_changes {
                    let pause = if after_follower_pause { FOLLOWER_PAUSE } else { WATCH_PAUSE };
                    tokio::select! {
                        () = sleep(pause) => {}
                        () = shared.wake_store.notified() => {}
                    }
                }
            }
            Err(StoreError::Compacted) => {
                info!("event=store_history_lost after={}", after.unwrap_or_default());
                if let Err(error) = list_again(&shared, &mut timer).await {
                    warn!("event=store_list_failed error=\"{error}\"");
                    sleep(jittered(backoff)).await;
                    backoff = (backoff * 2).min(BACKOFF_RANGE.1);
                } else {
                    // Bounds the rate of requests if the store loses its history all the time.
                    sleep(WATCH_PAUSE).await;
                }
            }
            Err(error) => {
                timer.record_failure();
                shared.fleet_state().record_unavailable(now);
                if after.is_some() {
                    shared.fleet_state().set_unseen_since(timer.unseen_since());
                }
                shared.metrics.count("store_failures_total");
                if !is_failing {
                    warn!("event=store_lost error=\"{error}\"");
                }
                is_failing = true;
                sleep(jittered(backoff)).await;
                backoff = (backoff * 2).min(BACKOFF_RANGE.1);
            }
        }
    }
}

/// Records at regular intervals that a request is still waiting for its response. Never returns.
async fn check_waiting(shared: &EntryShared, timer: &mut WatchTimer) {
    loop {
        sleep(WAIT_CHECK_INTERVAL).await;
        timer.record_suspension(shared.record_suspension());
        timer.record_waiting(shared.clock.now());
    }
}

/// True if this entry is one of those in its region that follow the store closely. If entries cannot reach each
/// other, more than [`READERS_PER_REGION`] may do so.
fn is_reader(shared: &EntryShared) -> bool {
    let common = &shared.settings.common;
    let weight = |peer: SocketAddr| rendezvous_weight(b"reader", &peer.to_string());
    let own = weight(common.peer);
    let now = shared.clock.now();
    let membership = shared.membership();
    let preceding = membership
        .alive(now)
        .filter(|entry| entry.peer != common.peer && !entry.leaving && entry.ready)
        .filter(|entry| common.is_local_region(&entry.data_centre))
        .filter(|entry| weight(entry.peer) > own)
        .count();
    preceding < READERS_PER_REGION
}

fn jittered(span: Duration) -> Duration {
    span.mul_f64(rand::rng().random_range(0.7..1.3))
}

async fn list_again(shared: &EntryShared, timer: &mut WatchTimer) -> Result<(), StoreError> {
    timer.record_request(shared.clock.now());
    let listing = shared.ports.store.list().await?;
    let period = timer.record_listing(shared.clock.now());
    apply_items(shared, listing.items, listing.as_of, ItemSource::Listing, period);
    shared.fleet_state().set_unseen_since(timer.unseen_since());
    shared.record_confirmed(period.end);
    publish(shared);
    Ok(())
}

/// Applies items to the fleet state; true if any of them was new.
pub(super) fn apply_items(
    shared: &EntryShared,
    items: Vec<RawItem>,
    as_of: u64,
    source: ItemSource,
    period: ReceivePeriod,
) -> bool {
    let decoder = &*shared.ports.decoder;
    let mut fleet_state = shared.fleet_state();
    let known_era = fleet_state.as_of().map(|as_of| era_and_number(as_of).0);
    let (era, number) = era_and_number(as_of);
    if known_era.is_some_and(|known| known < era) {
        warn!("event=store_restored era={era} as_of={number}");
    }
    let changes = if source == ItemSource::Listing {
        fleet_state.apply_listing(items, as_of, decoder, period)
    } else {
        let changes = items
            .into_iter()
            .filter_map(|item| fleet_state.apply(item, source, decoder, period))
            .collect();
        fleet_state.advance(as_of);
        changes
    };
    changes.iter().for_each(log_change);
    !changes.is_empty()
}

fn log_change(change: &FleetChange) {
    let FleetChange { key, revision, before, after, error, age } = change;
    if let Some(error) = error {
        warn!("event=item_unreadable key={key} revision={revision} error=\"{error}\"");
        return;
    }
    let describe = |value: &Option<fleet::ItemValue>| match value {
        None => "none".to_owned(),
        Some(fleet::ItemValue::Routing(config)) => format!("config:{}", config.version),
        Some(fleet::ItemValue::Evacuated(data_centre)) => format!("evacuated:{data_centre}"),
        Some(fleet::ItemValue::Declared { model, version }) => format!("weights:{model}:{version}"),
        Some(fleet::ItemValue::Upstream(record)) => {
            let state = if record.draining { "draining" } else { "ready" };
            format!("upstream:{}:{state}:cold_ms={}", record.address, record.cold_for.as_millis())
        }
        Some(fleet::ItemValue::Other) => "other".to_owned(),
    };
    info!(
        "event=item_changed key={key} revision={revision} before={} after={} age_ms={}",
        describe(before),
        describe(after),
        age.map_or(-1, |age| age.as_millis() as i64)
    );
}
