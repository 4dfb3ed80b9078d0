//! Guards against ranks and teams that get no turns under lasting shortage, whatever the mix of requests.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wait::{RoomBounds, WaitingRoom, WaitingWork, WorkId};

const TICK: Duration = Duration::from_millis(10);
const WINDOW: Duration = Duration::from_secs(8);
const WINDOWS: u32 = 3;

#[derive(Clone, Debug)]
struct Mix {
    /// Requests per second.
    demand: f64,
    /// Fraction of the demand that can be placed.
    supply: f64,
    /// Relative demand of each rank and team.
    ranks: Vec<f64>,
    teams: Vec<f64>,
    seed: u64,
}

fn mix() -> impl Strategy<Value = Mix> {
    let weights = |count| prop::collection::vec(1.0..10.0_f64, count);
    (11.0..28.0_f64, 0.25..0.9_f64, weights(2..4_usize), weights(1..7_usize), any::<u64>())
        .prop_map(|(demand, supply, ranks, teams, seed)| Mix { demand, supply, ranks, teams, seed })
}

fn pick(weights: &[f64], rng: &mut ChaCha8Rng) -> usize {
    let mut left = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return index;
        }
    }
    weights.len() - 1
}

/// Offered and served requests.
type Counts = HashMap<String, (u32, u32)>;

fn run(mix: &Mix) -> Vec<Counts> {
    let mut rng = ChaCha8Rng::seed_from_u64(mix.seed);
    let mut room = WaitingRoom::new(RoomBounds::default());
    let mut now = Instant::now();
    let mut keys: HashMap<WorkId, [String; 3]> = HashMap::new();
    let mut windows = Vec::new();
    let mut supply = 0.0;
    for _ in 0..WINDOWS {
        let mut counts = Counts::new();
        let end = now + WINDOW;
        while now < end {
            now += TICK;
            if rng.random_bool(mix.demand * TICK.as_secs_f64()) {
                let (rank, team) = (pick(&mix.ranks, &mut rng), pick(&mix.teams, &mut rng));
                let id = keys.len() as WorkId + 1;
                let own = ["all".to_owned(), format!("rank {rank}"), format!("team {team}")];
                own.iter().for_each(|key| counts.entry(key.clone()).or_default().0 += 1);
                keys.insert(id, own);
                let wait_until = now + Duration::from_millis(300);
                room.offer(
                    WaitingWork {
                        id,
                        rank: rank as u8,
                        team: team.to_string().into(),
                        bytes: 100,
                        is_late: false,
                        is_returned: false,
                        wait_until,
                    },
                    now,
                );
            }
            room.expire(now);
            supply = f64::min(supply + mix.demand * mix.supply * TICK.as_secs_f64(), 2.0);
            while supply >= 1.0
                && let Some(id) = room.next(now)
            {
                supply -= 1.0;
                room.settle(id, true, now);
                keys[&id].iter().for_each(|key| counts.entry(key.clone()).or_default().1 += 1);
            }
        }
        windows.push(counts);
    }
    windows
}

proptest! {
    #[test]
    fn each_rank_and_team_gets_a_quarter_of_the_common_share(mix in mix()) {
        for counts in run(&mix) {
            let (all, all_served) = counts["all"];
            for (key, (offered, served)) in counts {
                // Whole requests, as far as they fit into a quarter of the share.
                let due = offered * all_served / (4 * all);
                prop_assert!(served >= due, "{key}: {served} of {offered}, all: {all_served} of {all}");
            }
        }
    }
}
