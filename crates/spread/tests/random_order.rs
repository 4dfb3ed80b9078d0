//! Random sequences of events: no process ever adopts an older document, and healed fleets converge.

mod common;

use std::time::Duration;

use common::Fleet;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Publish(u64),
    Restart(usize),
    Pause(usize),
    Resume,
    Partition(usize, bool),
    Heal,
    SetServiceUp(bool),
    Run(u64),
}

fn steps(count: usize) -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (1..40_u64).prop_map(Step::Publish),
        (0..count).prop_map(Step::Restart),
        (0..count).prop_map(Step::Pause),
        Just(Step::Resume),
        (1..4_usize, any::<bool>())
            .prop_map(|(modulus, service)| Step::Partition(modulus, service)),
        Just(Step::Heal),
        any::<bool>().prop_map(Step::SetServiceUp),
        (100..8_000_u64).prop_map(Step::Run),
    ];
    proptest::collection::vec(step, 1..25)
}

fn apply(fleet: &mut Fleet, step: &Step) {
    match *step {
        Step::Publish(revision) => fleet.service.publish(revision),
        Step::Restart(index) => fleet.start(index),
        Step::Pause(index) => drop(fleet.paused.insert(index)),
        Step::Resume => fleet.paused.clear(),
        Step::Partition(modulus, service) => {
            fleet.partitioned =
                fleet.cores.keys().copied().filter(|index| index % (modulus + 1) == 0).collect();
            fleet.is_service_partitioned = service;
        }
        Step::Heal => fleet.partitioned.clear(),
        Step::SetServiceUp(is_up) => fleet.service.is_up = is_up,
        Step::Run(ms) => fleet.run(Duration::from_millis(ms)),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn never_downgrades(seed in 0..1000_u64, steps in steps(9)) {
        let mut fleet = Fleet::started(9, seed);
        for step in &steps {
            apply(&mut fleet, step);
        }
        prop_assert_eq!(fleet.downgrades, 0);
    }

    #[test]
    fn converges_after_a_partition_heals(seed in 0..1000_u64, steps in steps(9)) {
        let mut fleet = Fleet::started(9, seed);
        for step in &steps {
            apply(&mut fleet, step);
        }
        fleet.partitioned.clear();
        fleet.paused.clear();
        // If any process holds a document, all of them, including restarted ones, have to converge without the service.
        let service_needed = (0..9).all(|index| fleet.revision(index) == 0);
        fleet.service.is_up = service_needed;
        fleet.run(Duration::from_secs(if service_needed { 45 } else { 10 }));
        let highest = (0..9).map(|index| fleet.revision(index)).max().unwrap();
        prop_assert!(fleet.all_hold(highest), "{:?}", (0..9).map(|index| fleet.revision(index)).collect::<Vec<_>>());
        prop_assert!(fleet.all_are_fresh());
        prop_assert_eq!(fleet.downgrades, 0);
    }
}
