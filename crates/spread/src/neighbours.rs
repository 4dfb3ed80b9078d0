//! Which peers a process exchanges with and which processes read the platform's services.
//!
//! Both are pure functions of the host list. Their size does not depend on the size of the fleet.

use std::{collections::BTreeMap, net::SocketAddr};

use base::{HostId, Revision, rank_by_weight, rendezvous_weight};
use config::{HostList, HostRecord, HostState};

/// Readers and stand-ins in one data centre at most.
pub const READERS_MAX: usize = 4;
/// Revisions for which the same hosts read. A change of readers costs a read of the host list.
const REVISIONS_PER_TERM: u64 = 16;
/// Neighbours in the own data centre, besides the successor in the ring.
const OWN_CENTRE_LINKS: usize = 3;
/// Neighbours in other data centres, each in another one.
const OTHER_CENTRE_LINKS: usize = 2;

/// A peer to exchange digests with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Neighbour {
    /// Id of the host.
    pub host: HostId,
    /// Address for frames.
    pub peer: SocketAddr,
    /// True if it is in the same data centre.
    pub own_centre: bool,
}

/// Chooses the neighbours of `own`.
///
/// The successor in a ring per data centre guarantees that every process is some other process's neighbour; the random
/// links keep the diameter logarithmic; the links to other data centres carry changes where no reader works.
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
        let links = best_of(&peers, own, OWN_CENTRE_LINKS);
        for record in successor.into_iter().chain(links) {
            add(&mut chosen, record, true);
        }
    }
    let others = rank_by_weight(own.as_bytes(), centres.keys().copied());
    for centre in others.into_iter().take(OTHER_CENTRE_LINKS) {
        for record in best_of(&centres[centre], own, 1) {
            add(&mut chosen, record, false);
        }
    }
    chosen
}

fn add(chosen: &mut Vec<Neighbour>, record: &HostRecord, own_centre: bool) {
    if chosen.iter().all(|held| held.host != record.id) {
        chosen.push(Neighbour { host: record.id.clone(), peer: record.peer, own_centre });
    }
}

fn ring_successor<'a>(
    peers: &[&'a HostRecord],
    own: &str,
    data_centre: &str,
) -> Option<&'a HostRecord> {
    let place = |id: &str| (rendezvous_weight(data_centre.as_bytes(), id), HostId::from(id));
    let own_place = place(own);
    // The smallest place after the own one, else the smallest of all.
    peers.iter().copied().min_by_key(|record| {
        let place = place(&record.id);
        (place < own_place, place)
    })
}

fn best_of<'a>(
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

/// The live hosts of a data centre that may read during a term, the first first.
///
/// A reader receives the whole document for each change, up to 1 MB, which no single host may pay for long. The role
/// therefore moves to other hosts with each [`reader_term`].
#[must_use]
pub fn reader_ranking<'a>(list: &'a HostList, data_centre: &str, term: u64) -> Vec<&'a HostRecord> {
    let live: Vec<_> = list
        .hosts
        .iter()
        .filter(|record| record.state == HostState::Live && record.data_centre == data_centre)
        .collect();
    best_of(&live, &format!("{data_centre}/{term}"), READERS_MAX).collect()
}

/// Term of the readers while `revision` is in force.
#[must_use]
pub fn reader_term(revision: Revision) -> u64 {
    revision / REVISIONS_PER_TERM
}

/// Rank of `own` among the readers of its data centre; `None` if it is not one of the first [`READERS_MAX`].
#[must_use]
pub fn reader_rank(list: &HostList, own: &str, data_centre: &str, term: u64) -> Option<usize> {
    reader_ranking(list, data_centre, term).iter().position(|record| record.id == own)
}
