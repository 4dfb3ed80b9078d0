//! Checks of a request before it is placed: body, route, key.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use base::ServiceId;
use bytes::Bytes;
use fleet::{FleetView, RouteMatch, RouteRecord, TeamRecord};
use http_body_util::{BodyExt, Limited};
use hyper::{
    StatusCode,
    body::{Body, Incoming},
};
use rand::RngExt;

use super::{guards::InFlight, shared::EntryShared};
use crate::port::CallFacts;

/// Body limit before a configuration is known.
const DEFAULT_BODY_BYTES: usize = 4 << 20;
/// Time to receive a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Age of the knowledge up to which an unknown route or key is refused for good: the longest time between two
/// confirmations of the store. Beyond it the configuration may have changed, so the caller is told to come back.
const FRESH_KNOWLEDGE: Duration = Duration::from_millis(3_500);

/// Reads a body within the limits; an error is the status for the caller.
pub(super) async fn read_body(
    shared: &EntryShared,
    in_flight: &mut InFlight,
    body: Incoming,
) -> Result<Bytes, StatusCode> {
    let limit =
        shared.view.load().limits().map_or(DEFAULT_BODY_BYTES, |limits| limits.max_body_bytes);
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > limit as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let collected = tokio::time::timeout(BODY_TIMEOUT, Limited::new(body, limit).collect()).await;
    let body = match collected {
        Ok(Ok(collected)) => collected.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        Ok(Err(_)) => return Err(StatusCode::BAD_REQUEST),
        Err(_) => return Err(StatusCode::REQUEST_TIMEOUT),
    };
    if in_flight.reserve(body.len()) { Ok(body) } else { Err(StatusCode::SERVICE_UNAVAILABLE) }
}

/// Route of a request and the team that holds its key.
pub(super) type Admitted = (Arc<RouteRecord>, Option<Arc<TeamRecord>>);

/// Finds route and team. While this entry's knowledge may be old, nothing is refused for good.
pub(super) fn admit(
    shared: &EntryShared,
    view: &FleetView,
    facts: &CallFacts,
    path: &str,
) -> Result<Admitted, (StatusCode, &'static str)> {
    if shared.refusing.load(Ordering::Relaxed) {
        return Err((StatusCode::SERVICE_UNAVAILABLE, "stopping"));
    }
    // Only what cannot be undone depends on the age of the knowledge, so the other requests do not read the clocks.
    let unless_stale = |status, cause| {
        let is_fresh = !shared.is_stale_after_pause()
            && shared.knowledge_age().is_some_and(|age| age <= FRESH_KNOWLEDGE);
        if is_fresh {
            (status, cause)
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, "stale_knowledge")
        }
    };
    let route = match view.route(&facts.host, path) {
        RouteMatch::Found(route) => route,
        RouteMatch::Unknown => return Err(unless_stale(StatusCode::NOT_FOUND, "no_route")),
        RouteMatch::NoConfig => return Err((StatusCode::SERVICE_UNAVAILABLE, "no_config")),
    };
    if !route.repeat.is_repeatable() && shared.is_stale_after_pause() {
        return Err((StatusCode::SERVICE_UNAVAILABLE, "stale_after_pause"));
    }
    if !view.needs_keys() {
        return Ok((route, None));
    }
    let team = facts.key.as_ref().and_then(|key| view.team(key)).cloned();
    if team.is_none() && !route.public {
        return Err(unless_stale(StatusCode::UNAUTHORIZED, "unknown_key"));
    }
    Ok((route, team))
}

/// Draws a service by the shares of the route.
pub(super) fn pick_service(route: &RouteRecord) -> ServiceId {
    let total: u32 = route.backends.iter().map(|backend| backend.weight).sum();
    let mut drawn = if total == 0 { 0 } else { rand::rng().random_range(0..total) };
    for backend in &route.backends {
        if drawn < backend.weight {
            return backend.service.clone();
        }
        drawn -= backend.weight;
    }
    route.backends.first().map(|backend| backend.service.clone()).unwrap_or_default()
}
