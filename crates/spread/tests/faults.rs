//! Failures of the platform, of links and of processes, in a simulated fleet.

mod common;

use std::time::Duration;

use ::config::HostList;
use common::{Fleet, config, document, host_list};
use spread::{DocumentKind, GossipReport, MAX_READERS};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn publication_is_in_force_everywhere_within_two_seconds() {
    let mut fleet = Fleet::started(48, 1);
    fleet.service.publish(2);
    let took = fleet.run_until(10 * SECOND, |fleet| fleet.all_hold(2));
    assert!(took.is_some_and(|took| took <= 2 * SECOND), "{took:?}");
    assert_eq!(fleet.downgrades, 0);
}

#[test]
fn reads_of_the_service_do_not_grow_with_the_fleet() {
    let reads_in = |count| {
        let mut fleet = Fleet::started(count, 2);
        fleet.service.reads = 0;
        fleet.run(10 * SECOND);
        fleet.service.reads
    };
    let (small, large) = (reads_in(12), reads_in(240));
    assert!(large <= small + small / 4, "{small} reads with 12 hosts, {large} with 240");
    assert!(large <= 10 * 3 * 2 * 2 + 12, "{large} reads in 10 s");
}

#[test]
fn messages_of_a_process_do_not_grow_with_the_fleet() {
    let messages_in = |count: usize| {
        let mut fleet = Fleet::started(count, 3);
        fleet.messages = 0;
        for revision in 2..12 {
            fleet.service.publish(revision);
            fleet.run(SECOND);
        }
        fleet.messages as f64 / count as f64
    };
    let (small, large) = (messages_in(30), messages_in(240));
    assert!(large <= small * 1.25, "{small} messages per process with 30 hosts, {large} with 240");
}

#[test]
fn restart_of_the_whole_fleet_does_not_overload_the_service() {
    let mut fleet = Fleet::new(240, 4);
    let took = fleet.run_until(30 * SECOND, |fleet| fleet.all_hold(1) && fleet.all_are_fresh());
    assert!(took.is_some(), "the fleet did not start");
    assert!(fleet.service.reads < 200, "{} reads", fleet.service.reads);
}

#[test]
fn restart_of_the_whole_fleet_without_its_seeds_spreads_the_reads() {
    let mut fleet = Fleet::new(240, 18);
    (0..3).for_each(|index| fleet.stop(index));
    let first = fleet.run_until(30 * SECOND, |fleet| fleet.service.reads > 0).unwrap();
    fleet.run(SECOND);
    assert!(first >= 2 * SECOND, "{first:?}");
    assert!(fleet.service.reads < 60, "{} reads in the first second", fleet.service.reads);
    let took = fleet.run_until(30 * SECOND, |fleet| fleet.all_hold(1) && fleet.all_are_fresh());
    assert!(took.is_some(), "the fleet did not start");
}

#[test]
fn restarted_process_recovers_from_peers_while_the_service_is_down() {
    let mut fleet = Fleet::started(12, 5);
    fleet.service.is_up = false;
    fleet.run(5 * SECOND);
    fleet.stop(7);
    fleet.run(SECOND);
    fleet.start(7);
    let took = fleet.run_until(5 * SECOND, |fleet| fleet.cores[&7].is_fresh());
    assert!(took.is_some_and(|took| took <= SECOND), "{took:?}");
    assert_eq!(fleet.revision(7), 1);
}

#[test]
fn restarted_process_never_adopts_an_older_document_of_the_service() {
    let mut fleet = Fleet::started(12, 6);
    fleet.service.publish(9);
    fleet.run(3 * SECOND);
    fleet.service.publish(3);
    fleet.start(4);
    fleet.run_until(10 * SECOND, |fleet| fleet.cores[&4].is_fresh());
    assert_eq!(fleet.revision(4), 9);
}

#[test]
fn older_document_of_the_service_is_ignored() {
    let mut fleet = Fleet::started(12, 7);
    fleet.service.publish(8);
    fleet.run(3 * SECOND);
    fleet.service.publish(5);
    fleet.run(10 * SECOND);
    assert!(fleet.all_hold(8));
    assert_eq!(fleet.downgrades, 0);
}

#[test]
fn readers_back_off_while_the_service_is_down_and_then_resume() {
    let mut fleet = Fleet::started(48, 8);
    fleet.service.is_up = false;
    fleet.run(60 * SECOND);
    fleet.service.reads = 0;
    fleet.run(60 * SECOND);
    assert!(fleet.service.reads <= 2 * 3 * MAX_READERS * 5, "{} reads", fleet.service.reads);
    fleet.service.is_up = true;
    fleet.service.publish(2);
    let took = fleet.run_until(40 * SECOND, |fleet| fleet.all_hold(2));
    assert!(took.is_some_and(|took| took <= 31 * SECOND), "{took:?}");
}

#[test]
fn standby_takes_over_when_both_readers_of_every_data_centre_die() {
    let mut fleet = Fleet::started(48, 9);
    let readers: Vec<_> = fleet
        .cores
        .iter()
        .filter(|(_, core)| core.reader_rank().is_some_and(|rank| rank < 2))
        .map(|(index, _)| *index)
        .collect();
    assert_eq!(readers.len(), 6, "each data centre has two readers");
    readers.into_iter().for_each(|index| fleet.stop(index));
    fleet.service.publish(2);
    let took = fleet.run_until(10 * SECOND, |fleet| fleet.all_hold(2));
    assert!(took.is_some_and(|took| took <= 6 * SECOND), "{took:?}");
    let took_over =
        |(_, report): &(usize, GossipReport)| matches!(report, GossipReport::ReaderTakeover { .. });
    assert!(fleet.reports.iter().any(took_over));
}

#[test]
fn no_standby_takes_over_while_the_readers_work() {
    let mut fleet = Fleet::started(240, 10);
    fleet.run(60 * SECOND);
    let took_over =
        |(_, report): &(usize, GossipReport)| matches!(report, GossipReport::ReaderTakeover { .. });
    assert!(!fleet.reports.iter().any(took_over));
}

#[test]
fn partition_heals_to_the_higher_revision() {
    let mut fleet = Fleet::started(24, 11);
    fleet.partitioned = (0..24).filter(|index| index % 3 == 0).collect();
    fleet.is_service_partitioned = true;
    fleet.service.publish(2);
    fleet.run(20 * SECOND);
    assert!((0..24).all(|index| fleet.revision(index) == if index % 3 == 0 { 1 } else { 2 }));
    fleet.partitioned.clear();
    let took = fleet.run_until(10 * SECOND, |fleet| fleet.all_hold(2));
    assert!(took.is_some_and(|took| took <= 2 * SECOND), "{took:?}");
    assert_eq!(fleet.downgrades, 0);
}

#[test]
fn paused_process_is_stale_until_it_has_queried_peers() {
    let mut fleet = Fleet::started(12, 12);
    fleet.paused.insert(5);
    fleet.service.publish(2);
    fleet.run(10 * SECOND);
    assert_eq!(fleet.revision(5), 1);
    fleet.freshness_changes.clear();
    fleet.paused.clear();
    let took = fleet.run_until(5 * SECOND, |fleet| fleet.revision(5) == 2);
    assert!(took.is_some_and(|took| took <= SECOND), "{took:?}");
    fleet.run(SECOND);
    let changes: Vec<_> =
        fleet.freshness_changes.iter().map(|(index, fresh, _)| (*index, *fresh)).collect();
    assert_eq!(changes, [(5, false), (5, true)]);
    assert_eq!(fleet.freshness_changes[1].2, 2, "fresh with an old revision");
}

#[test]
fn paused_process_without_reachable_peers_stays_stale() {
    let mut fleet = Fleet::started(12, 13);
    fleet.paused.insert(5);
    fleet.run(5 * SECOND);
    fleet.paused.clear();
    fleet.partitioned.insert(5);
    fleet.is_service_partitioned = true;
    fleet.run(20 * SECOND);
    assert!(!fleet.cores[&5].is_fresh());
    fleet.partitioned.clear();
    let took = fleet.run_until(5 * SECOND, |fleet| fleet.cores[&5].is_fresh());
    assert!(took.is_some_and(|took| took <= 2 * SECOND), "{took:?}");
}

#[test]
fn invalid_document_is_rejected_with_its_digest_and_the_corrected_one_is_adopted() {
    let mut fleet = Fleet::started(12, 14);
    let mut invalid = config(2);
    invalid.upstreams[0].data_centre = "nowhere".into();
    fleet.service.config = invalid.canonical_bytes().into();
    fleet.service.revision = 2;
    let digest = base::ContentDigest::of(&fleet.service.config);
    fleet.service.reads = 0;
    fleet.run(10 * SECOND);
    assert!(fleet.all_hold(1), "the previous document did not stay in force");
    assert!(fleet.service.reads <= 10 * 3 * MAX_READERS * 2, "{} reads", fleet.service.reads);
    let refusals: Vec<_> = fleet
        .reports
        .iter()
        .filter_map(|(index, report)| match report {
            GossipReport::Refused { kind, digest, fault, .. } => Some((index, kind, digest, fault)),
            _ => None,
        })
        .collect();
    assert!(!refusals.is_empty(), "no process reported the rejection");
    for (_, kind, refused, fault) in &refusals {
        assert_eq!((**kind, **refused), (DocumentKind::Config, digest));
        assert!(fault.contains("nowhere"), "{fault}");
    }
    let reporters: std::collections::HashSet<_> =
        refusals.iter().map(|refusal| refusal.0).collect();
    assert_eq!(reporters.len(), refusals.len(), "a process reported the same document twice");
    fleet.service.publish(3);
    let took = fleet.run_until(10 * SECOND, |fleet| fleet.all_hold(3));
    assert!(took.is_some_and(|took| took <= 2 * SECOND), "{took:?}");
}

#[test]
fn two_documents_of_one_revision_converge_to_the_higher_digest_with_an_alarm() {
    let mut fleet = Fleet::started(12, 15);
    fleet.partitioned = (0..12).filter(|index| index % 3 == 0).collect();
    fleet.is_service_partitioned = true;
    fleet.service.publish(2);
    fleet.run(5 * SECOND);
    let mut other = config(2);
    other.teams[0].share = 7;
    fleet.service.config = other.canonical_bytes().into();
    fleet.partitioned = (0..12).filter(|index| index % 3 != 0).collect();
    fleet.run(40 * SECOND);
    fleet.partitioned.clear();
    fleet.run(5 * SECOND);
    let digests: std::collections::HashSet<_> =
        fleet.cores.values().filter_map(|core| core.config().map(|held| held.digest)).collect();
    assert_eq!(digests, [config(2).digest().max(other.digest())].into());
    let is_conflict =
        |(_, report): &(usize, GossipReport)| matches!(report, GossipReport::Conflict { .. });
    assert!(fleet.reports.iter().any(is_conflict), "no process reported the conflict");
}

#[test]
fn replaced_host_is_reached_under_its_new_address() {
    let mut fleet = Fleet::started(12, 16);
    fleet.stop(11);
    fleet.start(12);
    fleet.service.hosts = host_list(2, 13);
    fleet.service.hosts.hosts.remove(11);
    fleet.run(5 * SECOND);
    assert!(
        fleet.cores.values().all(|core| core.hosts().is_some_and(|held| held.value.version == 2))
    );
    fleet.service.publish(2);
    let took = fleet.run_until(5 * SECOND, |fleet| fleet.all_hold(2));
    assert!(took.is_some_and(|took| took <= SECOND), "{took:?}");
}

#[test]
fn new_process_without_informed_peers_reads_the_service_itself() {
    let mut fleet = Fleet::new(1, 17);
    let took = fleet.run_until(15 * SECOND, |fleet| fleet.cores[&0].is_fresh());
    assert!(took.is_some_and(|took| took <= 12 * SECOND), "{took:?}");
    assert_eq!(fleet.cores[&0].config().unwrap().bytes, document(1));
}

#[test]
fn empty_host_list_neither_stops_nor_multiplies_the_reads() {
    let mut fleet = Fleet::started(48, 19);
    fleet.service.hosts = HostList { version: 2, hosts: Vec::new() };
    fleet.run(5 * SECOND);
    fleet.service.reads = 0;
    fleet.service.publish(2);
    let took = fleet.run_until(10 * SECOND, |fleet| fleet.all_hold(2));
    assert!(took.is_some_and(|took| took <= 6 * SECOND), "{took:?}");
    fleet.run(10 * SECOND);
    assert!(fleet.service.reads <= 20 * 3 * 2, "{} reads", fleet.service.reads);
}

#[test]
fn isolated_process_reads_the_service_itself() {
    let mut fleet = Fleet::started(48, 20);
    let index = fleet.cores.iter().find(|(_, core)| core.reader_rank().is_none()).unwrap();
    let index = *index.0;
    fleet.partitioned.insert(index);
    fleet.service.publish(2);
    let took = fleet.run_until(60 * SECOND, |fleet| fleet.all_hold(2));
    assert!(took.is_some_and(|took| took <= 45 * SECOND), "{took:?}");
    fleet.service.reads = 0;
    fleet.run(60 * SECOND);
    assert!(fleet.service.reads <= 60 * 3 * 2 * 2 + 40, "{} reads", fleet.service.reads);
}
