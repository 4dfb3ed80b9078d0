//! Which agents tell one another about their chunks.
//!
//! Load pattern: hundreds of agents receive a version at the same time. If each told all others after each chunk, their
//! processors would be busy with notices for seconds. Each agent therefore tells a number of agents of its region that
//! grows with the logarithm of their number, and chunks cross the border of a region through a few agents that are
//! determined by hash.

use std::{cmp::Reverse, collections::HashSet, net::SocketAddr};

use base::{DataCentreId, rendezvous_weight};

use crate::{
    fetch::SwarmPeer,
    manifest::{ChunkIndex, WeightsId},
};

/// Maximum number of agents of a fleet, or of a region, that all tell one another. Notices of that many agents cost less
/// than a hundredth of a core.
const MAX_MESH: usize = 24;
/// Number of agents of each region that may fetch a chunk from another region and are told by an agent that has fetched
/// it from the origin: the first in the order, and two that take over from it.
pub(crate) const IMPORTERS_PER_REGION: usize = 3;

/// Minimum number of other agents in the origin's data centre. With fewer, agents of all data centres fetch from the
/// origin.
const MIN_LOCAL_FETCHERS: usize = 2;
/// Minimum number of agents that fetch chunks from the origin in normal operation. More of them would share the origin's
/// link, so that each chunk and each manifest would take longer to arrive.
const MIN_ORIGIN_FETCHERS: usize = 4;
/// Number of such agents for each further region. Each of them sends its chunks to all other regions, and fewer could
/// not forward the chunks as fast as they arrive.
const ORIGIN_FETCHERS_PER_REGION: usize = 2;

/// Agents that `own` tells about its chunks. The relation is symmetric, and connects all agents of a region over a number
/// of steps that grows with the logarithm of their number.
#[must_use]
pub fn choose_neighbours(own: &SwarmPeer, peers: &[SwarmPeer]) -> Vec<SocketAddr> {
    if peers.len() <= MAX_MESH {
        return peers.iter().map(|peer| peer.address).collect();
    }
    let local = || peers.iter().filter(|peer| peer.region == own.region);
    if local().count() <= MAX_MESH {
        return local().map(|peer| peer.address).collect();
    }
    let position =
        |address: SocketAddr| (rendezvous_weight(b"neighbours", &address.to_string()), address);
    let mut ring: Vec<_> = local().chain([own]).map(|peer| position(peer.address)).collect();
    ring.sort_unstable();
    let own_position = position(own.address);
    let own_index = ring.iter().position(|other| *other == own_position).unwrap_or_default();
    let mut neighbours = Vec::new();
    let mut distance = 1;
    while distance <= ring.len() / 2 {
        for step in [distance, ring.len() - distance] {
            neighbours.push(ring[(own_index + step) % ring.len()].1);
        }
        distance *= 2;
    }
    neighbours.sort_unstable();
    neighbours.dedup();
    neighbours
}

/// Agents of other regions that fetch chunk `index` across the border, in the order in which they take over from each
/// other in their region. `subject` names the chunk.
pub(crate) fn importers(own: &SwarmPeer, peers: &[SwarmPeer], subject: &str) -> Vec<SocketAddr> {
    let mut remote: Vec<(&str, u64, SocketAddr)> = peers
        .iter()
        .filter(|peer| peer.region != own.region)
        .map(|peer| {
            let weight = rendezvous_weight(subject.as_bytes(), &peer.address.to_string());
            (peer.region.as_str(), weight, peer.address)
        })
        .collect();
    remote.sort_unstable_by(|left, right| (left.0, right.1).cmp(&(right.0, left.1)));
    remote
        .chunk_by(|left, right| left.0 == right.0)
        .flat_map(|region| region.iter().take(IMPORTERS_PER_REGION))
        .map(|(_, _, address)| *address)
        .collect()
}

/// Name of a chunk, by which agents are ordered.
pub(crate) fn chunk_subject(model: &str, version: u64, index: ChunkIndex) -> String {
    format!("{model}/{version}/{index}")
}

/// Order in which the agents call the origin, and the number of agents at its head that fetch from the origin in normal
/// operation. Agents in the origin's data centre come first.
pub(crate) fn origin_order(
    weights: &WeightsId,
    own: &SwarmPeer,
    peers: &[SwarmPeer],
    origin: Option<&DataCentreId>,
) -> (Vec<SocketAddr>, usize) {
    let is_near = |peer: &SwarmPeer| origin.is_none_or(|origin| peer.data_centre == *origin);
    let near = peers.iter().filter(|peer| is_near(peer)).count();
    let is_preferred = |peer: &SwarmPeer| near < MIN_LOCAL_FETCHERS || is_near(peer);
    let subject = format!("{}/{}", weights.model, weights.version);
    let mut order: Vec<(bool, Reverse<u64>, SocketAddr)> = peers
        .iter()
        .chain([own])
        .map(|peer| {
            let weight = rendezvous_weight(subject.as_bytes(), &peer.address.to_string());
            (!is_preferred(peer), Reverse(weight), peer.address)
        })
        .collect();
    order.sort_unstable();
    let regions: HashSet<_> = peers.iter().map(|peer| &peer.region).collect();
    let further_regions = regions.iter().filter(|region| ***region != own.region).count();
    let preferred = order.iter().filter(|(is_far, ..)| !is_far).count();
    let fetchers =
        MIN_ORIGIN_FETCHERS.max(further_regions * ORIGIN_FETCHERS_PER_REGION).min(preferred.max(1));
    (order.into_iter().map(|(.., address)| address).collect(), fetchers)
}
