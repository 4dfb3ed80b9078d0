//! Measures how long a change of a data centre takes to apply at every entry, as seen in their address responses.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use hyper::Method;
use serde::Deserialize;

use crate::{
    error::StandinError,
    fleet::layout::FleetLayout,
    http_client::{HttpClient, HttpRequest},
};

/// Interval between two address requests to one entry.
const PROBE_INTERVAL: Duration = Duration::from_millis(25);

#[derive(Deserialize)]
struct AddressResponse {
    addresses: Vec<SocketAddr>,
}

/// Time from `published_at` until the address responses of every entry show the data centre out of service, or back.
///
/// # Errors
/// Fails after `limit`.
pub async fn wait_until_applied(
    layout: &FleetLayout,
    data_centre: &str,
    out: bool,
    published_at: Instant,
    limit: Duration,
) -> Result<Duration, StandinError> {
    let client = HttpClient::new();
    let in_data_centre = layout.entries.iter().filter(|plan| plan.data_centre == data_centre);
    let hosts: Vec<_> = in_data_centre.map(|plan| plan.http).collect();
    let probes = layout.entries.iter().map(|plan| {
        let (client, hosts) = (&client, &hosts);
        async move {
            while !applied(client, plan.http, hosts, out).await {
                tokio::time::sleep(PROBE_INTERVAL).await;
            }
        }
    });
    let all = futures_util::future::join_all(probes);
    tokio::time::timeout(limit, all).await.map_err(|_| StandinError::NotReached {
        what: format!("the change of {data_centre} at every entry"),
        seconds: limit.as_secs(),
    })?;
    Ok(published_at.elapsed())
}

async fn applied(client: &HttpClient, entry: SocketAddr, hosts: &[SocketAddr], out: bool) -> bool {
    let request = HttpRequest::new(Method::GET, entry, "/v1/addresses?team=team-01")
        .with_header("x-team", "team-01");
    let Ok(response) = client.send(request).await else { return false };
    let Ok(response) = response.json::<AddressResponse>() else { return false };
    let is_listed = |address: &SocketAddr| response.addresses.contains(address);
    // A response lists only a few entries, but at least one of each data centre that has an entry in service.
    hosts.iter().any(is_listed) != out
}
