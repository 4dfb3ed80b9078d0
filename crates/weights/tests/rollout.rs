//! Rollouts: the floor of ready upstreams holds in every state of the upstreams.

use base::UpstreamId;
use proptest::prelude::*;
use weights::{RolloutGate, RolloutPolicy, RolloutView, UpstreamPhase};

fn id(index: usize) -> UpstreamId {
    format!("u{index:02}").into()
}

fn view(phases: &[UpstreamPhase]) -> RolloutView {
    (0..).zip(phases).map(|(index, phase)| (id(index), *phase)).collect()
}

fn is_gate_open(policy: RolloutPolicy, floor: usize, own: usize, phases: &[UpstreamPhase]) -> bool {
    let mut gate = RolloutGate::new(policy, id(own), floor);
    gate.set_complete(true);
    gate.is_open(&view(phases))
}

/// Guards against a host that stops serving the old version before it holds the new one.
#[test]
fn gate_stays_closed_until_the_version_is_complete() {
    let phases = view(&[UpstreamPhase::Waiting; 4]);
    let mut gate = RolloutGate::new(RolloutPolicy::OwnTurn, id(0), 1);
    assert!(!gate.is_open(&phases));
    gate.set_complete(true);
    assert!(gate.is_open(&phases));
    gate.set_complete(false);
    assert!(!gate.is_open(&phases));
}

/// Guards against two hosts that switch at the same time because the first was still fetching when the second decided.
#[test]
fn hosts_before_this_one_count_while_they_fetch() {
    use UpstreamPhase::{Fetching, Waiting};
    assert!(!is_gate_open(RolloutPolicy::OwnTurn, 2, 1, &[Fetching, Waiting, Waiting]));
    assert!(is_gate_open(RolloutPolicy::OwnTurn, 1, 1, &[Fetching, Waiting, Waiting]));
}

/// Guards against a rollout that falls below the floor because an upstream is down.
#[test]
fn upstreams_that_are_down_count_against_the_floor() {
    use UpstreamPhase::{Switching, Unavailable, Waiting};
    let phases = [Waiting, Waiting, Unavailable, Switching];
    assert!(!is_gate_open(RolloutPolicy::OwnTurn, 2, 0, &phases));
    assert!(is_gate_open(RolloutPolicy::OwnTurn, 1, 0, &phases));
    assert!(!is_gate_open(RolloutPolicy::OwnTurn, 1, 1, &phases));
}

/// Guards against rollouts that never start because the floor of the preset equals its number of replicas.
#[test]
fn without_spare_upstreams_hosts_switch_one_at_a_time() {
    use UpstreamPhase::{Done, Switching, Waiting};
    assert!(is_gate_open(RolloutPolicy::OwnTurn, 3, 0, &[Waiting; 3]));
    assert!(!is_gate_open(RolloutPolicy::OwnTurn, 3, 1, &[Waiting; 3]));
    assert!(!is_gate_open(RolloutPolicy::OwnTurn, 3, 1, &[Switching, Waiting, Waiting]));
    assert!(is_gate_open(RolloutPolicy::OwnTurn, 3, 1, &[Done, Waiting, Waiting]));
}

proptest! {
    /// Guards against hosts that decide on the same state and together fall below the floor.
    #[test]
    fn hosts_that_agree_keep_the_floor(
        phases in proptest::collection::vec(0_u8..5, 2..30),
        floor in 0_usize..30,
    ) {
        let phases: Vec<_> = phases.into_iter().map(|phase| match phase {
            0 => UpstreamPhase::Unavailable,
            1 => UpstreamPhase::Fetching,
            2 => UpstreamPhase::Switching,
            3 => UpstreamPhase::Done,
            _ => UpstreamPhase::Waiting,
        }).collect();
        let ready = phases.iter().filter(|phase| phase.is_ready()).count();
        let old = [UpstreamPhase::Waiting, UpstreamPhase::Fetching];
        let old = (0..phases.len()).filter(|own| old.contains(&phases[*own]));
        let switching = old.filter(|own| is_gate_open(RolloutPolicy::OwnTurn, floor, *own, &phases)).count();
        if ready > floor {
            prop_assert!(ready - switching >= floor);
        } else {
            prop_assert!(switching <= usize::from(phases.len() <= floor));
        }
    }
}
