//! Replays overload at a model of one entry and its share of the engines, with requests refused at once and with
//! requests that wait. Guards against waiting that serves fewer callers, or the wrong ones.

mod support;

use std::time::{Duration, Instant};

use support::{LoadPhase, LoadReport, LoadSetup, report, run_load};

/// Number of entries, each with callers and a share of the engines of its own.
const ENTRIES: u64 = 40;

/// Results of all entries: first with refusals at once, then with waiting.
fn compare(name: &str, phases: &[LoadPhase]) -> (LoadReport, LoadReport) {
    let start = Instant::now();
    let run = |waits: bool| {
        let run_entry = |seed| run_load(&LoadSetup { phases, start, waits, impatient: 0.0, seed });
        report(&mut (0..ENTRIES).flat_map(run_entry).collect::<Vec<_>>())
    };
    let (before, after) = (run(false), run(true));
    println!("{name}: before {before}\n{name}: after  {after}");
    (before, after)
}

fn steady(seconds: u64) -> LoadPhase {
    LoadPhase { length: Duration::from_secs(seconds), per_second: 10.0, speed: 1.0 }
}

fn check(before: &LoadReport, after: &LoadReport) {
    assert!(after.served_share() > before.served_share(), "fewer callers were served");
    assert!(after.value_share() > before.value_share(), "less value was earned");
    let urgent = after.rank_value_share(0);
    let tolerant = after.rank_value_share(2);
    assert!(urgent >= tolerant, "the urgent class earned {urgent}, the tolerant one {tolerant}");
    for (rank, starved) in after.starved_ranks.iter().enumerate() {
        assert_eq!(*starved, 0, "rank {rank} got less than a quarter of its share over 8 s");
    }
    assert_eq!(after.starved_teams, 0, "a team got less than a quarter of its share over 8 s");
}

#[test]
fn burst_of_two_and_a_half_times_for_four_seconds() {
    let burst = LoadPhase { length: Duration::from_secs(4), per_second: 27.5, speed: 1.0 };
    let (before, after) = compare("burst", &[steady(4), burst, steady(8)]);
    check(&before, &after);
}

#[test]
fn engines_that_are_slow_for_half_a_second() {
    let slow = LoadPhase { length: Duration::from_millis(500), per_second: 10.0, speed: 0.4 };
    let (before, after) = compare("slow", &[steady(4), slow, steady(4), slow, steady(6)]);
    check(&before, &after);
}

#[test]
fn lasting_shortage() {
    let short = LoadPhase { length: Duration::from_secs(20), per_second: 22.0, speed: 1.0 };
    let (before, after) = compare("shortage", &[short, steady(6)]);
    check(&before, &after);
}

/// Guards against callers that are served better because they do not return at the time that they are told.
#[test]
fn impatient_callers_gain_nothing() {
    let start = Instant::now();
    let short = LoadPhase { length: Duration::from_secs(20), per_second: 22.0, speed: 1.0 };
    let phases = &[short, steady(6)];
    let run_entry =
        |seed| run_load(&LoadSetup { phases, start, waits: true, impatient: 0.3, seed });
    let report = report(&mut (0..ENTRIES).flat_map(run_entry).collect::<Vec<_>>());
    let [patient, impatient] = report.patience_value_shares();
    println!("patient: value={patient:.3} impatient: value={impatient:.3}");
    assert!(impatient <= patient, "impatient callers earned {impatient}, patient ones {patient}");
}
