//! Neighbours and readers: bounded, connected, and barely changed when one host comes or goes.

mod common;

use std::collections::{HashMap, HashSet};

use common::{CENTRES, host_list};
use config::{HostList, HostState};
use spread::{READERS_MAX, choose_neighbours, reader_rank, reader_ranking, reader_term};

fn links(list: &HostList) -> HashMap<String, Vec<String>> {
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
        let most = links(&host_list(1, count)).values().map(Vec::len).max().unwrap();
        assert!(most <= 6, "{most} neighbours of {count} hosts");
    }
}

#[test]
fn notices_reach_every_process_in_few_hops() {
    for count in [10, 100, 1000] {
        let links = links(&host_list(1, count));
        let mut reached: HashSet<_> = ["h0".to_owned()].into();
        let mut hops = 0;
        while reached.len() < count {
            let before = reached.len();
            reached =
                reached.iter().flat_map(|id| &links[id]).cloned().chain(reached.clone()).collect();
            hops += 1;
            assert!(reached.len() > before, "{} of {count} hosts are cut off", count - before);
        }
        assert!(hops <= 10, "{hops} hops for {count} hosts");
    }
}

#[test]
fn one_data_centre_stays_connected_by_itself() {
    let mut list = host_list(1, 300);
    list.hosts.retain(|record| record.data_centre == CENTRES[0]);
    let links = links(&list);
    let mut reached: HashSet<_> = [list.hosts[0].id.to_string()].into();
    for _ in 0..10 {
        reached =
            reached.iter().flat_map(|id| &links[id]).cloned().chain(reached.clone()).collect();
    }
    assert_eq!(reached.len(), list.hosts.len());
}

#[test]
fn one_host_that_leaves_changes_few_links() {
    let mut list = host_list(1, 600);
    let before = links(&list);
    list.hosts.remove(300);
    let after = links(&list);
    let changed = after.iter().filter(|(id, links)| before[*id] != **links).count();
    assert!(changed <= 30, "{changed} of 599 hosts changed their neighbours");
}

#[test]
fn leaving_hosts_neither_read_nor_relay() {
    let mut list = host_list(1, 30);
    let first = reader_ranking(&list, CENTRES[0], 0)[0].id.clone();
    let record = list.hosts.iter_mut().find(|record| record.id == first).unwrap();
    record.state = HostState::Leaving;
    assert_eq!(reader_rank(&list, &first, CENTRES[0], 0), None);
    assert_eq!(reader_ranking(&list, CENTRES[0], 0).len(), READERS_MAX);
    assert!(links(&list).values().flatten().all(|id| *id != first.as_str()));
}

/// Guards against one host that pays for all reads of its data centre: whole documents of up to 1 MB for each change.
#[test]
fn reading_moves_through_the_data_centre() {
    let mut list = host_list(1, 120);
    list.hosts.retain(|record| record.data_centre == CENTRES[0]);
    let revisions = 4_000;
    let mut reads: HashMap<_, u64> = HashMap::new();
    for revision in 0..revisions {
        let term = reader_term(revision);
        for reader in reader_ranking(&list, CENTRES[0], term).into_iter().take(2) {
            *reads.entry(reader.id.clone()).or_default() += 1;
        }
    }
    let mean = 2 * revisions / list.hosts.len() as u64;
    assert_eq!(reads.len(), list.hosts.len());
    let most = reads.values().max().unwrap();
    assert!(*most < 2 * mean, "one host reads {most} times, {mean} on average");
}
