//! Distribution of configurations over real sockets: every node adopts each change, and no node reverts to an older
//! one.

use std::time::Duration;

use standin::measure::control::{ControlFault, ControlOptions, measure_control};

fn check(fault: ControlFault) {
    let options = ControlOptions {
        nodes: 8,
        seed: 1,
        duration: Duration::from_secs(12),
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

/// Guards against a replaced node that starts with an older configuration or is not reached at its new address.
#[test]
fn changes_reach_a_restarted_node() {
    check(ControlFault::Restart);
}

/// Guards against a paused node that misses the changes published during its pause.
#[test]
fn changes_reach_a_paused_node() {
    check(ControlFault::Pause);
}

/// Guards against adopting an invalid document, and against an invalid document that blocks the next valid one.
#[test]
fn invalid_document_is_adopted_by_no_node() {
    check(ControlFault::FaultyDocument);
}
