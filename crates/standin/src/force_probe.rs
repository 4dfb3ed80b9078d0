//! Measures when a change of a data centre is in force, by what entries answer to callers.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use hyper::Method;
use serde::Deserialize;

use crate::{
    error::StandinError,
    fleet::layout::FleetLayout,
    http_client::{HttpCall, HttpClient},
};

/// Interval between two address queries to one entry.
const PROBE_INTERVAL: Duration = Duration::from_millis(25);

#[derive(Deserialize)]
struct AddressAnswer {
    addresses: Vec<SocketAddr>,
}

/// Time from `published_at` until the address answers of every entry show the data centre out, or back.
///
/// # Errors
/// Fails after `limit`.
pub async fn time_in_force(
    layout: &FleetLayout,
    data_centre: &str,
    out: bool,
    published_at: Instant,
    limit: Duration,
) -> Result<Duration, StandinError> {
    let client = HttpClient::new();
    let in_data_centre = layout.entries.iter().filter(|plan| plan.data_centre == data_centre);
    let moved: Vec<_> = in_data_centre.map(|plan| plan.http).collect();
    let probes = layout.entries.iter().map(|plan| {
        let (client, moved) = (&client, &moved);
        async move {
            while !shows(client, plan.http, moved, out).await {
                tokio::time::sleep(PROBE_INTERVAL).await;
            }
        }
    });
    let all = futures_util::future::join_all(probes);
    tokio::time::timeout(limit, all).await.map_err(|_| StandinError::NotReached {
        what: format!("change of {data_centre} at every entry"),
        seconds: limit.as_secs(),
    })?;
    Ok(published_at.elapsed())
}

async fn shows(client: &HttpClient, entry: SocketAddr, moved: &[SocketAddr], out: bool) -> bool {
    let call = HttpCall::new(Method::GET, entry, "/v1/addresses?team=team-01")
        .with_header("x-team", "team-01");
    let Ok(answer) = client.send(call).await else { return false };
    let Ok(answer) = answer.json::<AddressAnswer>() else { return false };
    let names = |address: &SocketAddr| answer.addresses.contains(address);
    // An answer names a few entries only, but at least one of each data centre that has an entry in service.
    moved.iter().any(names) != out
}
