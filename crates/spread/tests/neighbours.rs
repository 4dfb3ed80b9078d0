//! Neighbours and readers: few at every fleet size, connected, and mostly unchanged when a host is removed.

mod common;

use std::collections::{HashMap, HashSet};

use common::{DATA_CENTRES, host_list};
use config::{HostList, HostState};
use spread::{MAX_READERS, choose_neighbours, reader_rank, reader_ranking, reader_term};

fn neighbour_ids(list: &HostList) -> HashMap<String, Vec<String>> {
    let neighbours = |record: &config::HostRecord| {
        choose_neighbours(list, &record.id, &record.data_centre)
            .into_iter()
            .map(|neighbour| neighbour.host.to_string())
            .collect()
    };
    list.hosts.iter().map(|record| (record.id.to_string(), neighbours(record))).collect()
}

#[test]
fn neighbours_are_few_at_every_size() {
    for count in [1, 2, 3, 10, 100, 1000] {
        let most = neighbour_ids(&host_list(1, count)).values().map(Vec::len).max().unwrap();
        assert!(most <= 6, "{most} neighbours with {count} hosts");
    }
}

#[test]
fn changes_reach_every_process_in_few_hops() {
    for count in [10, 100, 1000] {
        let neighbour_ids = neighbour_ids(&host_list(1, count));
        let mut reached: HashSet<_> = ["h0".to_owned()].into();
        let mut hops = 0;
        while reached.len() < count {
            let before = reached.len();
            reached = reached
                .iter()
                .flat_map(|id| &neighbour_ids[id])
                .cloned()
                .chain(reached.clone())
                .collect();
            hops += 1;
            assert!(reached.len() > before, "{} of {count} hosts are unreachable", count - before);
        }
        assert!(hops <= 10, "{hops} hops for {count} hosts");
    }
}

#[test]
fn data_centre_is_connected_without_the_others() {
    let mut list = host_list(1, 300);
    list.hosts.retain(|record| record.data_centre == DATA_CENTRES[0]);
    let neighbour_ids = neighbour_ids(&list);
    let mut reached: HashSet<_> = [list.hosts[0].id.to_string()].into();
    for _ in 0..10 {
        reached = reached
            .iter()
            .flat_map(|id| &neighbour_ids[id])
            .cloned()
            .chain(reached.clone())
            .collect();
    }
    assert_eq!(reached.len(), list.hosts.len());
}

#[test]
fn removal_of_one_host_changes_few_links() {
    let mut list = host_list(1, 600);
    let before = neighbour_ids(&list);
    list.hosts.remove(300);
    let after = neighbour_ids(&list);
    let changed = after.iter().filter(|(id, neighbour_ids)| before[*id] != **neighbour_ids).count();
    assert!(changed <= 30, "{changed} of 599 hosts changed their neighbours");
}

#[test]
fn leaving_hosts_are_neither_readers_nor_neighbours() {
    let mut list = host_list(1, 30);
    let first = reader_ranking(&list, DATA_CENTRES[0], 0)[0].id.clone();
    let record = list.hosts.iter_mut().find(|record| record.id == first).unwrap();
    record.state = HostState::Leaving;
    assert_eq!(reader_rank(&list, &first, DATA_CENTRES[0], 0), None);
    assert_eq!(reader_ranking(&list, DATA_CENTRES[0], 0).len(), MAX_READERS);
    assert!(neighbour_ids(&list).values().flatten().all(|id| *id != first.as_str()));
}

/// Guards against one host that does all reads of its data centre, a full document of up to 1 MB for each change.
#[test]
fn reader_role_rotates_through_the_data_centre() {
    let mut list = host_list(1, 120);
    list.hosts.retain(|record| record.data_centre == DATA_CENTRES[0]);
    let revisions = 4_000;
    let mut reads: HashMap<_, u64> = HashMap::new();
    for revision in 0..revisions {
        let term = reader_term(revision);
        for reader in reader_ranking(&list, DATA_CENTRES[0], term).into_iter().take(2) {
            *reads.entry(reader.id.clone()).or_default() += 1;
        }
    }
    let mean = 2 * revisions / list.hosts.len() as u64;
    assert_eq!(reads.len(), list.hosts.len());
    let most = reads.values().max().unwrap();
    assert!(*most < 2 * mean, "one host reads {most} times, {mean} on average");
}
