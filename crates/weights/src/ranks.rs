//! A host's view of a transfer: a bounded set of peers, and the host that fetches each chunk on behalf of a region.
//!
//! Both are computed from the host list alone, so hosts with the same list agree without a coordinator. While lists
//! differ, a chunk may be fetched twice or late, but never incorrectly.

use std::sync::Arc;

use base::{ContentDigest, DataCentreId, HostId, RegionId, rendezvous_weight};

/// Hash input that determines the order of hosts on the ring.
const RING_SUBJECT: &[u8] = b"weights ring v1";
/// Maximum number of peers in the host's own data centre, and again in its region. With these 12 peers, hosts exchange
/// about one message per peer and chunk to find out which chunks their peers hold.
const MAX_RING_PEERS: usize = 6;

/// A host that takes part in transfers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerRecord {
    /// Id of the host.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Region that contains the data centre.
    pub region: RegionId,
}

/// The hosts that hold or want the same weights, and the peers chosen among them.
#[derive(Clone, Debug)]
pub struct FetchView {
    own: PeerRecord,
    hosts: Arc<[PeerRecord]>,
    peers: Vec<usize>,
}

/// Hosts of one region, as indices into the host list with the hash of each for one manifest.
struct RegionHosts<'a> {
    id: &'a RegionId,
    weight: u64,
    hosts: Vec<(usize, u64)>,
}

/// Role of this host in fetching one chunk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ChunkRank {
    /// Rank of this host among the fetchers of its region; 0 is the designated fetcher, the others are substitutes.
    pub own_rank: u32,
    /// True if this host's region is the home region of the chunk, which fetches it from the origin. Other regions
    /// fetch it from the home region.
    pub is_home: bool,
    /// Designated fetcher of the home region, as an index into the hosts of the view. `None` if this host's region is
    /// the home region, or if this host ranks too low to contact another region.
    pub home_fetcher: Option<usize>,
}

impl FetchView {
    /// Creates the view of `own` from the hosts that hold or want the same weights. `own` may be absent from `hosts`.
    #[must_use]
    pub fn new(own: PeerRecord, hosts: Arc<[PeerRecord]>) -> Self {
        let peers = choose_peers(&own, &hosts);
        Self { own, hosts, peers }
    }

    /// Record of this host.
    #[must_use]
    pub fn own(&self) -> &PeerRecord {
        &self.own
    }

    /// Peers of this host, those in its own data centre first.
    pub fn peers(&self) -> impl Iterator<Item = &PeerRecord> {
        self.peers.iter().map(|index| &self.hosts[*index])
    }

    pub(crate) fn host(&self, index: usize) -> &PeerRecord {
        &self.hosts[index]
    }

    pub(crate) fn is_in_other_region(&self, host: &str) -> bool {
        let record = self.hosts.iter().find(|record| record.host == host);
        record.is_some_and(|record| record.region != self.own.region)
    }

    /// Computes the rank of this host for each chunk.
    ///
    /// Each host is hashed once per manifest, and the hash is then mixed with the chunk index. Hashing each pair of
    /// host and chunk would take one second of CPU time for 500 hosts and 2,000 chunks.
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
                let candidates = own_region.map_or(&[][..], |region| &regions[region].hosts[..]);
                let higher_ranked = candidates.iter().filter(|(index, hash)| {
                    mix(*hash, chunk) > own_weight && self.hosts[*index].host != self.own.host
                });
                let own_rank = u32::try_from(higher_ranked.count()).unwrap_or(u32::MAX);
                let home = (!regions.is_empty()).then(|| chunk as usize % regions.len());
                let is_home = home.is_none() || home == own_region;
                // Only the designated fetcher and its first two substitutes contact the home region.
                let may_use_home_region = !is_home && own_rank < 3;
                let home_fetcher = home.filter(|_| may_use_home_region).and_then(|home| {
                    let hosts = regions[home].hosts.iter();
                    hosts.max_by_key(|(_, hash)| mix(*hash, chunk)).map(|(index, _)| *index)
                });
                ChunkRank { own_rank, is_home, home_fetcher }
            })
            .collect()
    }

    /// Designated fetcher of a chunk in each of the other regions.
    pub(crate) fn fetchers_in_other_regions(
        &self,
        manifest: ContentDigest,
        chunk: u32,
    ) -> Vec<HostId> {
        let subject = manifest.as_bytes();
        let mut best: Vec<(&PeerRecord, u64)> = Vec::new();
        for record in self.hosts.iter().filter(|record| record.region != self.own.region) {
            let weight = mix(rendezvous_weight(subject, &record.host), chunk);
            match best.iter_mut().find(|(other, _)| other.region == record.region) {
                Some(slot) if slot.1 < weight => *slot = (record, weight),
                Some(_) => {}
                None => best.push((record, weight)),
            }
        }
        best.into_iter().map(|(record, _)| record.host.clone()).collect()
    }

    /// Rank of this host among the hosts of its region for fetching the manifest from the origin; 0 comes first.
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

/// Mixes a host's hash with a chunk index, using the finalizer of splitmix64.
fn mix(hash: u64, chunk: u32) -> u64 {
    let mut value = hash ^ u64::from(chunk).wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Chooses peers at geometrically increasing distances on a ring of hosts, first in this host's data centre, then in
/// its region.
///
/// Each host is thus the peer of as many hosts as it has peers, which spreads uploads evenly, and a chunk reaches 500
/// hosts in about five hops. With the distances 1, 2, 4 and 8 alone, it would take 25 hops on such a ring.
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
    let in_data_centre: Vec<_> = ring
        .iter()
        .copied()
        .filter(|(_, index)| index.is_none_or(|index| hosts[index].data_centre == own.data_centre))
        .collect();
    let mut peers = Vec::new();
    add_ring_peers(&in_data_centre, own_position, &mut peers);
    add_ring_peers(&ring, own_position, &mut peers);
    peers
}

fn add_ring_peers(
    ring: &[(u64, Option<usize>)],
    own: (u64, Option<usize>),
    peers: &mut Vec<usize>,
) {
    let Some(position) = ring.iter().position(|slot| *slot == own) else { return };
    let length = ring.len();
    let limit = peers.len() + MAX_RING_PEERS;
    for distance in ring_distances(length) {
        for slot in [position + distance, position + length - distance] {
            if let Some(index) = ring[slot % length].1
                && peers.len() < limit
                && !peers.contains(&index)
            {
                peers.push(index);
            }
        }
    }
}

/// Ring distances at which peers are chosen: every distance on a small ring, otherwise one per pair of peers, spaced
/// geometrically.
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
