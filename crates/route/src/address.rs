//! Selection of the entries that a team's callers should use.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use base::rank_by_weight;
use config::{FleetConfig, HostList, HostRecord, HostState};
use rand::{Rng, RngExt, seq::SliceRandom};

/// Maximum number of addresses in one response.
const MAX_ADDRESSES: usize = 4;

/// Maximum number of addresses of the first-ranked data centre at the head of a response. Addresses of other data
/// centres follow them, in case that one fails.
const MAX_PREFERRED_ADDRESSES: usize = 2;

/// Minimum time to live as a fraction of the maximum. The jitter keeps callers that asked together from asking again
/// at the same time.
const MIN_TTL_FRACTION: f64 = 0.75;

/// Response to an address query: the entries that a caller should use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AddressResponse {
    /// Addresses for HTTP requests, best first. Empty only if no entry is in service.
    pub addresses: Vec<SocketAddr>,
    /// Time to live, after which the caller should ask again.
    pub ttl: Duration,
}

/// Resolves the entries for the callers of a team.
///
/// Data centres are ranked by a hash of the team. The entries within a data centre are shuffled, so that the callers of
/// a large team spread over all of them. Never included are entries that are leaving, entries in data centres that are
/// out of service, and `stopping`, the id of the responding entry while it performs a planned stop. `max_ttl` is the
/// maximum time to live.
#[must_use]
pub fn resolve_addresses(
    config: &FleetConfig,
    hosts: &HostList,
    stopping: Option<&str>,
    team: &str,
    max_ttl: Duration,
    rng: &mut impl Rng,
) -> AddressResponse {
    let mut groups: BTreeMap<&str, Vec<&HostRecord>> = BTreeMap::new();
    for record in hosts.entries() {
        let usable = record.state == HostState::Live
            && !config.is_out_of_service(&record.data_centre)
            && Some(record.id.as_str()) != stopping;
        if usable {
            groups.entry(&record.data_centre).or_default().push(record);
        }
    }
    let ranked = rank_by_weight(team.as_bytes(), groups.keys().copied());
    let mut addresses = Vec::new();
    let mut further = Vec::new();
    for (rank, data_centre) in ranked.iter().enumerate() {
        let Some(group) = groups.get_mut(data_centre) else { continue };
        group.shuffle(rng);
        let share = if rank == 0 { MAX_PREFERRED_ADDRESSES } else { 1 };
        let mut group = group.iter().filter_map(|record| record.http);
        addresses.extend(group.by_ref().take(share));
        further.extend(group);
    }
    addresses.extend(further);
    addresses.truncate(MAX_ADDRESSES);
    AddressResponse { addresses, ttl: max_ttl.mul_f64(rng.random_range(MIN_TTL_FRACTION..=1.0)) }
}
