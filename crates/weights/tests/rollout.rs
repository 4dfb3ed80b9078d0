//! Rolling changes of version: the floor of ready upstreams, in any order of observations.

use base::UpstreamId;
use proptest::prelude::*;
use weights::{RolloutGate, RolloutPolicy, RolloutView, UpstreamPhase};

fn id(index: usize) -> UpstreamId {
    format!("u{index:02}").into()
}

fn view(phases: &[UpstreamPhase]) -> RolloutView {
    (0..).zip(phases).map(|(index, phase)| (id(index), *phase)).collect()
}

fn may_switch(policy: RolloutPolicy, floor: usize, own: usize, phases: &[UpstreamPhase]) -> bool {
    let mut gate = RolloutGate::new(policy, id(own), floor);
    gate.set_whole(true);
    gate.is_open(&view(phases))
}

/// Guards against a host that leaves the old version before it holds the new one.
#[test]
fn gate_stays_closed_until_the_version_is_whole() {
    let phases = view(&[UpstreamPhase::Waiting; 4]);
    let mut gate = RolloutGate::new(RolloutPolicy::OwnTurn, id(0), 1);
    assert!(!gate.is_open(&phases));
    gate.set_whole(true);
    assert!(gate.is_open(&phases));
    gate.set_whole(false);
    assert!(!gate.is_open(&phases));
}

/// Guards against two hosts that leave together because the first one was still fetching when the second one decided.
#[test]
fn hosts_before_this_one_count_while_they_fetch() {
    use UpstreamPhase::{Fetching, Waiting};
    assert!(!may_switch(RolloutPolicy::OwnTurn, 2, 1, &[Fetching, Waiting, Waiting]));
    assert!(may_switch(RolloutPolicy::OwnTurn, 1, 1, &[Fetching, Waiting, Waiting]));
}

/// Guards against a change that falls below the floor because an upstream is down.
#[test]
fn upstreams_that_are_down_count_against_the_floor() {
    use UpstreamPhase::{Gone, Switching, Waiting};
    let phases = [Waiting, Waiting, Gone, Switching];
    assert!(!may_switch(RolloutPolicy::OwnTurn, 2, 0, &phases));
    assert!(may_switch(RolloutPolicy::OwnTurn, 1, 0, &phases));
    assert!(!may_switch(RolloutPolicy::OwnTurn, 1, 1, &phases));
}

/// Guards against a preset whose floor equals its replicas blocking every change of version for ever.
#[test]
fn without_spare_upstreams_hosts_switch_one_at_a_time() {
    use UpstreamPhase::{Done, Switching, Waiting};
    assert!(may_switch(RolloutPolicy::OwnTurn, 3, 0, &[Waiting; 3]));
    assert!(!may_switch(RolloutPolicy::OwnTurn, 3, 1, &[Waiting; 3]));
    assert!(!may_switch(RolloutPolicy::OwnTurn, 3, 1, &[Switching, Waiting, Waiting]));
    assert!(may_switch(RolloutPolicy::OwnTurn, 3, 1, &[Done, Waiting, Waiting]));
}

proptest! {
    /// Guards against hosts that see the same state and together fall below the floor.
    #[test]
    fn hosts_that_agree_keep_the_floor(
        phases in proptest::collection::vec(0_u8..5, 2..30),
        floor in 0_usize..30,
    ) {
        let phases: Vec<_> = phases.into_iter().map(|phase| match phase {
            0 => UpstreamPhase::Gone,
            1 => UpstreamPhase::Fetching,
            2 => UpstreamPhase::Switching,
            3 => UpstreamPhase::Done,
            _ => UpstreamPhase::Waiting,
        }).collect();
        let ready = phases.iter().filter(|phase| phase.is_ready()).count();
        let old = [UpstreamPhase::Waiting, UpstreamPhase::Fetching];
        let old = (0..phases.len()).filter(|own| old.contains(&phases[*own]));
        let switching = old.filter(|own| may_switch(RolloutPolicy::OwnTurn, floor, *own, &phases)).count();
        if ready > floor {
            prop_assert!(ready - switching >= floor);
        } else {
            prop_assert!(switching <= usize::from(phases.len() <= floor));
        }
    }
}
