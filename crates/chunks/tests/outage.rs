//! Guards against an origin that is overrun while it is down or when it returns, and against chunks that it sends twice.

mod fleet_sim;

use std::time::Duration;

use fleet_sim::{FleetSim, OriginState, SimOptions};

const LIMIT: Duration = Duration::from_secs(30);
const DOWN: Duration = Duration::from_millis(500);
const RETURN: Duration = Duration::from_millis(6_500);
/// Fewer failed calls than this may be made by the whole fleet within a second.
const MAX_FAILED: usize = 10;
/// Longest time from the start of a transfer, or from the return of the origin, until it sends at full rate.
const FULL_RATE_AFTER: Duration = Duration::from_millis(200);

fn fleet(agents: usize, regions: usize, origin_mbit: f64, chunks: u32) -> SimOptions {
    SimOptions { agents, regions, origin_mbit, chunks, ..SimOptions::default() }
}

fn fleets() -> [SimOptions; 3] {
    [fleet(32, 2, 9.9, 96), fleet(45, 2, 15.0, 48), fleet(76, 3, 4.4, 48)]
}

fn run(options: &SimOptions, origin: Vec<(Duration, OriginState)>) -> FleetSim {
    let mut sim = FleetSim::new(options.clone());
    sim.origin = origin;
    sim.declare(2);
    sim.run_to_complete(2, LIMIT);
    sim
}

fn outage(state: OriginState) -> Vec<(Duration, OriginState)> {
    vec![(Duration::ZERO, OriginState::Up), (DOWN, state), (RETURN, OriginState::Up)]
}

/// 75 agents made 39 to 123 failed calls a second, and after the origin's return their simultaneous fetches exceeded the
/// timeout, so that it sent 2.4 copies.
#[test]
fn outage_causes_few_calls_and_one_copy() {
    for options in fleets().into_iter().chain([fleet(265, 3, 9.9, 48)]) {
        for state in [OriginState::Resets, OriginState::Hangs, OriginState::Full] {
            if options.agents > 76 && state != OriginState::Resets {
                continue;
            }
            let sim = run(&options, outage(state));
            let failed = sim.most_failed(Duration::ZERO, LIMIT);
            assert!(
                failed < MAX_FAILED,
                "{failed} failed calls in a second: {state:?} {options:?}"
            );
            let repeated = sim.repeated_chunks(2);
            assert_eq!(repeated, 0, "chunks sent twice: {state:?} {options:?}");
        }
    }
}

/// The fleet must neither wait for the end of a backoff nor for a takeover.
#[test]
fn origin_sends_at_full_rate_soon_after_a_declaration() {
    for options in fleets() {
        let sim = run(&options, Vec::new());
        let after = sim.full_rate_after(Duration::ZERO).expect("the origin sends at full rate");
        assert!(after < FULL_RATE_AFTER, "{after:?}: {options:?}");
        assert_eq!(sim.repeated_chunks(2), 0, "chunks sent twice: {options:?}");
    }
}

/// A probe every few hundred milliseconds finds the origin; all fetchers must then use it at once.
#[test]
fn origin_sends_at_full_rate_soon_after_its_return() {
    let (mut total, mut runs) = (Duration::ZERO, 0);
    for options in fleets() {
        for state in [OriginState::Resets, OriginState::Full] {
            for seed in 1..=2 {
                let sim = run(&SimOptions { seed, ..options.clone() }, outage(state));
                total += sim.full_rate_after(RETURN).expect("the origin sends at full rate");
                runs += 1;
            }
        }
    }
    let mean = total / runs;
    assert!(mean < FULL_RATE_AFTER, "{mean:?} in {runs} runs");
}

/// A corrupt chunk shows that the origin responds, so that no agent may stop fetching.
#[test]
fn corrupt_chunks_do_not_stop_the_fetchers() {
    for options in fleets() {
        let sound = run(&options, Vec::new()).elapsed();
        let sim = run(&options, vec![(Duration::ZERO, OriginState::Corrupts(0.04))]);
        assert!(sim.elapsed() < sound.mul_f64(1.25), "{:?} {sound:?}: {options:?}", sim.elapsed());
        assert_eq!(sim.repeated_chunks(2), 0, "intact chunks sent twice: {options:?}");
        assert_eq!(sim.failed_calls.len(), 0);
    }
}

/// The agents that probe the origin fail during the outage, so the next ones in the order have to find it.
#[test]
fn failed_probers_are_replaced() {
    for options in fleets() {
        let mut sim = FleetSim::new(options.clone());
        sim.origin = outage(OriginState::Resets);
        sim.declare(2);
        sim.run_until(Duration::from_secs(2));
        sim.stop_callers(2);
        sim.run_to_complete(2, LIMIT);
        let after = sim.full_rate_after(RETURN).expect("the origin sends at full rate");
        assert!(after < Duration::from_secs(2), "{after:?}: {options:?}");
    }
}

/// The newest version must be complete within 1.25 times the time that its bytes need on the slowest link.
#[test]
fn transfer_completes_soon_after_the_return() {
    let mut late = Vec::new();
    for options in fleets().into_iter().chain([fleet(265, 3, 9.9, 48)]) {
        let origin = vec![(Duration::ZERO, OriginState::Resets), (RETURN, OriginState::Up)];
        let after = run(&options, origin).elapsed() - RETURN;
        let factor = after.as_secs_f64() / options.needed().as_secs_f64();
        if factor > 1.25 {
            late.push((options.agents, options.chunks, options.origin_mbit, factor));
        }
    }
    assert!(late.is_empty(), "agents, chunks, Mbit/s of the origin, factor: {late:?}");
}
