//! Answers to callers that ask which entries to use.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use base::rank_by_weight;
use config::{FleetConfig, HostList, HostRecord, HostState};
use rand::{Rng, RngExt, seq::SliceRandom};

/// Addresses in one answer at most.
const MAX_ADDRESSES: usize = 4;

/// Addresses of the first data centre in an answer; the others are for the case that this data centre fails.
const MAX_HOME_ADDRESSES: usize = 2;

/// Shortest time to live as a fraction of the longest; callers that asked together come back apart.
const MIN_TTL_FRACTION: f64 = 0.75;

/// Which entries a caller should use, the best first.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AddressAnswer {
    /// Addresses for HTTP requests; empty only if no entry is in service.
    pub addresses: Vec<SocketAddr>,
    /// Time to live.
    pub ttl: Duration,
}

/// Answers an address query of a team.
///
/// The team's hash ranks the data centres, and within a data centre the entries are shuffled, so that the callers of a
/// large team spread over all its entries. Entries that leave, and those of data centres that are out, are never named;
/// nor is `stopping`, the id of the answering entry during its planned stop. `max_ttl` is the longest time to live.
#[must_use]
pub fn answer_addresses(
    config: &FleetConfig,
    hosts: &HostList,
    stopping: Option<&str>,
    team: &str,
    max_ttl: Duration,
    rng: &mut impl Rng,
) -> AddressAnswer {
    let mut groups: BTreeMap<&str, Vec<&HostRecord>> = BTreeMap::new();
    for record in hosts.entries() {
        let usable = record.state == HostState::Live
            && !config.is_out(&record.data_centre)
            && Some(record.id.as_str()) != stopping;
        if usable {
            groups.entry(&record.data_centre).or_default().push(record);
        }
    }
    let ranked = rank_by_weight(team.as_bytes(), groups.keys().copied());
    let mut addresses = Vec::new();
    let mut spare = Vec::new();
    for (rank, data_centre) in ranked.iter().enumerate() {
        let Some(group) = groups.get_mut(data_centre) else { continue };
        group.shuffle(rng);
        let share = if rank == 0 { MAX_HOME_ADDRESSES } else { 1 };
        let mut group = group.iter().filter_map(|record| record.http);
        addresses.extend(group.by_ref().take(share));
        spare.extend(group);
    }
    addresses.extend(spare);
    addresses.truncate(MAX_ADDRESSES);
    AddressAnswer { addresses, ttl: max_ttl.mul_f64(rng.random_range(MIN_TTL_FRACTION..=1.0)) }
}
