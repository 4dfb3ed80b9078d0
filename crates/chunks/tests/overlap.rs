//! Guards against superseded transfers that hold up the newest version, and against chunks fetched for a version that is
//! not completed.

mod fleet_sim;

use std::time::Duration;

use fleet_sim::{FleetSim, OriginState, SimOptions};

const LIMIT: Duration = Duration::from_secs(30);
/// Longest delay of the newest version by earlier declarations.
const MAX_DELAY: Duration = Duration::from_secs(1);

fn options() -> [SimOptions; 2] {
    [
        SimOptions { agents: 40, origin_mbit: 9.9, ..SimOptions::default() },
        SimOptions { agents: 45, origin_mbit: 15.0, chunks: 96, ..SimOptions::default() },
    ]
}

fn single(options: &SimOptions) -> Duration {
    let mut sim = FleetSim::new(options.clone());
    sim.declare(2);
    sim.run_to_complete(2, LIMIT)
}

/// The transfers of two versions ran concurrently, and the newer one was staged 13 s after its declaration.
#[test]
fn newest_version_arrives_as_if_it_were_the_only_one() {
    for options in options() {
        let alone = single(&options);
        for gap_ms in [300, 1_000, 2_000, 3_000] {
            for versions in 2..=4 {
                let mut sim = FleetSim::new(options.clone());
                let gap = Duration::from_millis(gap_ms);
                for index in 0..versions {
                    sim.run_until(gap * index);
                    sim.declare(u64::from(index) + 2);
                }
                let newest = u64::from(versions) + 1;
                let declared = gap * (versions - 1);
                let took = sim.run_to_complete(newest, LIMIT) - declared;
                assert!(
                    took <= alone + MAX_DELAY,
                    "{took:?}, alone {alone:?}, {versions} versions {gap:?} apart, {options:?}"
                );
            }
        }
    }
}

/// A version that is superseded after 0.3 s costs little of the origin's link.
#[test]
fn abandoned_version_costs_less_than_half_a_copy() {
    for options in options() {
        let mut sim = FleetSim::new(options.clone());
        sim.declare(2);
        sim.run_until(Duration::from_millis(300));
        sim.declare(3);
        sim.run_to_complete(3, LIMIT);
        assert!(sim.copies(2) < 0.5, "{} copies, {options:?}", sim.copies(2));
        assert_eq!(sim.repeated_chunks(3), 0, "{options:?}");
        assert!(sim.agents.iter().all(|agent| !agent.complete.contains_key(&2)));
    }
}

/// The origin fails right after the newer declaration. The older version, which the agents hold, keeps the engines in
/// service and meets its bound.
#[test]
fn older_version_completes_from_peers_while_the_origin_is_down() {
    for options in options() {
        let mut sim = FleetSim::new(options.clone());
        sim.origin = vec![
            (Duration::ZERO, OriginState::Up),
            (Duration::from_millis(2_600), OriginState::Resets),
            (Duration::from_millis(8_600), OriginState::Up),
        ];
        sim.declare(2);
        sim.run_until(Duration::from_millis(2_500));
        sim.declare(3);
        let older = sim.run_to_complete(2, LIMIT);
        assert!(older < Duration::from_secs(6), "{older:?}, {options:?}");
        let newer = sim.run_to_complete(3, LIMIT) - Duration::from_millis(8_600);
        assert!(newer <= single(&options) + MAX_DELAY, "{newer:?}, {options:?}");
    }
}

/// Entries tell the agents at different times, up to seconds apart when datagrams are lost.
#[test]
fn agents_that_learn_of_versions_late_catch_up() {
    for options in options() {
        let mut sim = FleetSim::new(options.clone());
        let start = sim.start;
        for step in 0..40_u32 {
            sim.run_until(Duration::from_millis(100) * step);
            for agent in 0..options.agents {
                if agent as u32 % 20 == step {
                    sim.begin(agent, 2, start);
                } else if agent as u32 % 20 + 10 == step {
                    sim.begin(agent, 3, start + Duration::from_secs(1));
                }
            }
        }
        let last_learned = Duration::from_millis(2_900);
        let done = sim.run_to_complete(3, LIMIT);
        assert!(done <= last_learned + single(&options) + MAX_DELAY, "{done:?}, {options:?}");
        assert!(sim.failed_calls.is_empty());
    }
}

/// A restarted agent has lost its buffered chunks and gets them from the others.
#[test]
fn restarted_agent_does_not_call_the_origin() {
    for options in options() {
        let mut sim = FleetSim::new(options.clone());
        let start = sim.start;
        sim.declare(2);
        sim.run_to_complete(2, LIMIT);
        let copies = sim.copies(2);
        sim.restart(3);
        sim.begin(3, 2, start);
        sim.run_to_complete(2, LIMIT);
        assert!((sim.copies(2) - copies).abs() < f64::EPSILON);
    }
}

/// Entries derive the time at which callers may return from this estimate.
#[test]
fn expected_time_of_the_weights_is_realistic_or_unknown() {
    for options in options() {
        let chunk_time = options.chunk_time();
        let mut sim = FleetSim::new(options.clone());
        sim.declare(2);
        sim.run_until(Duration::from_secs(1));
        let now = sim.now;
        let estimates: Vec<Option<Duration>> = sim
            .agents
            .iter()
            .map(|agent| agent.transfers.newest_remaining(chunk_time, now))
            .collect();
        sim.run_to_complete(2, LIMIT);
        for (agent, estimate) in sim.agents.iter().zip(estimates) {
            let estimate = estimate.expect("the origin responds").as_secs_f64();
            let actual = (agent.complete[&2] - now).as_secs_f64();
            let ratio = estimate / actual;
            assert!((0.5..2.0).contains(&ratio), "expected {estimate}, took {actual}");
        }
        let mut sim = FleetSim::new(options.clone());
        sim.origin = vec![(Duration::ZERO, OriginState::Resets)];
        sim.declare(2);
        sim.run_until(Duration::from_secs(2));
        let is_unknown = |agent: &fleet_sim::SimAgent| {
            agent.transfers.newest_remaining(chunk_time, sim.now).is_none()
        };
        assert!(sim.agents.iter().all(is_unknown));
    }
}
