//! Guards against requests that overtake more urgent ones, a queue that exceeds its bounds, and requests that wait in
//! vain or are lost.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use proptest::prelude::*;
use wait::{LeaveCause, RoomBounds, RoomOffer, WaitingRoom, WaitingWork, WorkId, WorkLane};

const BOUNDS: RoomBounds =
    RoomBounds { requests: 8, bytes: 8_000, wait: Duration::from_millis(4_000) };

fn work(id: WorkId, rank: u8, team: &str, now: Instant) -> WaitingWork {
    WaitingWork {
        id,
        rank,
        team: team.into(),
        bytes: 100,
        is_late: false,
        is_returned: false,
        wait_until: now + Duration::from_millis(350),
    }
}

fn queued(evicted: &[WorkId]) -> RoomOffer {
    RoomOffer { refusal: None, evicted: evicted.to_vec() }
}

fn refused(cause: LeaveCause) -> RoomOffer {
    RoomOffer { refusal: Some(cause), evicted: Vec::new() }
}

/// Takes all requests out in their order, as if all were placed at `now`.
fn drain(room: &mut WaitingRoom, now: Instant) -> Vec<WorkId> {
    let mut order = Vec::new();
    while let Some(id) = room.next(now) {
        room.settle(id, true, now);
        order.push(id);
    }
    order
}

#[test]
fn urgent_then_returned_then_new_then_late() {
    let now = Instant::now();
    let mut room = WaitingRoom::new(BOUNDS);
    let late = WaitingWork { is_late: true, is_returned: true, ..work(1, 0, "a", now) };
    let returned = WaitingWork { is_returned: true, ..work(3, 1, "a", now) };
    for work in [late, work(2, 1, "a", now), returned, work(4, 0, "a", now)] {
        assert_eq!(room.offer(work, now), queued(&[]));
    }
    assert_eq!(drain(&mut room, now), [4, 3, 2, 1]);
}

#[test]
fn teams_alternate_and_the_earliest_deadline_of_a_team_goes_first() {
    let now = Instant::now();
    let mut room = WaitingRoom::new(BOUNDS);
    for (id, team, wait_ms) in [(1, "a", 300), (2, "a", 200), (3, "a", 100), (4, "b", 350)] {
        let wait_until = now + Duration::from_millis(wait_ms);
        room.offer(WaitingWork { wait_until, ..work(id, 0, team, now) }, now);
    }
    assert_eq!(drain(&mut room, now), [3, 4, 2, 1]);
}

#[test]
fn request_that_was_not_placed_keeps_its_place_and_its_team_is_not_charged() {
    let now = Instant::now();
    let mut room = WaitingRoom::new(BOUNDS);
    for (id, team) in [(1, "a"), (2, "b"), (3, "a")] {
        room.offer(work(id, 0, team, now), now);
    }
    for _ in 0..5 {
        assert_eq!(room.next(now), Some(1));
        room.settle(1, false, now);
    }
    assert_eq!(drain(&mut room, now), [1, 2, 3]);
}

#[test]
fn full_room_evicts_the_lowest_rank_of_the_team_with_most_requests() {
    let now = Instant::now();
    let mut room = WaitingRoom::new(BOUNDS);
    for id in 1..=5 {
        room.offer(work(id, 2, "big", now + Duration::from_millis(id)), now);
    }
    room.offer(work(6, 2, "small", now), now);
    room.offer(work(7, 1, "small", now), now);
    room.offer(work(8, 1, "small", now), now);
    assert_eq!(room.offer(work(9, 0, "small", now), now), queued(&[5]));
    // A request of the lowest rank and the largest team does not displace another one.
    let last = work(10, 2, "big", now + Duration::from_millis(20));
    assert_eq!(room.offer(last, now), refused(LeaveCause::Full));
    assert_eq!(room.len(), 8);
}

#[test]
fn late_requests_are_evicted_before_all_others() {
    let now = Instant::now();
    let mut room = WaitingRoom::new(BOUNDS);
    room.offer(WaitingWork { is_late: true, ..work(1, 0, "a", now) }, now);
    for id in 2..=8 {
        room.offer(work(id, 2, "a", now), now);
    }
    assert_eq!(room.offer(work(9, 2, "a", now), now), queued(&[1]));
}

#[test]
fn new_request_waits_for_its_own_and_more_urgent_ranks_only() {
    let now = Instant::now();
    let mut room = WaitingRoom::new(BOUNDS);
    room.offer(work(1, 1, "a", now), now);
    assert!(!room.blocks(WorkLane::new(0, false, false)));
    assert!(room.blocks(WorkLane::new(1, false, false)));
    assert!(room.blocks(WorkLane::new(2, false, false)));
    assert!(room.blocks(WorkLane::new(0, true, true)), "late requests go last");
    assert!(!room.blocks(WorkLane::new(1, false, true)), "returned callers go before new ones");
    // A request that has its turn has not been placed yet.
    assert_eq!(room.next(now), Some(1));
    assert!(room.blocks(WorkLane::new(1, false, false)));
}

#[test]
fn hopeless_request_is_refused_at_once() {
    let start = Instant::now();
    let mut room = WaitingRoom::new(RoomBounds { requests: 64, ..BOUNDS });
    let later = start + Duration::from_millis(1_300);
    for id in 0..20 {
        room.offer(WaitingWork { wait_until: later, ..work(id, 1, "a", start) }, start);
    }
    // Ten placements a second.
    let mut now = start;
    for _ in 0..10 {
        now += Duration::from_millis(100);
        let id = room.next(now).expect("requests are queued");
        room.settle(id, true, now);
    }
    assert_eq!(room.offer(work(30, 1, "a", now), now), refused(LeaveCause::WaitTooLong));
    assert_eq!(room.offer(work(31, 0, "a", now), now), queued(&[]));
    let patient = WaitingWork { wait_until: now + Duration::from_secs(2), ..work(32, 1, "a", now) };
    assert_eq!(room.offer(patient, now), queued(&[]));
}

#[test]
fn closed_room_returns_all_requests_and_takes_none() {
    let now = Instant::now();
    let mut room = WaitingRoom::new(BOUNDS);
    for id in 1..=3 {
        room.offer(work(id, 0, "a", now), now);
    }
    assert_eq!(room.next(now), Some(1));
    let mut ids = room.close();
    ids.sort_unstable();
    assert_eq!(ids, [1, 2, 3]);
    room.settle(1, true, now);
    assert_eq!(room.offer(work(4, 0, "a", now), now), refused(LeaveCause::Closed));
    assert_eq!((room.len(), room.bytes(), room.next(now)), (0, 0, None));
}

#[derive(Clone, Debug)]
enum RoomEvent {
    Offer { rank: u8, team: u8, bytes: usize, is_late: bool, is_returned: bool, wait_ms: u64 },
    Turns { count: usize, placed: u8 },
    Disconnect { index: usize },
    Close,
}

fn room_event() -> impl Strategy<Value = RoomEvent> {
    let offer = (0..4_u8, 0..5_u8, 0..3_000_usize, any::<bool>(), any::<bool>(), 0..900_u64);
    prop_oneof![
        12 => offer.prop_map(|(rank, team, bytes, is_late, is_returned, wait_ms)| {
            RoomEvent::Offer { rank, team, bytes, is_late, is_returned, wait_ms }
        }),
        5 => (0..5_usize, any::<u8>()).prop_map(|(count, placed)| RoomEvent::Turns { count, placed }),
        2 => (0..20_usize).prop_map(|index| RoomEvent::Disconnect { index }),
        1 => Just(RoomEvent::Close),
    ]
}

/// Follows which requests have been answered.
#[derive(Default)]
struct AnswerModel {
    /// Requests in the room, with the time until which each may wait.
    open: HashMap<WorkId, Instant>,
    answered: HashSet<WorkId>,
}

impl AnswerModel {
    fn answer(&mut self, ids: impl IntoIterator<Item = WorkId>) {
        for id in ids {
            assert!(
                self.open.remove(&id).is_some(),
                "request {id} left the room without being in it"
            );
            assert!(self.answered.insert(id), "request {id} was answered twice");
        }
    }
}

proptest! {
    /// Guards against requests that are lost or answered twice, a queue beyond its bounds, and requests that are kept
    /// longer than they can wait, with stops, disconnects and expiry in any order.
    #[test]
    fn each_request_leaves_once_and_the_bounds_hold(
        events in prop::collection::vec((room_event(), 0..120_u64), 1..200),
    ) {
        let mut now = Instant::now();
        let mut room = WaitingRoom::new(BOUNDS);
        let mut model = AnswerModel::default();
        let mut next_id = 0;
        for (event, pause_ms) in events {
            now += Duration::from_millis(pause_ms);
            model.answer(room.expire(now));
            prop_assert!(model.open.values().all(|until| *until > now), "a request waits too long");
            match event {
                RoomEvent::Offer { rank, team, bytes, is_late, is_returned, wait_ms } => {
                    next_id += 1;
                    let wait_until = now + Duration::from_millis(wait_ms);
                    let team = team.to_string().into();
                    let id = next_id;
                    let work =
                        WaitingWork { id, rank, team, bytes, is_late, is_returned, wait_until };
                    let offer = room.offer(work, now);
                    model.open.insert(id, wait_until);
                    model.answer(offer.evicted);
                    if offer.refusal.is_some() {
                        model.answer([id]);
                    }
                }
                RoomEvent::Turns { count, placed } => {
                    let ids: Vec<WorkId> = (0..count).map_while(|_| room.next(now)).collect();
                    let unique: HashSet<WorkId> = ids.iter().copied().collect();
                    prop_assert_eq!(unique.len(), ids.len(), "a request had two turns at once");
                    for (index, id) in ids.into_iter().enumerate() {
                        let is_placed = placed >> index & 1 == 1;
                        room.settle(id, is_placed, now);
                        if is_placed {
                            model.answer([id]);
                        }
                    }
                }
                RoomEvent::Disconnect { index } => {
                    let id = model.open.keys().copied().nth(index);
                    if let Some(id) = id {
                        prop_assert!(room.remove(id));
                        model.answer([id]);
                    }
                }
                RoomEvent::Close => model.answer(room.close()),
            }
            prop_assert_eq!(room.len(), model.open.len());
            prop_assert!(room.len() <= BOUNDS.requests && room.bytes() <= BOUNDS.bytes);
        }
        model.answer(room.close());
        prop_assert!(model.open.is_empty(), "a request was lost");
        prop_assert_eq!(model.answered.len(), next_id as usize);
        prop_assert_eq!(room.bytes(), 0);
    }
}
