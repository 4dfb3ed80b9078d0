//! Random orders of events: no process ever moves down, and healed fleets agree.

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
    Cut(usize, bool),
    Heal,
    Service(bool),
    Run(u64),
}

fn steps(count: usize) -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (1..40_u64).prop_map(Step::Publish),
        (0..count).prop_map(Step::Restart),
        (0..count).prop_map(Step::Pause),
        Just(Step::Resume),
        (1..4_usize, any::<bool>()).prop_map(|(of, service)| Step::Cut(of, service)),
        Just(Step::Heal),
        any::<bool>().prop_map(Step::Service),
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
        Step::Cut(of, service) => {
            fleet.cut = fleet.cores.keys().copied().filter(|index| index % (of + 1) == 0).collect();
            fleet.cut_from_service = service;
        }
        Step::Heal => fleet.cut.clear(),
        Step::Service(up) => fleet.service.up = up,
        Step::Run(ms) => fleet.run(Duration::from_millis(ms)),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn never_reverts(seed in 0..1000_u64, steps in steps(9)) {
        let mut fleet = Fleet::started(9, seed);
        for step in &steps {
            apply(&mut fleet, step);
        }
        prop_assert_eq!(fleet.reverts, 0);
    }

    #[test]
    fn converges_after_a_partition_heals(seed in 0..1000_u64, steps in steps(9)) {
        let mut fleet = Fleet::started(9, seed);
        for step in &steps {
            apply(&mut fleet, step);
        }
        fleet.cut.clear();
        fleet.paused.clear();
        // Without the service, the peers alone have to agree; restarted processes too, if any peer holds a document.
        let service_needed = (0..9).all(|index| fleet.revision(index) == 0);
        fleet.service.up = service_needed;
        fleet.run(Duration::from_secs(if service_needed { 45 } else { 10 }));
        let highest = (0..9).map(|index| fleet.revision(index)).max().unwrap();
        prop_assert!(fleet.all_at(highest), "{:?}", (0..9).map(|index| fleet.revision(index)).collect::<Vec<_>>());
        prop_assert!(fleet.all_fresh());
        prop_assert_eq!(fleet.reverts, 0);
    }
}
