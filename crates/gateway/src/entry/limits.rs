//! Exchanges with the other entries what each knows and uses of the limits that upstreams state.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use balance::{LimitChange, LimitUsage};
use base::UpstreamId;
use log::{info, warn};
use tokio::time::{MissedTickBehavior, interval};
use wire::{LimitNotice, Notice, UpstreamLimit};

use super::shared::EntryShared;
use crate::peers::NoticeSocket;

/// Interval between reports to entries in the same region while a limit is known. It is far below the period in which
/// limits are judged.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Every n-th report is also sent to entries in other regions, because cross-region traffic is billed.
const REMOTE_REPORT_PERIOD: u64 = 2;
/// Maximum number of limits in a report, so that it fits into a datagram.
const MAX_REPORTED_LIMITS: usize = 16;

/// Reports the limits that this entry knows to the other entries, at once after a change. Never returns.
pub(super) async fn report_limits(shared: Arc<EntryShared>, socket: NoticeSocket) {
    let mut ticks = interval(REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count = 0_u64;
    loop {
        let is_urgent = tokio::select! {
            _ = ticks.tick() => false,
            () = shared.wake_limits.notified() => true,
        };
        count += 1;
        let usage = shared.balancer().limit_usage(shared.clock.now());
        if usage.is_empty() {
            continue;
        }
        let with_remote = is_urgent || count.is_multiple_of(REMOTE_REPORT_PERIOD);
        let targets = peers(&shared, with_remote);
        for usage in usage.chunks(MAX_REPORTED_LIMITS) {
            let limits = usage.iter().map(limit_message).collect();
            socket.send(Notice::Limits(LimitNotice { limits }), targets.iter().copied());
        }
    }
}

/// Addresses of the other entries, with `with_remote` also of those in other regions.
pub(super) fn peers(shared: &EntryShared, with_remote: bool) -> Vec<SocketAddr> {
    let common = &shared.settings.common;
    let membership = shared.membership();
    let is_local = |peer: &SocketAddr| {
        let data_centre = membership.data_centre_of(*peer);
        data_centre.is_some_and(|data_centre| common.is_local_region(data_centre))
    };
    membership
        .addresses()
        .filter(|peer| *peer != common.peer && (with_remote || is_local(peer)))
        .collect()
}

/// Records a report of another entry.
pub(super) fn record_limits(shared: &EntryShared, notice: &LimitNotice, peer: SocketAddr) {
    let now = shared.clock.now();
    for limit in &notice.limits {
        let Some(usage) = limit_usage(limit) else {
            warn!("event=limit_notice_unreadable peer={peer} upstream={}", limit.upstream);
            continue;
        };
        let mut balancer = shared.balancer();
        let change = balancer.record_limit_usage(peer, &usage, now, &mut rand::rng());
        if let Some(change) = change {
            let recent_sends = balancer.load_of(&usage.upstream, now).recent_sends;
            drop(balancer);
            log_limit_change(&usage.upstream, change, "entry", recent_sends);
        }
    }
}

/// Logs a change of an upstream's limit, with the number of requests that this entry sent there in the last 4 s.
pub(super) fn log_limit_change(
    upstream: &UpstreamId,
    change: LimitChange,
    source: &str,
    recent_sends: u32,
) {
    let rate = |limit: Option<f64>| limit.map_or("none".to_owned(), |limit| limit.to_string());
    info!(
        "event=rate_limit_changed upstream={upstream} before={} after={} unreadable={} source={source} \
         recent_sends={recent_sends}",
        rate(change.before),
        rate(change.after),
        change.unreadable
    );
}

fn limit_message(usage: &LimitUsage) -> UpstreamLimit {
    UpstreamLimit {
        upstream: usage.upstream.to_string(),
        started_ms: usage.started_ms,
        per_second: usage.per_second,
        age_ms: u32::try_from(usage.age.as_millis()).unwrap_or(u32::MAX),
        sent: usage.sent,
        withheld: usage.withheld,
    }
}

/// Decodes a reported limit; `None` if its rate is not a number of requests per second.
fn limit_usage(limit: &UpstreamLimit) -> Option<LimitUsage> {
    let is_rate = |rate: f64| rate.is_finite() && rate >= 0.0;
    if !limit.per_second.is_none_or(is_rate) {
        return None;
    }
    Some(LimitUsage {
        upstream: limit.upstream.as_str().into(),
        started_ms: limit.started_ms,
        per_second: limit.per_second,
        age: Duration::from_millis(limit.age_ms.into()),
        sent: limit.sent,
        withheld: limit.withheld,
    })
}
