//! A host's partial view for transfers: its bounded set of peers, and who fetches which chunk for a region.
//!
//! Both follow from the host list alone, so hosts agree without a coordinator, and disagree only as far as their lists
//! do. Disagreement costs a duplicate fetch or a delayed one, never correctness.

use std::sync::Arc;

use base::{ContentDigest, DataCentreId, HostId, RegionId, rendezvous_weight};

/// Subject of the ring order of hosts.
const RING_SUBJECT: &[u8] = b"weights ring v1";
/// Peers of the own data centre at most, and as many again from the whole region. Twelve peers keep the exchange of
/// holdings at about one message per peer and chunk.
const MAX_RING_PEERS: usize = 6;

/// A host that takes part in transfers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerRecord {
    /// Id of the host.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Region of the data centre.
    pub region: RegionId,
}

/// What one host knows of the others.
#[derive(Clone, Debug)]
pub struct FetchView {
    own: PeerRecord,
    hosts: Arc<[PeerRecord]>,
    peers: Vec<usize>,
}

/// Hosts of one region with their hashes for one manifest.
struct RegionHosts<'a> {
    id: &'a RegionId,
    weight: u64,
    hosts: Vec<(usize, u64)>,
}

/// Who fetches one chunk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ChunkRank {
    /// Rank of the own host among the fetchers of its region; 0 is the designated fetcher.
    pub own_rank: u32,
    /// True if the own region draws the chunk from the origin rather than from another region.
    pub is_home: bool,
    /// Designated fetcher of the home region, if that is another region; an index into the hosts of the view.
    pub home_fetcher: Option<usize>,
}

impl FetchView {
    /// Creates the view of `own` from the hosts that hold or want the same weights. `own` may be absent from `hosts`.
    #[must_use]
    pub fn new(own: PeerRecord, hosts: Arc<[PeerRecord]>) -> Self {
        let peers = choose_peers(&own, &hosts);
        Self { own, hosts, peers }
    }

    /// The own host.
    #[must_use]
    pub fn own(&self) -> &PeerRecord {
        &self.own
    }

    /// The bounded set of peers, those of the own data centre first.
    pub fn peers(&self) -> impl Iterator<Item = &PeerRecord> {
        self.peers.iter().map(|index| &self.hosts[*index])
    }

    pub(crate) fn host(&self, index: usize) -> &PeerRecord {
        &self.hosts[index]
    }

    pub(crate) fn is_abroad(&self, host: &str) -> bool {
        let record = self.hosts.iter().find(|record| record.host == host);
        record.is_some_and(|record| record.region != self.own.region)
    }

    /// Ranks the fetchers of every chunk.
    ///
    /// Each host is hashed once for the manifest, and that hash is mixed with the index of the chunk: hashing each pair
    /// of host and chunk would take a second of processor time for 500 hosts and 2,000 chunks.
    pub(crate) fn chunk_ranks(&self, manifest: ContentDigest, chunks: u32) -> Vec<ChunkRank> {
        let subject = manifest.as_bytes();
        let own_hash = rendezvous_weight(subject, &self.own.host);
        let mut regions: Vec<RegionHosts<'_>> = Vec::new();
        for (index, record) in self.hosts.iter().enumerate() {
            let hash = rendezvous_weight(subject, &record.host);
            match regions.iter_mut().find(|region| *region.id == record.region) {
                Some(region) => region.hosts.push((index, hash)),
                None => regions.push(RegionHosts {
                    id: &record.region,
                    weight: rendezvous_weight(subject, &record.region),
                    hosts: vec![(index, hash)],
                }),
            }
        }
        regions
            .sort_unstable_by(|left, right| (left.weight, left.id).cmp(&(right.weight, right.id)));
        let own_region = regions.iter().position(|region| *region.id == self.own.region);
        (0..chunks)
            .map(|chunk| {
                let own_weight = mix(own_hash, chunk);
                let rivals = own_region.map_or(&[][..], |region| &regions[region].hosts[..]);
                let ahead = rivals.iter().filter(|(index, hash)| {
                    mix(*hash, chunk) > own_weight && self.hosts[*index].host != self.own.host
                });
                let own_rank = u32::try_from(ahead.count()).unwrap_or(u32::MAX);
                let home = (!regions.is_empty()).then(|| chunk as usize % regions.len());
                let is_home = home.is_none() || home == own_region;
                // Only the designated fetcher and its first substitutes look into the home region.
                let looks_abroad = !is_home && own_rank < 3;
                let home_fetcher = home.filter(|_| looks_abroad).and_then(|home| {
                    let hosts = regions[home].hosts.iter();
                    hosts.max_by_key(|(_, hash)| mix(*hash, chunk)).map(|(index, _)| *index)
                });
                ChunkRank { own_rank, is_home, home_fetcher }
            })
            .collect()
    }

    /// Designated fetchers of a chunk in the other regions.
    pub(crate) fn fetchers_abroad(&self, manifest: ContentDigest, chunk: u32) -> Vec<HostId> {
        let subject = manifest.as_bytes();
        let mut best: Vec<(&PeerRecord, u64)> = Vec::new();
        for record in self.hosts.iter().filter(|record| record.region != self.own.region) {
            let weight = mix(rendezvous_weight(subject, &record.host), chunk);
            match best.iter_mut().find(|(other, _)| other.region == record.region) {
                Some(place) if place.1 < weight => *place = (record, weight),
                Some(_) => {}
                None => best.push((record, weight)),
            }
        }
        best.into_iter().map(|(record, _)| record.host.clone()).collect()
    }

    /// Rank of the own host among the hosts of its region that fetch the manifest itself from the origin.
    #[must_use]
    pub fn manifest_rank(&self, manifest: ContentDigest) -> usize {
        let subject = manifest.as_bytes();
        let own_weight = rendezvous_weight(subject, &self.own.host);
        let in_region = self.hosts.iter().filter(|record| record.region == self.own.region);
        in_region
            .filter(|record| record.host != self.own.host)
            .filter(|record| rendezvous_weight(subject, &record.host) > own_weight)
            .count()
    }
}

/// Finaliser of splitmix64 over a host's hash and the index of a chunk.
fn mix(hash: u64, chunk: u32) -> u64 {
    let mut value = hash ^ u64::from(chunk).wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Chooses peers at geometric distances on a ring of hosts, first in the own data centre, then in the region.
///
/// Every host then is the peer of as many hosts as it has peers itself, which spreads uploads evenly, and any chunk
/// reaches 500 hosts in about five hops. Distances of 1, 2, 4 and 8 only would take 25 hops around such a ring.
fn choose_peers(own: &PeerRecord, hosts: &[PeerRecord]) -> Vec<usize> {
    let mut ring: Vec<(u64, Option<usize>)> = Vec::new();
    let own_position = (rendezvous_weight(RING_SUBJECT, &own.host), None);
    ring.push(own_position);
    for (index, record) in hosts.iter().enumerate() {
        if record.region == own.region && record.host != own.host {
            ring.push((rendezvous_weight(RING_SUBJECT, &record.host), Some(index)));
        }
    }
    ring.sort_unstable();
    let near: Vec<_> = ring
        .iter()
        .copied()
        .filter(|(_, index)| index.is_none_or(|index| hosts[index].data_centre == own.data_centre))
        .collect();
    let mut peers = Vec::new();
    add_ring_peers(&near, own_position, &mut peers);
    add_ring_peers(&ring, own_position, &mut peers);
    peers
}

fn add_ring_peers(
    ring: &[(u64, Option<usize>)],
    own: (u64, Option<usize>),
    peers: &mut Vec<usize>,
) {
    let Some(position) = ring.iter().position(|place| *place == own) else { return };
    let length = ring.len();
    let limit = peers.len() + MAX_RING_PEERS;
    for distance in ring_distances(length) {
        for place in [position + distance, position + length - distance] {
            if let Some(index) = ring[place % length].1
                && peers.len() < limit
                && !peers.contains(&index)
            {
                peers.push(index);
            }
        }
    }
}

/// All distances of a small ring, otherwise as many as there are pairs of peers, spread geometrically.
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a ring has far fewer than 2^52 hosts"
)]
fn ring_distances(length: usize) -> Vec<usize> {
    let pairs = MAX_RING_PEERS / 2;
    let farthest = length / 2;
    if farthest <= pairs {
        return (1..=farthest).collect();
    }
    let mut last = 0;
    (0..pairs)
        .map(|pair| {
            let exponent = (pair as f64 + 0.5) / pairs as f64;
            let distance = (farthest as f64).powf(exponent).round() as usize;
            last = distance.max(last + 1).min(farthest);
            last
        })
        .collect()
}
