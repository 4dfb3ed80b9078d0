//! Guards against a store that all entries of a large fleet query, and against entries that take an outdated state for
//! a current one because no entry of their region follows the store.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use member::{EntryMember, EntryMembership};

const NOW_AGE: Duration = Duration::from_millis(100);

fn peer(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 7_700))
}

fn entry(index: u8, store_age: Option<Duration>) -> EntryMember {
    EntryMember {
        name: format!("e{index}").into(),
        incarnation: 1,
        sequence: 1,
        data_centre: if index < 100 { "north".into() } else { "south".into() },
        caller_address: peer(index),
        peer: peer(index),
        ready: true,
        leaving: false,
        revision: 7,
        assignment_digest: 1,
        store_age,
        state_age: store_age,
    }
}

fn is_north(member: &EntryMember) -> bool {
    member.data_centre == "north"
}

/// Entries 1 to `count` as the entry `own` sees them.
fn membership(own: u8, count: u8, now: Instant, store_age: &[Option<Duration>]) -> EntryMembership {
    let mut membership = EntryMembership::new();
    for index in (1..=count).filter(|index| *index != own) {
        membership.record_heartbeat(entry(index, store_age[usize::from(index)]), now);
    }
    membership
}

fn readers(count: u8, now: Instant, store_age: &[Option<Duration>]) -> Vec<u8> {
    (1..=count)
        .filter(|own| membership(*own, count, now, store_age).is_reader(peer(*own), is_north, now))
        .collect()
}

#[test]
fn two_entries_of_a_region_follow_the_store() {
    let now = Instant::now();
    for count in [1_u8, 2, 3, 30, 90] {
        let store_age = vec![Some(NOW_AGE); usize::from(count) + 1];
        assert_eq!(readers(count, now, &store_age).len(), usize::from(count.min(2)));
    }
}

/// A reader that the store turns away says so, and the next entry in the order takes over at once.
#[test]
fn entry_takes_over_from_readers_that_the_store_turns_away() {
    let now = Instant::now();
    let mut store_age = vec![Some(NOW_AGE); 31];
    let first = readers(30, now, &store_age);
    first.iter().for_each(|index| store_age[usize::from(*index)] = None);
    let second = readers(30, now, &store_age);
    // The first readers go on trying, because fewer than two entries before them follow the store.
    assert!(first.iter().all(|index| second.contains(index)));
    assert_eq!(second.len(), 4);
    store_age.iter_mut().for_each(|age| *age = Some(Duration::from_secs(3)));
    assert_eq!(readers(30, now, &store_age).len(), 30, "no entry hears of a recent response");
}

#[test]
fn entries_that_are_dead_leaving_or_far_away_are_no_readers() {
    let now = Instant::now();
    let store_age = vec![Some(NOW_AGE); 31];
    let first = readers(30, now, &store_age);
    let other = (1..=30).find(|index| !first.contains(index)).expect("28 entries are left");
    let mut membership = membership(other, 30, now, &store_age);
    assert!(!membership.is_reader(peer(other), is_north, now));
    let later = now + Duration::from_secs(2);
    assert!(membership.is_reader(peer(other), is_north, later), "nobody is alive any more");
    for index in (1..=30).filter(|index| *index != other) {
        let leaving = EntryMember { sequence: 2, leaving: true, ..entry(index, Some(NOW_AGE)) };
        membership.record_heartbeat(leaving, now);
    }
    assert!(membership.is_reader(peer(other), is_north, now));
    let mut remote = EntryMembership::new();
    (101..=130).for_each(|index| {
        remote.record_heartbeat(entry(index, Some(NOW_AGE)), now);
    });
    assert!(remote.is_reader(peer(other), is_north, now));
}

/// A state is as recent as that of another entry only if nothing is missing from it, and ages while no heartbeat comes.
#[test]
fn heartbeat_confirms_only_a_state_that_has_all_its_changes() {
    let start = Instant::now();
    let now = start + Duration::from_secs(10);
    let mut membership = EntryMembership::new();
    membership.record_heartbeat(entry(1, Some(NOW_AGE)), now);
    assert_eq!(membership.confirmed_at(6, now), None, "the other entry knows a later change");
    let confirmed = membership.confirmed_at(7, now).expect("nothing is missing");
    assert!(confirmed <= now - NOW_AGE, "the state was current when the store responded");
    let later = now + Duration::from_secs(1);
    assert_eq!(membership.confirmed_at(7, later), Some(confirmed));
    membership.record_heartbeat(EntryMember { sequence: 2, ..entry(1, None) }, later);
    assert_eq!(membership.confirmed_at(7, later), None, "its state was never current");
}

/// While a process is paused, heartbeats wait in its socket. It reads them when it resumes, as if they had just been sent.
#[test]
fn heartbeats_that_arrived_during_a_pause_confirm_nothing() {
    let resumed = Instant::now() + Duration::from_secs(10);
    let mut membership = EntryMembership::new();
    membership.record_heartbeat(entry(1, Some(NOW_AGE)), resumed);
    membership.record_pause(resumed);
    membership.record_heartbeat(entry(2, Some(NOW_AGE)), resumed + Duration::from_millis(40));
    let later = resumed + Duration::from_millis(700);
    assert_eq!(membership.confirmed_at(7, later), None);
    membership.record_heartbeat(EntryMember { sequence: 2, ..entry(1, Some(NOW_AGE)) }, later);
    assert!(membership.confirmed_at(7, later).is_some());
}

/// Guards against entries that all query the store at once when a change takes long to reach them.
#[test]
fn entries_without_a_confirmation_query_the_store_in_turn() {
    let now = Instant::now();
    let store_age = vec![Some(NOW_AGE); 31];
    let queries_at = |unconfirmed: Duration| {
        let takes_turn = |own: u8| {
            membership(own, 30, now, &store_age).is_turn(peer(own), is_north, unconfirmed, now)
        };
        (1..=30).filter(|own| takes_turn(*own)).count()
    };
    assert_eq!(queries_at(Duration::from_millis(4_900)), 0);
    for turns in 0..30 {
        let unconfirmed = Duration::from_millis(5_000) + Duration::from_millis(500) * turns;
        assert_eq!(queries_at(unconfirmed), usize::try_from(turns).expect("fits") + 1);
    }
}
