//! Reads the engine's state and sends it load orders.

use std::{sync::atomic::Ordering, time::Duration};

use chunks::{ChunkManifest, ChunkSet, LoadOrder, StagingVerification, WeightsId};
use log::{info, warn};
use ports::PlatformError;

use super::shared::{AgentShared, order_report};
use crate::port::LoadOrderResult;

/// Reads the engine's state. `is_engine_lost` is true if the previous read failed, and is updated by this one.
pub(super) async fn read_report(shared: &AgentShared, is_engine_lost: &mut bool) {
    let requested_at = shared.clock.now();
    match shared.ports.engine.report().await {
        Ok(report) => {
            if std::mem::take(is_engine_lost) {
                info!("event=engine_regained address={}", shared.settings.engine);
            }
            let before = shared.report();
            let has_restarted =
                before.as_ref().is_some_and(|before| before.started_at_ms != report.started_at_ms);
            if has_restarted {
                info!(
                    "event=engine_restarted address={} born={}",
                    shared.settings.engine, report.started_at_ms
                );
                shared.switching.store(false, Ordering::Relaxed);
                // The restart may have cleared the staging area, so it is read again.
                shared.staging_unknown.store(true, Ordering::Relaxed);
            }
            let has_changed = before.as_ref().is_none_or(|before| before.loaded != report.loaded);
            if has_changed {
                info!(
                    "event=engine_weights address={} loaded={:?} orders={}",
                    shared.settings.engine, report.loaded, report.load_orders
                );
            }
            shared.set_report(Some(report), requested_at);
            if has_changed || has_restarted {
                shared.wake_transfer.notify_one();
            }
        }
        Err(error) => {
            if !std::mem::replace(is_engine_lost, true) {
                warn!("event=engine_lost address={} error=\"{error}\"", shared.settings.engine);
            }
            shared.set_report(None, requested_at);
        }
    }
}

/// Time after which the engine cannot receive an order any more that it has not responded to.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(10);

/// True if `error` says nothing about a staged chunk, because the engine has not responded.
pub(super) fn is_unanswered(error: &PlatformError) -> bool {
    matches!(
        error,
        PlatformError::Broken { .. }
            | PlatformError::Connect { .. }
            | PlatformError::RateLimited { .. }
            | PlatformError::Timeout { .. }
    )
}

/// True if the engine may have accepted an order that ended with `error`.
fn may_be_accepted(error: &PlatformError) -> bool {
    matches!(error, PlatformError::Broken { .. } | PlatformError::Timeout { .. })
}

/// Reads back every staged chunk; returns the verification and the chunks that are missing or corrupt. `None` if the
/// engine does not respond or the manifest is not known.
pub(super) async fn verify_staged(
    shared: &AgentShared,
    weights: &WeightsId,
) -> Option<(StagingVerification, ChunkSet)> {
    let manifest = shared.transfers().get(weights)?.swarm.manifest().clone();
    let verification = StagingVerification::new(shared.report()?.started_at_ms, &*shared.clock);
    Some((verification, read_corrupt(shared, &manifest).await?))
}

/// Reads every staged chunk; returns those that are missing or corrupt. `None` if the engine does not respond.
pub(super) async fn read_corrupt(
    shared: &AgentShared,
    manifest: &ChunkManifest,
) -> Option<ChunkSet> {
    let model = &manifest.name.model;
    let mut corrupt = ChunkSet::new();
    for index in 0..manifest.len() {
        let is_valid = match shared.ports.engine.read_staged(model, index).await {
            Ok(bytes) => manifest.verify(index, &bytes),
            Err(error) => {
                warn!("event=staged_unreadable piece={index} error=\"{error}\"");
                if is_unanswered(&error) {
                    return None;
                }
                false
            }
        };
        if !is_valid {
            corrupt.insert(index);
        }
    }
    Some(corrupt)
}

/// What became of the attempt to order a load.
pub(super) enum OrderAttempt {
    /// The engine has accepted the order or may accept it.
    Pending(LoadOrder),
    /// There is no order that the engine has accepted or may accept.
    Refused,
    /// Nothing was sent, because the staged chunks have to be verified again. Contains the earlier order.
    Unverified(Option<LoadOrder>),
}

impl From<Option<LoadOrder>> for OrderAttempt {
    fn from(order: Option<LoadOrder>) -> Self {
        order.map_or(Self::Refused, Self::Pending)
    }
}

/// Orders the engine to load the staged weights, unless it does so already or carries out another order. `previous` is
/// an earlier order of these weights that the engine may have accepted. The order cannot be withdrawn, so it is not sent
/// if `verification` is outdated, or if the process was paused and does not know whether the weights are still wanted.
pub(super) async fn order_load(
    shared: &AgentShared,
    weights: &WeightsId,
    verification: &StagingVerification,
    previous: Option<LoadOrder>,
) -> OrderAttempt {
    // The number of orders is read immediately before the order, so that the engine rejects an order that was delayed
    // while another one was accepted.
    let requested_at = shared.clock.now();
    let Ok(report) = shared.ports.engine.report().await else { return previous.into() };
    shared.observe_report(&report, requested_at);
    let basis = order_report(&report, &weights.model);
    let may_order = match &previous {
        Some(previous) => previous.is_unaccepted(&basis),
        None => !basis.busy && basis.loaded < weights.version,
    };
    if !may_order {
        return previous.into();
    }
    let is_stale = shared.is_stale();
    let verified_ms = verification.age(&*shared.clock).as_millis();
    if is_stale || !verification.is_current(report.started_at_ms, &*shared.clock) {
        info!(
            "event=verification_outdated model={} version={} age_ms={verified_ms} paused={is_stale} born={}",
            weights.model, weights.version, report.started_at_ms
        );
        return OrderAttempt::Unverified(previous);
    }
    let result = shared.ports.engine.load(weights, report.load_orders).await;
    shared.metrics.count("load_orders_total");
    let now = shared.clock.now();
    let is_recent =
        |order: &LoadOrder| now.saturating_duration_since(order.ordered_at()) < MAX_ORDER_DELAY;
    let order = previous.clone().unwrap_or_else(|| LoadOrder::new(weights.clone(), basis, now));
    match result {
        Ok(LoadOrderResult::Started | LoadOrderResult::AlreadyLoaded) => {
            info!(
                "event=load_ordered model={} version={} orders={} running={} queued={} verified_ms={verified_ms}",
                weights.model, weights.version, report.load_orders, report.running, report.queued
            );
            OrderAttempt::Pending(order.with_acceptance(now))
        }
        Ok(LoadOrderResult::Conflict) => {
            info!(
                "event=load_conflict model={} version={} orders={}",
                weights.model, weights.version, report.load_orders
            );
            previous.filter(is_recent).into()
        }
        Err(error) if !may_be_accepted(&error) => {
            warn!(
                "event=load_refused model={} version={} orders={} error=\"{error}\"",
                weights.model, weights.version, report.load_orders
            );
            previous.filter(is_recent).into()
        }
        Err(error) => {
            // The engine may have accepted the order; its next reports show whether it did.
            warn!(
                "event=load_unknown model={} version={} orders={} error=\"{error}\"",
                weights.model, weights.version, report.load_orders
            );
            OrderAttempt::Pending(order)
        }
    }
}
