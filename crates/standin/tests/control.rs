//! Dissemination on real sockets: a change is in force on every node, and no node goes back.

use std::time::Duration;

use standin::measure::control::{ControlFault, ControlOptions, measure_control};

fn check(fault: ControlFault) {
    let options = ControlOptions {
        nodes: 8,
        seed: 1,
        span: Duration::from_secs(12),
        changes_a_day: 172_800,
        upstreams: 50,
        listed_hosts: 0,
        fault: Some(fault),
    };
    let report = measure_control(&options).expect("the measurement runs");
    assert!(report.changes >= 8, "{report:?}");
    assert_eq!((report.reverts, report.not_in_force, report.faulty_in_force), (0, 0, 0));
    assert!(report.in_force_max_s <= 6.0, "{report:?}");
    assert!(report.peak_reads_per_s < 200, "{report:?}");
}

/// Guards against a replaced node that starts with an older configuration or is not found under its new address.
#[test]
fn changes_reach_a_restarted_node() {
    check(ControlFault::Restart);
}

/// Guards against a paused node that misses what changed meanwhile.
#[test]
fn changes_reach_a_paused_node() {
    check(ControlFault::Pause);
}

/// Guards against a faulty document in force and against one that blocks the next good one.
#[test]
fn faulty_document_is_in_force_nowhere() {
    check(ControlFault::FaultyDocument);
}
