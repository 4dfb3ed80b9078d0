//! Guards against requests that are counted after they have left a window, twice or not at all, and against a report
//! that does not show how fast an error budget is used up.

use std::time::{Duration, Instant};

use base::{Outcome, TeamId};
use burn::{BurnReport, ObjectiveSet, RequestKind, ServiceMeter};
use proptest::prelude::*;

const FAST_LATENCY: Duration = Duration::from_millis(100);

fn window_totals(report: &BurnReport) -> Vec<u64> {
    report.rows[0].windows.iter().map(|row| row.counts.total()).collect()
}

#[test]
fn requests_leave_each_window_after_its_length() {
    let start = Instant::now();
    let mut meter = ServiceMeter::new(start, ObjectiveSet::default());
    meter.record(start, &"t".into(), RequestKind::Keyed, Outcome::NotRun, FAST_LATENCY);
    let mut totals = |seconds| window_totals(&meter.report(start + Duration::from_secs(seconds)));
    assert_eq!(totals(0), [1, 1, 1]);
    assert_eq!(totals(301), [0, 1, 1]);
    assert_eq!(totals(3_601), [0, 0, 1]);
    assert!(meter.report(start + Duration::from_secs(21_601)).rows.is_empty());
}

#[test]
fn burn_rate_and_exhaustion_are_computed_from_the_objective() {
    let start = Instant::now();
    let mut meter = ServiceMeter::new(start, ObjectiveSet::default());
    for index in 0..100 {
        let latency = if index < 5 { Duration::from_secs(1) } else { FAST_LATENCY };
        meter.record(start, &"t".into(), RequestKind::Model, Outcome::Answered, latency);
    }
    let row = &meter.report(start).rows[0];
    assert!(
        (row.windows[0].burn_rate - 1.0).abs() < 1e-9,
        "5 late requests of 100 use up exactly the whole budget"
    );
    assert_eq!(row.exhausted_in_s, Some(0));
    let mut meter = ServiceMeter::new(start, ObjectiveSet::default());
    for index in 0..1_000 {
        let outcome = if index < 5 { Outcome::Unknown } else { Outcome::Answered };
        meter.record(start, &"t".into(), RequestKind::Idempotent, outcome, FAST_LATENCY);
    }
    // Half of the budget remains, and the burn rate is one half, so the budget lasts for one whole period.
    let exhausted = meter.report(start).rows[0].exhausted_in_s.expect("the burn rate is above 0");
    assert!(exhausted.abs_diff(burn::BUDGET_PERIOD.as_secs()) <= 1);
}

#[test]
fn report_shows_every_result_as_text_and_json() {
    let start = Instant::now();
    let mut meter = ServiceMeter::new(start, ObjectiveSet::default());
    for (team, kind, outcome, latency) in [
        ("survey-south", RequestKind::Model, Outcome::Answered, FAST_LATENCY),
        ("survey-south", RequestKind::Model, Outcome::Answered, Duration::from_secs(2)),
        ("survey-south", RequestKind::Keyed, Outcome::Unknown, FAST_LATENCY),
        ("trail", RequestKind::Idempotent, Outcome::NotRun, FAST_LATENCY),
    ] {
        meter.record(start, &team.into(), kind, outcome, latency);
    }
    let report = meter.report(start);
    insta::assert_snapshot!(report.to_string());
    let json = serde_json::to_string(&report).expect("the report is serializable");
    assert_eq!(serde_json::from_str::<BurnReport>(&json).expect("the JSON form is valid"), report);
    let merged = BurnReport::merged([report.clone(), report]);
    assert_eq!(merged.rows.len(), 3);
    assert_eq!(window_totals(&merged), [4, 4, 4]);
}

proptest! {
    #[test]
    fn every_request_is_counted_exactly_once(
        events in prop::collection::vec((0..600u64, 0..3usize, 0..3usize), 0..200),
    ) {
        let start = Instant::now();
        let mut meter = ServiceMeter::new(start, ObjectiveSet::default());
        let outcomes = [Outcome::Answered, Outcome::NotRun, Outcome::Unknown];
        let (mut elapsed, mut request_times) = (0, Vec::new());
        for (step, team, outcome) in events {
            elapsed += step;
            request_times.push(elapsed);
            let (now, team) = (start + Duration::from_secs(elapsed), TeamId::from(team.to_string()));
            meter.record(now, &team, RequestKind::Model, outcomes[outcome], FAST_LATENCY);
            let report = meter.report(now);
            for (index, window) in [300, 3_600, 21_600].into_iter().enumerate() {
                let counted: u64 =
                    report.rows.iter().map(|row| row.windows[index].counts.total()).sum();
                let count_within = |length: u64| {
                    request_times.iter().filter(|time| elapsed - **time < length).count() as u64
                };
                prop_assert!(
                    counted <= count_within(window)
                        && counted >= count_within(window - window / 30)
                );
            }
        }
    }
}
