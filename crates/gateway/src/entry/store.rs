//! Follows the platform's store and applies its changes to the fleet state.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use fleet::{
    FleetChange, ItemSource, OutageDetector, RawItem, ReceivePeriod, WAIT_CHECK_INTERVAL,
    WatchTimer, era_and_number,
};
use log::{debug, info, warn};
use member::EntryMember;
use ports::{PlatformError, TransferObserver};
use rand::RngExt;
use tokio::time::sleep;

use super::{control::publish, shared::EntryShared};
use crate::port::{StateListing, StoreError};

/// Maximum time for which a watch request waits for changes. A watch that returns without changes confirms the fleet
/// state, also that of the entries that do not follow the store.
const WATCH_WAIT: Duration = Duration::from_millis(1_500);
/// Pause after a watch that returned changes, so that a burst of changes takes few requests. It must stay far below the
/// shortest time within which a change must be in force.
const WATCH_PAUSE: Duration = Duration::from_millis(250);
/// Interval at which an entry that does not follow the store checks whether it has to.
const FOLLOW_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Margin by which confirmations by other entries date changes earlier, because a heartbeat may be delayed on a busy
/// link.
const CONFIRMATION_MARGIN: Duration = Duration::from_secs(1);
/// Time for a response to arrive from which it is logged; usual responses arrive within milliseconds.
const LONG_TRANSFER: Duration = Duration::from_millis(250);
/// Time to decode and apply items from which it is logged. Timers of the same thread fire late by that time.
const LONG_APPLICATION: Duration = Duration::from_millis(20);
/// Minimum and maximum delay before the store is queried again after a failure.
const BACKOFF_RANGE: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(1_200));

/// Tells the other entries that the store responds while a response is still arriving. They would all query the store
/// otherwise, and slow down the response further.
struct StoreObserver {
    shared: Arc<EntryShared>,
}

impl TransferObserver for StoreObserver {
    fn record_progress(&self, _count: usize) {
        self.shared.record_store_progress(self.shared.clock.now());
    }
}

/// Keeps the fleet state up to date: lists the store once, then watches for changes.
pub(super) async fn follow_store(shared: Arc<EntryShared>) {
    let mut backoff = BACKOFF_RANGE.0;
    let mut is_failing = false;
    let mut outage = OutageDetector::new();
    let mut timer = WatchTimer::new(shared.clock.now());
    let mut known_pauses = shared.pauses();
    let observer = StoreObserver { shared: shared.clone() };
    loop {
        if !outage.is_suspected() {
            wait_until_needed(&shared, &mut timer, &mut known_pauses).await;
        }
        let after = shared.fleet_state().as_of();
        let pauses = shared.pauses();
        // After a pause of this process, the current state is needed at once, and a response from before the pause does
        // not confirm it.
        let wait = match () {
            () if shared.is_stale_after_pause() || outage.is_suspected() => Duration::ZERO,
            () => WATCH_WAIT,
        };
        let store_request = async {
            match after {
                None => shared.ports.store.list(&observer).await,
                Some(after) => shared.ports.store.watch(after, wait, &observer).await,
            }
        };
        let requested_at = shared.clock.now();
        timer.record_request(requested_at);
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
                log_transfer(&shared, &listing);
                if is_failing {
                    info!("event=store_regained as_of={}", listing.as_of);
                }
                (is_failing, backoff) = (false, BACKOFF_RANGE.0);
                // The pause also bounds the rate of requests if the store cuts all watches.
                let needs_pause = outage.record_response() || !listing.items.is_empty();
                // A response may take long to arrive, and changes that were made meanwhile are not in it.
                let (source, period, current_at) = match after {
                    None => (ItemSource::Listing, timer.record_listing(now), requested_at),
                    Some(_) => {
                        let head_at = now.checked_sub(listing.transfer_time).unwrap_or(now);
                        timer.record_response_head(head_at);
                        (ItemSource::Change, timer.record_watch(now), head_at)
                    }
                };
                let has_new_items =
                    apply_items(&shared, listing.items, listing.as_of, source, period);
                shared.fleet_state().set_unseen_since(timer.unseen_since());
                shared.record_store_response(now, current_at);
                if has_new_items || after.is_none() {
                    publish(&shared);
                    shared.wake_neighbours.notify_one();
                }
                shared.record_refreshed(pauses);
                if needs_pause {
                    tokio::select! {
                        () = sleep(WATCH_PAUSE) => {}
                        () = shared.wake_store.notified() => {}
                    }
                }
            }
            Err(error @ (StoreError::Compacted | StoreError::TooManyChanges)) => {
                outage.record_response();
                let after = after.unwrap_or_default();
                info!("event=store_history_lost after={after} error=\"{error}\"");
                if let Err(error) = list_again(&shared, &mut timer, &observer).await {
                    warn!("event=store_list_failed error=\"{error}\"");
                    sleep(jittered(backoff)).await;
                    backoff = (backoff * 2).min(BACKOFF_RANGE.1);
                } else {
                    // Bounds the rate of requests if the store loses its history all the time.
                    sleep(WATCH_PAUSE).await;
                }
            }
            Err(error) => {
                shared.metrics.count("store_failures_total");
                let Some(unavailable_at) = outage.record_failure(requested_at, now) else {
                    if matches!(error, StoreError::Request { source: PlatformError::Broken { .. } })
                    {
                        timer.record_cut();
                    }
                    info!(
                        "event=store_request_failed ms={} error=\"{error}\"",
                        now.saturating_duration_since(requested_at).as_millis()
                    );
                    continue;
                };
                timer.record_failure();
                shared.fleet_state().record_unavailable(unavailable_at);
                if after.is_some() {
                    shared.fleet_state().set_unseen_since(timer.unseen_since());
                }
                if shared.record_store_failure() {
                    // Another entry of the region has to follow the store.
                    shared.wake_neighbours.notify_one();
                }
                if !is_failing {
                    warn!("event=store_lost error=\"{error}\"");
                }
                if matches!(error, StoreError::Request { source: PlatformError::Timeout { .. } }) {
                    shared.metrics.count("store_timeouts_total");
                    debug!("event=store_timeout after={} error=\"{error}\"", after.unwrap_or(0));
                }
                is_failing = true;
                sleep(jittered(backoff)).await;
                backoff = (backoff * 2).min(BACKOFF_RANGE.1);
            }
        }
    }
}

/// Logs a response that takes long, usually because a large configuration changed.
fn log_transfer(shared: &EntryShared, listing: &StateListing) {
    shared.metrics.observe("store_transfer_seconds", listing.transfer_time);
    if listing.transfer_time >= LONG_TRANSFER {
        let bytes: usize =
            listing.items.iter().filter_map(|item| item.value.as_ref().map(Bytes::len)).sum();
        info!(
            "event=store_transfer items={} bytes={bytes} ms={} as_of={}",
            listing.items.len(),
            listing.transfer_time.as_millis(),
            listing.as_of
        );
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

/// Returns once this entry has to query the store: it is one of those that follow it, or the other entries no longer
/// confirm its state.
async fn wait_until_needed(shared: &EntryShared, timer: &mut WatchTimer, known_pauses: &mut u64) {
    loop {
        let Some(as_of) = shared.fleet_state().as_of() else { return };
        let is_stale = shared.is_stale_after_pause();
        let now = shared.clock.now();
        if std::mem::replace(known_pauses, shared.pauses()) != shared.pauses() {
            shared.membership().record_pause(now);
        }
        let confirmed_at = shared.membership().confirmed_at(as_of, now);
        if let Some(at) = confirmed_at {
            shared.record_confirmed(at);
            timer.record_confirmed(at.checked_sub(CONFIRMATION_MARGIN).unwrap_or(at));
            shared.fleet_state().set_unseen_since(timer.unseen_since());
        }
        let (is_reader, is_turn) = {
            let common = &shared.settings.common;
            let membership = shared.membership();
            let is_local = |entry: &EntryMember| common.is_local_region(&entry.data_centre);
            let unconfirmed = shared.unconfirmed_for();
            (
                membership.is_reader(common.peer, is_local, now),
                membership.is_turn(common.peer, is_local, unconfirmed, now),
            )
        };
        let is_needed = is_reader || is_turn || is_stale;
        if shared.follows_store.swap(is_needed, Ordering::Relaxed) != is_needed {
            info!(
                "event=store_following active={is_needed} reader={is_reader} confirmed_ms={}",
                confirmed_at.map_or(-1, |at| now.saturating_duration_since(at).as_millis() as i64)
            );
        }
        if is_needed {
            return;
        }
        tokio::select! {
            () = sleep(FOLLOW_CHECK_INTERVAL) => timer.record_suspension(shared.record_suspension()),
            () = shared.wake_store.notified() => return,
        }
    }
}

fn jittered(span: Duration) -> Duration {
    span.mul_f64(rand::rng().random_range(0.7..1.3))
}

async fn list_again(
    shared: &EntryShared,
    timer: &mut WatchTimer,
    observer: &StoreObserver,
) -> Result<(), StoreError> {
    let requested_at = shared.clock.now();
    timer.record_request(requested_at);
    let listing = shared.ports.store.list(observer).await?;
    let period = timer.record_listing(shared.clock.now());
    apply_items(shared, listing.items, listing.as_of, ItemSource::Listing, period);
    shared.fleet_state().set_unseen_since(timer.unseen_since());
    shared.record_store_response(period.end, requested_at);
    publish(shared);
    shared.wake_neighbours.notify_one();
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
    let started = shared.clock.now();
    let bytes: usize = items.iter().filter_map(|item| item.value.as_ref().map(Bytes::len)).sum();
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
    drop(fleet_state);
    changes.iter().for_each(log_change);
    let elapsed = shared.clock.now().saturating_duration_since(started);
    if elapsed >= LONG_APPLICATION {
        info!(
            "event=items_applied items={} bytes={bytes} ms={}",
            changes.len(),
            elapsed.as_millis()
        );
    }
    !changes.is_empty()
}

fn log_change(change: &FleetChange) {
    let FleetChange { key, revision, before, after, error, age } = change;
    let key = key.escape_debug();
    if let Some(error) = error {
        warn!("event=item_unreadable key={key} revision={revision} error=\"{error}\"");
        return;
    }
    // An item without effect that still has none, such as one whose error is known.
    if before.is_none() && after.is_none() {
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
        describe(before).escape_debug(),
        describe(after).escape_debug(),
        age.map_or(-1, |age| age.as_millis() as i64)
    );
}
