//! Reads the engine's state and gives it load orders.

use std::sync::atomic::Ordering;

use log::{info, warn};
use pieces::{PieceIndex, WeightsName};

use super::shared::AgentShared;
use crate::port::OrderResult;

/// Reads the state; `is_lost` tells whether the last reading failed.
pub(super) async fn read_report(shared: &AgentShared, is_lost: &mut bool) {
    match shared.ports.engine.report().await {
        Ok(report) => {
            if std::mem::take(is_lost) {
                info!("event=engine_regained address={}", shared.settings.engine);
            }
            let before = shared.report();
            let has_restarted = before.as_ref().is_some_and(|before| before.born != report.born);
            if has_restarted {
                info!(
                    "event=engine_restarted address={} born={}",
                    shared.settings.engine, report.born
                );
                shared.switching.store(false, Ordering::Relaxed);
                // What lies staged may be gone, so it is read again.
                shared.staging_unknown.store(true, Ordering::Relaxed);
            }
            let has_changed = before.as_ref().is_none_or(|before| before.loaded != report.loaded);
            if has_changed {
                info!(
                    "event=engine_weights address={} loaded={:?} orders={}",
                    shared.settings.engine, report.loaded, report.orders
                );
            }
            shared.set_report(Some(report));
            if has_changed || has_restarted {
                shared.wake.notify_one();
            }
        }
        Err(error) => {
            if !std::mem::replace(is_lost, true) {
                warn!("event=engine_lost address={} error=\"{error}\"", shared.settings.engine);
            }
            shared.set_report(None);
        }
    }
}

/// Reads every staged piece back; returns those that are missing or spoilt.
pub(super) async fn verify_staged(shared: &AgentShared, name: &WeightsName) -> Vec<PieceIndex> {
    let Some(list) = shared.transfers().get(name).map(|slot| slot.swarm.list().clone()) else {
        return Vec::new();
    };
    let mut spoilt = Vec::new();
    for index in 0..list.len() {
        let is_whole = match shared.ports.engine.staged(&name.model, index).await {
            Ok(bytes) => list.verify(index, &bytes),
            Err(error) => {
                warn!("event=staged_unreadable piece={index} error=\"{error}\"");
                false
            }
        };
        if !is_whole {
            spoilt.push(index);
        }
    }
    spoilt
}

/// Orders the engine to load what is staged; true if the order is or may be in progress.
pub(super) async fn order_load(shared: &AgentShared, name: &WeightsName) -> bool {
    // The number of orders is read right before, so that an order which was held up in between does not fit any more.
    let Ok(report) = shared.ports.engine.report().await else { return false };
    if report.busy {
        return true;
    }
    let result = shared.ports.engine.load(name, report.orders).await;
    shared.metrics.count("load_orders_total");
    match result {
        Ok(OrderResult::Begun | OrderResult::InEffect) => {
            info!(
                "event=load_ordered model={} version={} orders={}",
                name.model, name.version, report.orders
            );
            true
        }
        Ok(OrderResult::Conflict) => {
            info!(
                "event=load_conflict model={} version={} orders={}",
                name.model, name.version, report.orders
            );
            false
        }
        Err(error) => {
            // It may have been accepted; the next report tells.
            warn!(
                "event=load_unknown model={} version={} error=\"{error}\"",
                name.model, name.version
            );
            true
        }
    }
}
