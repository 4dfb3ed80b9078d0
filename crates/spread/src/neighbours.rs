//! Selection of the peers that a process exchanges digests with, and of the processes that read the platform's
//! services.
//!
//! Both are pure functions of the host list, and their numbers do not grow with the size of the fleet.

use std::{collections::BTreeMap, net::SocketAddr};

use base::{HostId, Revision, rank_by_weight, rendezvous_weight};
use config::{HostList, HostRecord, HostState};

/// Maximum number of active and standby readers in a data centre.
pub const MAX_READERS: usize = 4;
/// Number of revisions in a term, during which the same hosts read. Each change of readers costs a read of the host
/// list.
const REVISIONS_PER_TERM: u64 = 16;
/// Number of neighbours in the same data centre, in addition to the successor in the ring.
const SAME_DATA_CENTRE_LINKS: usize = 3;
/// Number of neighbours in other data centres, each in a different one.
const OTHER_DATA_CENTRE_LINKS: usize = 2;

/// A peer to exchange digests with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Neighbour {
    /// Id of the host that it runs on.
    pub host: HostId,
    /// Address to which messages for it are sent.
    pub peer: SocketAddr,
    /// True if it is in the same data centre.
    pub same_data_centre: bool,
}

/// Chooses the neighbours of the host `own`.
///
/// The successor in a ring per data centre guarantees that every process is a neighbour of some other process. The
/// pseudo-random links keep the diameter of the graph logarithmic. Over the links to other data centres, changes reach
/// data centres without a working reader.
#[must_use]
pub fn choose_neighbours(list: &HostList, own: &str, data_centre: &str) -> Vec<Neighbour> {
    let mut centres: BTreeMap<&str, Vec<&HostRecord>> = BTreeMap::new();
    let live = |record: &&HostRecord| record.state == HostState::Live && record.id != own;
    for record in list.hosts.iter().filter(live) {
        centres.entry(record.data_centre.as_str()).or_default().push(record);
    }
    let mut chosen: Vec<Neighbour> = Vec::new();
    if let Some(peers) = centres.remove(data_centre) {
        let successor = ring_successor(&peers, own, data_centre);
        let links = highest_ranked(&peers, own, SAME_DATA_CENTRE_LINKS);
        for record in successor.into_iter().chain(links) {
            add_unique(&mut chosen, record, true);
        }
    }
    let others = rank_by_weight(own.as_bytes(), centres.keys().copied());
    for centre in others.into_iter().take(OTHER_DATA_CENTRE_LINKS) {
        for record in highest_ranked(&centres[centre], own, 1) {
            add_unique(&mut chosen, record, false);
        }
    }
    chosen
}

fn add_unique(chosen: &mut Vec<Neighbour>, record: &HostRecord, same_data_centre: bool) {
    if chosen.iter().all(|held| held.host != record.id) {
        chosen.push(Neighbour { host: record.id.clone(), peer: record.peer, same_data_centre });
    }
}

fn ring_successor<'a>(
    peers: &[&'a HostRecord],
    own: &str,
    data_centre: &str,
) -> Option<&'a HostRecord> {
    let ring_position =
        |id: &str| (rendezvous_weight(data_centre.as_bytes(), id), HostId::from(id));
    let own_position = ring_position(own);
    // The next position after that of this host, or the first position if this host has the last one.
    peers.iter().copied().min_by_key(|record| {
        let ring_position = ring_position(&record.id);
        (ring_position < own_position, ring_position)
    })
}

fn highest_ranked<'a>(
    peers: &[&'a HostRecord],
    own: &str,
    count: usize,
) -> impl Iterator<Item = &'a HostRecord> + use<'a> {
    let mut ranked: Vec<_> = peers
        .iter()
        .map(|record| (rendezvous_weight(own.as_bytes(), &record.id), *record))
        .collect();
    ranked.sort_unstable_by(|left, right| (right.0, &right.1.id).cmp(&(left.0, &left.1.id)));
    ranked.into_iter().take(count).map(|(_, record)| record)
}

/// Returns the live hosts of a data centre that may read during a term, by rank.
///
/// A reader receives the full document, up to 1 MB, for each change. To spread this load, the role moves to other hosts
/// with each [`reader_term`].
#[must_use]
pub fn reader_ranking<'a>(list: &'a HostList, data_centre: &str, term: u64) -> Vec<&'a HostRecord> {
    let live: Vec<_> = list
        .hosts
        .iter()
        .filter(|record| record.state == HostState::Live && record.data_centre == data_centre)
        .collect();
    highest_ranked(&live, &format!("{data_centre}/{term}"), MAX_READERS).collect()
}

/// Returns the term that determines the readers while `revision` is in force.
#[must_use]
pub fn reader_term(revision: Revision) -> u64 {
    revision / REVISIONS_PER_TERM
}

/// Returns the rank of `own` among the readers of its data centre; `None` if it is not one of the first
/// [`MAX_READERS`].
#[must_use]
pub fn reader_rank(list: &HostList, own: &str, data_centre: &str, term: u64) -> Option<usize> {
    reader_ranking(list, data_centre, term).iter().position(|record| record.id == own)
}
