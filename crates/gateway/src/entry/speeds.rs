//! Learns the speed of upstreams from their responses, and exchanges it with the other entries.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use balance::ForecastCheck;
use base::UpstreamId;
use fleet::UpstreamRecord;
use log::{info, warn};
use pace::{ResponseSample, SpeedShare, UpstreamOccupancy};
use rand::seq::IndexedRandom;
use tokio::time::{MissedTickBehavior, interval};
use wire::{Notice, SpeedNotice, StatedOccupancy, UpstreamSpeed};

use super::{
    limits::peers,
    request::{ChosenUpstream, RequestContext},
    shared::EntryShared,
};
use crate::{
    peers::{NoticeSocket, age_millis},
    port::ResponseMeta,
};

/// Interval between reports to the entries of the same region. A stated load is out of date after a few work times, so
/// that a shorter interval would help little, and hosts of entries have a fraction of a core.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Every n-th report is also sent to some entries of other regions, because cross-region traffic is billed.
const REMOTE_REPORT_PERIOD: u64 = 2;
/// Number of entries in other regions that get such a report. With 60 entries, all of them together send 1.2 Mbit/s over
/// the links between regions, of which one carries 21 to 31 Mbit/s.
const REMOTE_TARGETS: usize = 2;
/// Every n-th report is followed by a log line for each upstream whose learned speed is unusual.
const LOG_PERIOD: u64 = 20;
/// Factor by which the work time of an upstream differs from the usual one if it is logged.
const UNUSUAL_FACTOR: f64 = 1.5;
/// Maximum number of such log lines at a time.
const MAX_LOGGED_UPSTREAMS: usize = 8;

/// Reports what this entry has measured to the other entries. Never returns.
pub(super) async fn report_speeds(shared: Arc<EntryShared>, socket: NoticeSocket) {
    let mut ticks = interval(REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count = 0_u64;
    loop {
        ticks.tick().await;
        count += 1;
        let shares = shared.balancer().speed_shares(shared.clock.now());
        if shares.is_empty() {
            continue;
        }
        let mut targets = peers(&shared, false);
        if count.is_multiple_of(REMOTE_REPORT_PERIOD) {
            let mut remote = peers(&shared, true);
            remote.retain(|peer| !targets.contains(peer));
            targets.extend(remote.sample(&mut rand::rng(), REMOTE_TARGETS));
        }
        for shares in shares.chunks(pace::MAX_SHARED_UPSTREAMS) {
            let speeds = shares.iter().map(speed_message).collect();
            socket.send(Notice::Speeds(SpeedNotice { speeds }), targets.iter().copied());
        }
        if count.is_multiple_of(LOG_PERIOD) {
            log_unusual(&shared);
        }
    }
}

/// Logs the upstreams that are learned to be much slower or faster than usual.
fn log_unusual(shared: &EntryShared) {
    let now = shared.clock.now();
    let view = shared.view.load();
    let balancer = shared.balancer();
    let unusual: Vec<_> = view
        .upstreams()
        .filter_map(|(record, _)| {
            let speed = balancer.learned_speed(&record.upstream, now)?;
            let factor = speed.relative.max(speed.relative.recip());
            (factor >= UNUSUAL_FACTOR).then_some((record.upstream.clone(), speed))
        })
        .take(MAX_LOGGED_UPSTREAMS)
        .collect();
    drop(balancer);
    for (upstream, speed) in unusual {
        info!(
            "event=speed_unusual upstream={upstream} relative={:.2} knee={:.2} slowdown={:.2} weight={:.1}",
            speed.relative, speed.knee, speed.slowdown, speed.weight
        );
    }
}

/// Records a report of another entry.
pub(super) fn record_speeds(shared: &EntryShared, notice: &SpeedNotice, peer: SocketAddr) {
    if !shared.settings.learned_capacity {
        return;
    }
    let now = shared.clock.now();
    let mut applied = 0;
    let mut balancer = shared.balancer();
    for speed in notice.speeds.iter().take(pace::MAX_SHARED_UPSTREAMS) {
        match speed_share(speed) {
            Some(share) => {
                balancer.apply_speed_share(peer, &share, now);
                applied += 1;
            }
            None => {
                warn!("event=speed_notice_unreadable peer={peer} upstream={}", speed.upstream);
            }
        }
    }
    drop(balancer);
    shared.metrics.add("speed_reports_received_total", applied);
}

fn speed_message(share: &SpeedShare) -> UpstreamSpeed {
    UpstreamSpeed {
        upstream: share.upstream.to_string(),
        started_ms: share.started_ms,
        work_us: u64::try_from(share.work.as_micros()).unwrap_or(u64::MAX),
        weight: share.weight as f32,
        knee: share.knee as f32,
        age_ms: age_millis(share.age),
        load: share.load.map(|(occupancy, age)| StatedOccupancy {
            running: occupancy.running,
            waiting: occupancy.waiting,
            slots: occupancy.slots,
            slowdown_percent: occupancy.slowdown_percent,
            age_ms: age_millis(age),
        }),
    }
}

/// Decodes a reported speed; `None` if its weight or its knee is not a number.
fn speed_share(speed: &UpstreamSpeed) -> Option<SpeedShare> {
    if !speed.weight.is_finite() || !speed.knee.is_finite() {
        return None;
    }
    Some(SpeedShare {
        upstream: speed.upstream.as_str().into(),
        started_ms: speed.started_ms,
        work: Duration::from_micros(speed.work_us),
        weight: speed.weight.max(0.0).into(),
        knee: speed.knee.into(),
        load: speed.load.map(|load| {
            let occupancy = UpstreamOccupancy {
                running: load.running,
                waiting: load.waiting,
                slots: load.slots,
                slowdown_percent: load.slowdown_percent,
            };
            (occupancy, Duration::from_millis(load.age_ms.into()))
        }),
        age: Duration::from_millis(speed.age_ms.into()),
    })
}

impl RequestContext {
    /// True if capacity is learned at the service of the request.
    fn learns_speed(&self) -> bool {
        self.shared.settings.learned_capacity
            && self.shared.contention().has_shared_hosts(&self.service)
    }

    /// Records a response as evidence of the speed of a plain upstream. `is_served` is true for a complete response with
    /// content.
    pub(super) fn record_speed(
        &self,
        upstream: &UpstreamRecord,
        meta: &ResponseMeta,
        sent_at: Instant,
        is_served: bool,
    ) {
        if !meta.signed || !self.learns_speed() {
            return;
        }
        let now = self.shared.clock.now();
        let sample = ResponseSample {
            elapsed: now.saturating_duration_since(sent_at),
            occupancy: meta.load,
            slots: upstream.slots,
            is_served,
        };
        self.shared.balancer().record_response(&upstream.upstream, sample, now);
        let result = if is_served { "served" } else { "not_served" };
        self.shared.metrics.count(&format!("speed_samples_total{{result=\"{result}\"}}"));
    }

    /// Begins the check of the forecast for a stream; `None` if the speed of the upstream is not learned.
    pub(super) fn begin_forecast_check(
        &self,
        chosen: &ChosenUpstream,
        sent_at: Instant,
    ) -> Option<ForecastCheck> {
        let upstream = &chosen.record.upstream;
        self.learns_speed()
            .then(|| self.shared.balancer().begin_forecast_check(upstream, chosen.delay, sent_at))
            .flatten()
    }

    /// Records the first event of a stream.
    pub(super) fn record_first_event(&self, upstream: &UpstreamId, check: ForecastCheck) {
        let now = self.shared.clock.now();
        self.shared.balancer().record_first_event(upstream, check, now);
        self.shared.metrics.count("speed_samples_total{result=\"first_event\"}");
    }
}
