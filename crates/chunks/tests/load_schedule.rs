//! Tests when the engines of a fleet load a new version.

use std::time::{Duration, Instant};

use chunks::{LoadPosition, LoadSchedule};
use proptest::prelude::*;

/// Minimum time in which a host receives the weights.
const TRANSFER_TIME: Duration = Duration::from_millis(3_200);

prop_compose! {
    /// A fleet, and milliseconds: the bound, the time after the declaration at which the weights are staged, and the time by
    /// which an earlier declaration preceded it.
    fn fleets()(
        agents in 2_u32..80,
        bound in 6_000_u64..14_000,
        staged in 0_u64..16_000,
        lead in 0_u64..4_000,
    ) -> (u32, Duration, Duration, Duration) {
        (
            agents,
            Duration::from_millis(bound),
            Duration::from_millis(staged),
            Duration::from_millis(lead),
        )
    }
}

/// Times of the load orders, and the latest one before the bound.
fn load_times(
    (agents, bound, staged, lead): (u32, Duration, Duration, Duration),
    first: Instant,
) -> (Vec<Instant>, Instant) {
    let declared = first + lead;
    let schedule = LoadSchedule::new(bound, TRANSFER_TIME).with_first_declared(Some(first));
    let start = |position| {
        let engine = LoadPosition { loaded: 1, declared: 3, position, agents };
        schedule.start(&engine, Some(declared), declared + staged)
    };
    ((0..agents).map(start).collect(), schedule.latest_start(declared))
}

/// Guards against more than half of the engines being out of service at once although the weights arrive in time. A switch
/// takes 2 s on average, and the bound is 8 s.
#[test]
fn timely_transfer_takes_most_engines_out_of_service_at_once() {
    let (bound, switch) = (Duration::from_secs(8), Duration::from_secs(2));
    for agents in [14, 16, 40, 156] {
        let fleet = (agents, bound, TRANSFER_TIME, Duration::ZERO);
        let (orders, _) = load_times(fleet, Instant::now());
        for now in &orders {
            let out = orders.iter().filter(|at| **at <= *now && *now < **at + switch).count();
            assert!(out <= orders.len() / 2, "{out} of {} are out", orders.len());
        }
    }
}

proptest! {
    /// Guards against a late transfer, as after an outage of the origin, that takes all engines out of service at once
    /// before the bound: if the time left is twice what a switch takes, half of them accept requests at any time.
    #[test]
    fn late_transfer_takes_most_engines_out_of_service_at_once(fleet in fleets()) {
        let (orders, latest) = load_times(fleet, Instant::now());
        let window = latest.saturating_duration_since(orders[0]);
        let switch = window / 2;
        prop_assume!(switch > Duration::from_millis(100));
        for now in &orders {
            let out = orders.iter().filter(|at| **at <= *now && *now < **at + switch).count();
            prop_assert!(out <= orders.len() / 2 + 1, "{out} of {} are out", orders.len());
        }
    }

    /// Guards against an engine that waits for its turn although its weights may not be used any more, because the version
    /// that made them outdated was declared before the one that it loads.
    #[test]
    fn engine_with_outdated_weights_waits_for_its_turn(fleet in fleets()) {
        let first = Instant::now();
        let (_, bound, staged, lead) = fleet;
        let (orders, latest) = load_times(fleet, first);
        let staged_at = first + lead + staged;
        for at in orders {
            prop_assert!(at >= staged_at, "ordered before the weights are staged");
            prop_assert!(at <= latest.max(staged_at));
            prop_assert!(at < (first + bound).max(staged_at + Duration::from_millis(1)));
        }
    }
}

proptest! {
    /// Guards against engines that refuse load orders and are ordered again at the same time, so that none is used shortly
    /// before.
    #[test]
    fn refused_orders_of_several_engines_are_repeated_at_the_same_time(
        agents in 2_u32..80,
        refused in prop::collection::vec(0_u64..20_000, 2..80),
        rounds in 1_usize..10,
    ) {
        const INTERVAL: Duration = Duration::from_millis(800);
        let declared = Instant::now();
        let schedule = LoadSchedule::new(Duration::from_secs(8), TRANSFER_TIME);
        let mut turns = Vec::new();
        for (position, refused) in (0..agents).zip(refused) {
            let engine = LoadPosition { loaded: 1, declared: 3, position, agents };
            let mut earliest = declared + Duration::from_millis(refused);
            for _ in 0..rounds {
                let start = schedule.retry_start(&engine, Some(declared), earliest);
                prop_assert!(start >= earliest && start < earliest + INTERVAL * 2);
                turns.push((position, (start - declared).as_nanos() % INTERVAL.as_nanos()));
                earliest = start + Duration::from_millis(600);
            }
        }
        // The engines are spread evenly over the interval; a nanosecond is lost to rounding.
        let gap = INTERVAL.as_nanos() / u128::from(agents);
        for (left, left_turn) in &turns {
            for (right, right_turn) in &turns {
                let distance = left_turn.abs_diff(*right_turn);
                let distance = distance.min(INTERVAL.as_nanos() - distance);
                let is_apart = if left == right { distance == 0 } else { distance + 2 >= gap };
                prop_assert!(is_apart, "engines {left} and {right} are {distance} ns apart");
            }
        }
    }
}
