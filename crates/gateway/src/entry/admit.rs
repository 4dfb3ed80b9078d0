//! Checks that precede the choice of an upstream: body, route and key.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::ServiceId;
use bytes::Bytes;
use fleet::{FleetView, RouteMatch, RouteRecord, TeamRecord};
use hyper::{
    StatusCode,
    body::{Body, Incoming},
};
use rand::RngExt;

use super::{
    held_body::{BodyError, HeldBody},
    shared::EntryShared,
};
use crate::port::RequestMeta;

/// Maximum body size until a configuration is known.
const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;
/// Timeout for receiving a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum timeout of a request, whatever the configuration states.
const MAX_REQUEST_TIMEOUT: Duration = Duration::from_secs(3_600);
/// Maximum age of the fleet state at which an unknown route or key is rejected permanently, or an unknown key ignored.
/// It covers the longest time between two confirmations by the store; beyond it the configuration may have changed, so
/// the caller is told to retry.
const MAX_FLEET_STATE_AGE: Duration = Duration::from_millis(3_500);
/// Temporary rejection of a request that a newer configuration may treat in another way.
const STALE_KNOWLEDGE: (StatusCode, &str) = (StatusCode::SERVICE_UNAVAILABLE, "stale_knowledge");

/// Reads a body within the limits; the error is the status to return to the caller. A body that is known not to fit into
/// memory is refused before it arrives.
pub(super) async fn read_body(shared: &EntryShared, body: Incoming) -> Result<Bytes, StatusCode> {
    let limit =
        shared.view.load().limits().map_or(DEFAULT_MAX_BODY_BYTES, |limits| limits.max_body_bytes);
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > limit {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    if !shared.request_bytes.has_room(announced) {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let collect = HeldBody::new(shared.request_bytes.clone(), limit).collect(body);
    let collected = tokio::time::timeout(BODY_TIMEOUT, collect).await;
    collected.unwrap_or(Err(BodyError::TimedOut)).map_err(|error| match error {
        BodyError::ConnectionLost => StatusCode::BAD_REQUEST,
        BodyError::MemoryLimit => StatusCode::SERVICE_UNAVAILABLE,
        BodyError::TimedOut => StatusCode::REQUEST_TIMEOUT,
        BodyError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
    })
}

/// Route of a request, and the team that owns its key.
pub(super) type Admitted = (Arc<RouteRecord>, Option<Arc<TeamRecord>>);

/// Finds route and team of a request that arrived at `started`. While the fleet state may be out of date, nothing is
/// rejected permanently.
pub(super) fn admit(
    shared: &EntryShared,
    view: &FleetView,
    meta: &RequestMeta,
    path: &str,
    started: Instant,
) -> Result<Admitted, (StatusCode, &'static str)> {
    if view.is_config_behind() {
        return Err((StatusCode::SERVICE_UNAVAILABLE, "config_behind"));
    }
    // The age is only evaluated for unknown routes and keys, which saves all other requests a read of the clock.
    let is_fresh = || {
        !shared.is_stale_after_pause()
            && shared.fleet_state_age().is_some_and(|age| age <= MAX_FLEET_STATE_AGE)
    };
    let unless_stale = |status, cause| if is_fresh() { (status, cause) } else { STALE_KNOWLEDGE };
    let route = match view.route(&meta.host, path) {
        RouteMatch::Found(route) => route,
        RouteMatch::Unknown => return Err(unless_stale(StatusCode::NOT_FOUND, "no_route")),
        RouteMatch::NoConfig => return Err((StatusCode::SERVICE_UNAVAILABLE, "no_config")),
    };
    if shared.is_leaving()
        && !ends_before_stop(shared, &route, request_deadline(meta, &route, started))
    {
        return Err((StatusCode::SERVICE_UNAVAILABLE, "stopping"));
    }
    if !route.repeat.is_retryable() && shared.is_stale_after_pause() {
        return Err((StatusCode::SERVICE_UNAVAILABLE, "stale_after_pause"));
    }
    if !view.needs_keys() {
        return Ok((route, None));
    }
    let team = meta.key.as_ref().and_then(|key| view.team(key)).cloned();
    if team.is_none() {
        if !route.public {
            return Err(unless_stale(StatusCode::UNAUTHORIZED, "unknown_key"));
        }
        // The key may belong to a team that is restricted to other regions.
        if meta.key.is_some() && !is_fresh() {
            return Err(STALE_KNOWLEDGE);
        }
    }
    Ok((route, team))
}

/// Time by which a request that arrived at `started` ends: the caller's deadline, or the timeout of the route if that is
/// earlier. A deadline too far in the future for the clock is treated as no deadline.
pub(super) fn request_deadline(
    meta: &RequestMeta,
    route: &RouteRecord,
    started: Instant,
) -> Instant {
    let route_deadline = started + route.timeout.min(MAX_REQUEST_TIMEOUT);
    let caller_deadline = meta.time_left.and_then(|left| started.checked_add(left));
    caller_deadline.map_or(route_deadline, |by| by.min(route_deadline))
}

/// True if a request of the route ends before the process does, which has been told to stop. Without recent requests of
/// the route, it may take until its deadline.
fn ends_before_stop(shared: &EntryShared, route: &RouteRecord, deadline: Instant) -> bool {
    let Some(stop_times) = shared.stop_times.get() else { return true };
    let now = shared.clock.now();
    let longest = shared.durations().longest(&route.name, now);
    stop_times.accepts(now, longest.unwrap_or(MAX_REQUEST_TIMEOUT), deadline)
}

/// Picks a backend service of the route at random, by weight.
pub(super) fn pick_service(route: &RouteRecord) -> ServiceId {
    let total: u64 = route.backends.iter().map(|backend| u64::from(backend.weight)).sum();
    let mut remaining = if total == 0 { 0 } else { rand::rng().random_range(0..total) };
    for backend in &route.backends {
        let weight = u64::from(backend.weight);
        if remaining < weight {
            return backend.service.clone();
        }
        remaining -= weight;
    }
    route.backends.first().map(|backend| backend.service.clone()).unwrap_or_default()
}
