//! Tests placement by learned capacity at plain services whose upstreams share their hosts.

mod engines;
mod fleet;

use std::time::Duration;

use fleet::{SLOTS, SimulatedFleet, SimulatedUpstream};

const WORK: Duration = Duration::from_millis(40);
/// Time within which shares follow a change of speed.
const SETTLING_TIME: Duration = Duration::from_secs(5);
/// Span over which shares are measured.
const MEASURED: Duration = Duration::from_secs(10);

/// Asserts that each upstream gets a share in proportion to its speed, within a quarter of that share. At a low rate, the
/// requests of 10 s are too few to tell such a difference from chance, so that the time is longer there.
fn assert_proportional(fleet: &mut SimulatedFleet, speeds: &[f64]) {
    let measured = MEASURED.mul_f64((800.0 / fleet.rate).clamp(1.0, 8.0));
    fleet.run(measured);
    let tolerance = 0.25;
    let all: f64 = speeds.iter().sum();
    let shares = fleet.shares(measured);
    for (index, (share, speed)) in shares.iter().zip(speeds).enumerate() {
        let expected = speed / all;
        assert!(
            (share / expected - 1.0).abs() <= tolerance,
            "upstream {index}: share {share:.3}, expected {expected:.3}; all {shares:.3?}"
        );
    }
}

/// Upstreams at 1, 2 and 4 times the work time, three of each.
fn mixed_upstreams() -> Vec<SimulatedUpstream> {
    let factors = [1, 1, 1, 2, 2, 2, 4, 4, 4];
    factors.iter().map(|factor| SimulatedUpstream::new(WORK * *factor)).collect()
}

const MIXED_SPEEDS: [f64; 9] = [1.0, 1.0, 1.0, 0.5, 0.5, 0.5, 0.25, 0.25, 0.25];

/// Guards against equal shares for upstreams of unequal speed, at low, medium and high load.
#[test]
fn work_is_shared_in_proportion_to_speed() {
    // The upstreams serve 1,050 requests a second together.
    for rate in [100.0, 400.0, 800.0] {
        let mut fleet = SimulatedFleet::new(mixed_upstreams(), 10, rate);
        fleet.run(SETTLING_TIME);
        assert_proportional(&mut fleet, &MIXED_SPEEDS);
        assert!(fleet.refused * 100 <= fleet.placed, "{} of {}", fleet.refused, fleet.placed);
    }
}

/// Guards against a slow reaction to an upstream that loses two thirds of its speed while half of the capacity is used.
#[test]
fn share_follows_a_fall_to_a_third_of_the_speed() {
    let upstreams = vec![SimulatedUpstream::new(WORK); 8];
    let mut fleet = SimulatedFleet::new(upstreams, 10, 800.0);
    fleet.run(Duration::from_secs(8));
    fleet.upstreams[0].work = WORK * 3;
    fleet.run(SETTLING_TIME + MEASURED);
    let mut speeds = [1.0; 8];
    speeds[0] = 1.0 / 3.0;
    assert_proportional(&mut fleet, &speeds);
    fleet.upstreams[0].work = WORK;
    fleet.run(SETTLING_TIME);
    assert_proportional(&mut fleet, &[1.0; 8]);
}

/// Guards against a load that an upstream with free slots does not handle: one that slows down from a third of its slots
/// gets the work that it handles well.
#[test]
fn upstream_that_slows_down_early_gets_its_share() {
    let mut upstreams = vec![SimulatedUpstream::new(WORK); 6];
    upstreams[0].knee = f64::from(SLOTS) / 3.0;
    let mut fleet = SimulatedFleet::new(upstreams, 10, 750.0);
    fleet.run(SETTLING_TIME);
    let mut speeds = [1.0; 6];
    speeds[0] = 1.0 / 3.0;
    assert_proportional(&mut fleet, &speeds);
    assert!(fleet.knee(0, 0) < fleet.knee(0, 1), "{} {}", fleet.knee(0, 0), fleet.knee(0, 1));
    assert!(fleet.late * 100 <= fleet.placed, "{} late of {}", fleet.late, fleet.placed);
}

/// Guards against shares that swing with slow intervals of the hosts, stated or not.
#[test]
fn slow_intervals_do_not_make_shares_swing() {
    for states_slowdown in [true, false] {
        let mut upstreams = vec![SimulatedUpstream::new(WORK); 8];
        for upstream in &mut upstreams {
            upstream.is_noisy = true;
            upstream.states_slowdown = states_slowdown;
        }
        let mut fleet = SimulatedFleet::new(upstreams, 10, 600.0);
        fleet.run(SETTLING_TIME);
        let mut windows: Vec<Vec<f64>> = Vec::new();
        for _ in 0..12 {
            fleet.run(Duration::from_secs(5));
            windows.push(fleet.shares(Duration::from_secs(5)));
        }
        for index in 0..8 {
            let mean = windows.iter().map(|shares| shares[index]).sum::<f64>() / 12.0;
            for shares in &windows {
                let swing = (shares[index] / mean - 1.0).abs();
                assert!(swing <= 0.3, "stated {states_slowdown}: {swing:.2} at {index}");
            }
        }
    }
}

/// Guards against refusals and unequal shares while the demand rises and falls and all upstreams slow down together.
#[test]
fn common_slowdown_is_blamed_on_no_upstream() {
    let upstreams = vec![SimulatedUpstream::new(WORK); 8];
    let mut fleet = SimulatedFleet::new(upstreams, 10, 300.0);
    fleet.run(SETTLING_TIME);
    for (rate, factor) in [(900.0, 1), (300.0, 2), (100.0, 1)] {
        fleet.rate = rate;
        for upstream in &mut fleet.upstreams {
            upstream.work = WORK * factor;
        }
        fleet.run(SETTLING_TIME);
        assert_proportional(&mut fleet, &[1.0; 8]);
    }
    assert_eq!(fleet.refused, 0);
}

/// Guards against entries that see too few responses to learn on their own: forty entries with one request a second each.
#[test]
fn forty_entries_with_few_requests_learn_together() {
    let mut fleet = SimulatedFleet::new(mixed_upstreams(), 40, 40.0);
    fleet.run(SETTLING_TIME + MEASURED * 3);
    let relative = fleet.relative(7);
    // The usual work time is the one of the three in the middle.
    assert!(relative[&0] < 0.75 && relative[&8] > 1.5, "{relative:.2?}");
}

/// Guards against state that outlives its measurements: a restarted entry starts with the usual speed and learns again.
#[test]
fn restarted_entry_learns_from_the_others() {
    let mut fleet = SimulatedFleet::new(mixed_upstreams(), 10, 400.0);
    fleet.run(SETTLING_TIME);
    fleet.restart_entry(3);
    assert!(fleet.relative(3).is_empty());
    fleet.run(SETTLING_TIME);
    let relative = fleet.relative(3);
    assert!(relative[&0] < 0.75 && relative[&8] > 1.5, "{relative:.2?}");
    // Without requests, nothing is learned and the estimates return to the usual speed.
    fleet.rate = 0.0;
    fleet.run(Duration::from_secs(20));
    assert!(fleet.relative(3).values().all(|relative| (0.9..1.1).contains(relative)));
}

/// Guards against an upstream that attracts work by empty responses or by a header that hides its slowness.
#[test]
fn misreporting_upstreams_attract_no_work() {
    let mut upstreams = vec![SimulatedUpstream::new(WORK); 8];
    upstreams[0].is_empty = true;
    upstreams[1].slowdown = 3.0;
    upstreams[1].states_slowdown = false;
    let mut fleet = SimulatedFleet::new(upstreams, 10, 600.0);
    fleet.run(SETTLING_TIME + MEASURED);
    let shares = fleet.shares(MEASURED);
    let rest = shares[2..].iter().sum::<f64>() / 6.0;
    assert!(shares[0] <= 1.25 * rest, "{shares:.3?}");
    assert!(shares[1] <= 1.25 * rest / 3.0, "{shares:.3?}");
}

/// Guards against bad upstreams among many that keep their share, and against upstreams that are never tried again.
#[test]
fn three_bad_upstreams_of_two_hundred_lose_work_and_stay_in_use() {
    let mut upstreams = vec![SimulatedUpstream::new(WORK); 200];
    for upstream in &mut upstreams[..3] {
        upstream.work = WORK * 8;
    }
    let mut fleet = SimulatedFleet::new(upstreams, 20, 400.0);
    fleet.run(SETTLING_TIME + MEASURED * 3);
    let shares = fleet.shares(MEASURED * 3);
    let rest = shares[3..].iter().sum::<f64>() / 197.0;
    for share in &shares[..3] {
        assert!(*share < 0.5 * rest, "{share:.5} of {rest:.5}");
    }
    let idle = fleet.longest_idle(MEASURED * 3);
    assert!(idle <= Duration::from_secs(10), "{idle:?}");
}

/// Guards against a dependence on the exchange: entries that lose half of the notices, or all of them, still share the work
/// in proportion to speed, from what each of them measures.
#[test]
fn lost_notices_do_not_distort_shares() {
    for (is_connected, loss) in [(true, 0.5), (false, 0.0)] {
        let mut fleet = SimulatedFleet::new(mixed_upstreams(), 10, 400.0);
        fleet.is_connected = is_connected;
        fleet.loss = loss;
        fleet.run(SETTLING_TIME);
        assert_proportional(&mut fleet, &MIXED_SPEEDS);
        assert!(fleet.refused * 100 <= fleet.placed, "{} of {}", fleet.refused, fleet.placed);
    }
}

/// Guards against a collapse under overload: at 1.3 times the capacity, requests are refused early enough that those that
/// are placed are on time.
#[test]
fn overload_is_refused_by_predicted_time() {
    let mut fleet = SimulatedFleet::new(mixed_upstreams(), 10, 1_365.0);
    fleet.run(SETTLING_TIME);
    (fleet.placed, fleet.late, fleet.refused) = (0, 0, 0);
    fleet.run(MEASURED);
    let capacity = 1_050.0 * MEASURED.as_secs_f64();
    assert!(fleet.placed as f64 >= 0.9 * capacity, "{} placed", fleet.placed);
    assert!(fleet.late * 4 <= fleet.placed, "{} late of {}", fleet.late, fleet.placed);
}
