//! Load of several entries on simulated engines, with and without load shedding.

mod common;

use std::time::Duration;

use proptest::prelude::*;

use common::simulation::{FleetOptions, FleetResult, Tally, run};

/// Required ratio between the served share of a rank or team and that of all requests.
const FLOOR: f64 = 0.25;
/// Length in seconds of the window in which the floor must hold.
const FLOOR_WINDOW: u64 = 8;

/// Prints the shares of each rank from second 5 on and returns them.
fn shares(name: &str, result: &FleetResult) -> [Tally; 3] {
    [0, 1, 2].map(|rank| {
        let tally = result.sum(5, 16, |of, _| of == rank);
        println!(
            "{name} rank {rank}: {} requests, {:.3} placed, {:.3} on time, {} placed late",
            tally.requests,
            tally.placed_share(),
            tally.on_time_share(),
            tally.placed_late
        );
        tally
    })
}

fn on_time(tallies: &[Tally; 3]) -> u32 {
    tallies.iter().map(|tally| tally.on_time).sum()
}

/// Guards against a delay-tolerant rank that fills the engines until urgent ranks are refused: the engines can serve
/// about 125 of the 180 requests per second.
#[test]
fn urgent_ranks_are_served_first_in_a_shortage() {
    let options = FleetOptions { rate: 180.0, ..FleetOptions::default() };
    let before = shares("before", &run(&FleetOptions { is_shedding: false, ..options.clone() }));
    let after = shares("after", &run(&options));
    assert!(before[0].on_time_share() < 0.6, "the simulation does not show the fault");
    assert!(after[0].on_time_share() > 0.85);
    assert!(after[0].on_time_share() > after[1].on_time_share());
    assert!(after[1].on_time_share() > after[2].on_time_share());
    // Capacity is not wasted by what is shed.
    assert!(f64::from(on_time(&after)) > 0.9 * f64::from(on_time(&before)));
}

/// Guards against shedding while the engines have room for all requests.
#[test]
fn nothing_is_shed_while_there_is_room() {
    let options = FleetOptions { rate: 90.0, ..FleetOptions::default() };
    let result = run(&options);
    for tally in shares("room", &result) {
        assert!(tally.on_time_share() > 0.95);
    }
    let highest = result.levels.values().copied().fold(0.0, f64::max);
    assert!(highest < 0.5, "mean level of the entries {highest}");
}

/// Guards against a level that flaps, which would serve and refuse the same rank alternately.
#[test]
fn level_is_steady_under_a_steady_load() {
    let options =
        FleetOptions { rate: 200.0, duration: Duration::from_secs(24), ..FleetOptions::default() };
    let result = run(&options);
    let settled: Vec<f64> = result.levels.range(8..).map(|(_, level)| *level).collect();
    println!("levels {settled:.2?}");
    let mean = settled.iter().sum::<f64>() / settled.len() as f64;
    for level in settled {
        assert!((level - mean).abs() < 0.7, "mean level {level} in one second, {mean} in all");
    }
}

/// Guards against urgent requests being shed for long after a shortage has passed.
#[test]
fn level_falls_after_a_burst() {
    let burst = Duration::from_secs(4);
    let result = run(&FleetOptions { rate: 260.0, burst: Some(burst), ..FleetOptions::default() });
    println!("levels {:.2?}", result.levels.values().collect::<Vec<_>>());
    let after = result.sum(11, 16, |_, _| true);
    assert!(after.on_time_share() > 0.95, "{}", after.on_time_share());
}

/// Guards against a team that takes the capacity of others while they have demand.
#[test]
fn team_with_a_burst_is_shed_before_others() {
    let options = FleetOptions {
        rate: 180.0,
        mix: [0.0, 1.0, 0.0],
        skew: 0.0,
        large_team: 0.5,
        ..FleetOptions::default()
    };
    let result = run(&options);
    let large = result.sum(5, 16, |_, team| team == 0);
    let small = result.sum(5, 16, |_, team| team != 0);
    println!("large {large:?}, others {small:?}");
    assert!(small.placed_share() > large.placed_share() + 0.1);
}

/// Lowest ratio between the served share of a rank or of a team and that of all requests, in any window.
fn lowest_ratio(result: &FleetResult, seconds: u64) -> (f64, String) {
    let mut lowest = (f64::INFINITY, String::new());
    for from in 3..=seconds - 2 - FLOOR_WINDOW {
        let to = from + FLOOR_WINDOW;
        let all = result.sum(from, to, |_, _| true).placed_share();
        let ranks =
            (0..3).map(|rank| (format!("rank {rank}"), result.sum(from, to, |of, _| of == rank)));
        let teams =
            (0..24).map(|team| (format!("team {team}"), result.sum(from, to, |_, of| of == team)));
        // In a smaller sample, chance alone leads below the floor.
        for (name, tally) in ranks.chain(teams).filter(|(_, tally)| tally.requests >= 30) {
            let ratio = tally.placed_share() / all;
            if ratio < lowest.0 {
                lowest = (ratio, format!("{name} from second {from}: {tally:?}, all {all:.3}"));
            }
        }
    }
    lowest
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, max_shrink_iters: 8, ..ProptestConfig::default() })]

    /// Guards against ranks or teams that starve, and against an inverted order of ranks, while the entries have
    /// different views: reports that are lost or never arrive, and entries that have just started.
    #[test]
    fn floor_and_order_hold_with_differing_views(
        entries in 4_usize..50,
        rate in 100.0..320.0_f64,
        urgent in 0.1..0.6_f64,
        skew in 0.0..1.3_f64,
        lost_reports in 0.0..0.7_f64,
        blind in 0.0..0.4_f64,
        restarted in 0.0..0.6_f64,
        ranks_by_team in any::<bool>(),
        seed in 0_u64..1_000_000,
    ) {
        let share_of = |share: f64| (entries as f64 * share) as usize;
        let options = FleetOptions {
            entries,
            rate,
            mix: [urgent, (1.0 - urgent) / 2.0, (1.0 - urgent) / 2.0],
            skew,
            lost_reports,
            blind_entries: share_of(blind),
            restarted_entries: share_of(restarted),
            ranks_by_team,
            seed,
            ..FleetOptions::default()
        };
        let result = run(&options);
        let (ratio, case) = lowest_ratio(&result, 20);
        prop_assert!(ratio >= FLOOR, "{ratio:.3}: {case}");
        let placed = [0, 1, 2].map(|rank| result.sum(5, 18, |of, _| of == rank).placed_share());
        // Chance in a sample of several hundred requests.
        let chance = 0.04;
        prop_assert!(placed[0] + chance >= placed[1] && placed[1] + chance >= placed[2], "{placed:.3?}");
    }
}
