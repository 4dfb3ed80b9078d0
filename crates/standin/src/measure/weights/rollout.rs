//! Simulation of rolling upgrades, which compares the rollout policies `OwnTurn` and `FixedWaves`.

use std::{collections::VecDeque, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use weights::{RolloutGate, RolloutPolicy, UpstreamPhase};

use super::{rounded, run::peer_record};

const TICK: Duration = Duration::from_millis(250);
/// Delay with which a host sees the phases of the other hosts.
const VIEW_DELAY: Duration = Duration::from_secs(2);
/// Minimum and maximum time that an engine takes to load a version, in seconds.
const LOAD_TIME: (f64, f64) = (5.0, 10.0);
/// Time in seconds by which every host holds the complete new version. The first ones hold it after half of this time.
const TRANSFER_TIME: f64 = 20.0;
/// Maximum simulated duration of a rollout.
const MAX_DURATION: Duration = Duration::from_secs(7_200);

/// Results of one simulated rollout.
#[derive(Clone, Debug, Serialize)]
pub struct RolloutFigures {
    policy: &'static str,
    hosts: usize,
    floor: usize,
    deaths: usize,
    time_s: f64,
    is_finished: bool,
    least_ready: usize,
    /// Time in seconds with fewer ready upstreams than the floor.
    below_floor_s: f64,
}

struct RolloutHost {
    gate: RolloutGate,
    phase: UpstreamPhase,
    complete_at: f64,
    loaded_at: Option<Duration>,
    fails_at: Option<f64>,
    replaced_at: f64,
}

/// Simulates a rollout on `hosts` upstreams, of which `floor` have to stay ready. `deaths` of them fail at random times
/// and are replaced after a minute by hosts that load the new version immediately.
#[must_use]
pub fn simulate_rollout(
    policy: RolloutPolicy,
    hosts: usize,
    floor: usize,
    deaths: usize,
    seed: u64,
) -> RolloutFigures {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet: Vec<_> = (0..hosts)
        .map(|index| RolloutHost {
            gate: RolloutGate::new(policy, peer_record(index).host, floor),
            phase: UpstreamPhase::Fetching,
            complete_at: rng.random_range(TRANSFER_TIME / 2.0..TRANSFER_TIME),
            loaded_at: None,
            fails_at: (index < deaths).then(|| rng.random_range(5.0..60.0)),
            replaced_at: f64::MAX,
        })
        .collect();
    // Distributes the failing hosts randomly over the rollout order.
    for index in 0..deaths {
        let other = rng.random_range(0..hosts);
        let fails_at = fleet[index].fails_at;
        fleet[index].fails_at = fleet[other].fails_at;
        fleet[other].fails_at = fails_at;
    }
    let mut history: VecDeque<Vec<UpstreamPhase>> = VecDeque::new();
    let mut figures = RolloutFigures {
        policy: if policy == RolloutPolicy::OwnTurn { "own-turn" } else { "fixed-waves" },
        hosts,
        floor,
        deaths,
        time_s: 0.0,
        is_finished: false,
        least_ready: hosts,
        below_floor_s: 0.0,
    };
    let mut elapsed = Duration::ZERO;
    while elapsed < MAX_DURATION && !figures.is_finished {
        let lag = (VIEW_DELAY.as_millis() / TICK.as_millis()) as usize;
        history.push_back(fleet.iter().map(|host| host.phase).collect());
        if history.len() > lag + 1 {
            history.pop_front();
        }
        let mut view: Vec<_> =
            (0..).map(|index| peer_record(index).host).zip(history[0].iter().copied()).collect();
        for index in 0..hosts {
            let (own, listed) = (fleet[index].phase, view[index].1);
            view[index].1 = own;
            fleet[index].step(elapsed, &view, &mut rng);
            view[index].1 = listed;
        }
        let ready = fleet.iter().filter(|host| host.phase.is_ready()).count();
        figures.least_ready = figures.least_ready.min(ready);
        if ready < floor {
            figures.below_floor_s += TICK.as_secs_f64();
        }
        elapsed += TICK;
        figures.is_finished = fleet.iter().all(|host| host.phase == UpstreamPhase::Done);
    }
    figures.time_s = rounded(elapsed.as_secs_f64());
    figures
}

impl RolloutHost {
    fn step(&mut self, elapsed: Duration, view: &weights::RolloutView, rng: &mut ChaCha8Rng) {
        let seconds = elapsed.as_secs_f64();
        if self.fails_at.is_some_and(|at| seconds >= at) {
            self.fails_at = None;
            self.phase = UpstreamPhase::Unavailable;
            self.loaded_at = None;
            self.replaced_at = seconds + 60.0;
        }
        let load_time = Duration::from_secs_f64(rng.random_range(LOAD_TIME.0..LOAD_TIME.1));
        match self.phase {
            UpstreamPhase::Unavailable if seconds >= self.replaced_at => {
                self.phase = UpstreamPhase::Switching;
                self.loaded_at = Some(elapsed + load_time);
            }
            UpstreamPhase::Fetching | UpstreamPhase::Waiting if seconds >= self.complete_at => {
                self.phase = UpstreamPhase::Waiting;
                self.gate.set_complete(true);
                if self.gate.is_open(view) {
                    self.phase = UpstreamPhase::Switching;
                    self.loaded_at = Some(elapsed + load_time);
                }
            }
            UpstreamPhase::Switching if self.loaded_at.is_some_and(|at| elapsed >= at) => {
                self.phase = UpstreamPhase::Done;
            }
            _ => {}
        }
    }
}
