//! Dissemination on real sockets: a change is in force on every node, and no node goes back.

use std::time::Duration;

use standin::measure::control::{ControlFault, ControlOptions, measure_control};

fn options(fault: ControlFault) -> ControlOptions {
    ControlOptions {
        nodes: 8,
        seed: 1,
        span: Duration::from_secs(9),
        changes_a_day: 172_800,
        upstreams: 50,
        listed_hosts: 0,
        fault: Some(fault),
    }
}

/// Guards against a node that misses changes or adopts an older one, with one fault each.
#[test]
fn changes_reach_every_node_and_nothing_reverts() {
    for fault in [ControlFault::Restart, ControlFault::Pause, ControlFault::FaultyDocument] {
        let report = measure_control(&options(fault)).expect("the measurement runs");
        assert!(report.changes >= 8, "{report:?}");
        assert_eq!((report.reverts, report.not_in_force, report.faulty_in_force), (0, 0, 0));
        assert!(report.in_force_max_s <= 6.0, "{report:?}");
        assert!(report.peak_reads_per_s < 200, "{report:?}");
    }
}
