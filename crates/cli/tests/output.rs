//! Snapshots of the output that operators see.

use std::time::Duration;

use cli::commands::{self, diff, explain, status};
use config::{ConfigDiff, FleetConfig};
use gateway::entry::status::{EntryStatus, UpstreamStatus, WaitingStatus};
use insta::assert_snapshot;
use pace::SpeedEstimate;
use serde_json::json;
use shed::{RankUsage, ServiceUsage, ShedCause, TeamUsage};

const EXAMPLE: &str = include_str!("../../../examples/fleet.json");

#[test]
fn help_lists_every_subcommand() {
    assert_snapshot!(commands::cli().render_help());
}

#[test]
fn diff_is_readable() {
    let old = FleetConfig::parse(EXAMPLE.as_bytes()).unwrap();
    let mut new = old.clone();
    new.revision = 2;
    new.preset = config::PresetName::Peak;
    new.data_centres[1].out = true;
    new.services.clear();
    let text = diff::render(&old, &new, &ConfigDiff::new(&old, &new));
    assert_snapshot!(text);
}

#[test]
fn status_is_readable() {
    let status = json!({
        "role": "entry", "revision": 7, "preset": "peak", "config_age_s": 12,
        "alarms": ["configuration 8 refused: models[0].current"],
        "data_centres": [{"id": "rajkot-a", "region": "saurashtra", "out": true}],
        "hosts": [{"id": "entry-1", "role": "entry", "data_centre": "rajkot-a", "state": "live"}],
        "upstreams": [
            {"upstream": "engine-1", "data_centre": "rajkot-a", "reachable": true, "draining": true,
             "upstream_up": true, "revision": 7, "limit": 4, "in_use": 1, "queued": 0,
             "ready": [{"model": "routes", "manifest": "1111111111111111111111111111"}]},
            {"upstream": "engine-2", "data_centre": "bannau", "reachable": false}
        ]
    });
    assert_snapshot!(status::render(&status));
}

/// Guards against lines of other requests, here one whose id starts with the requested id, and against sorting by file
/// instead of by time.
#[test]
fn explain_sorts_lines_of_one_request_by_time() {
    let first = "2026-09-13T20:38:07.689Z [INFO] event=request_ended request=0839 result=broken\n\
                 2026-09-13T20:38:07.690Z [INFO] event=request_ended request=08391 result=answered\n";
    let second = "2026-09-13T20:38:07.559Z [INFO] event=stream_broken request=0839 cause=stalled\n";
    assert_snapshot!(explain::explain("0839", [first, second].into_iter()), @r"
    2026-09-13T20:38:07.559Z [INFO] event=stream_broken request=0839 cause=stalled
    2026-09-13T20:38:07.689Z [INFO] event=request_ended request=0839 result=broken
    ");
    assert_eq!(explain::explain("999", [first].into_iter()), "");
}

fn shedding() -> ServiceUsage {
    let rank = |rank, requests, placed, refused| RankUsage {
        rank,
        fair_use: (rank == 2).then_some(2.5),
        requests,
        placed,
        refused,
    };
    let team = |team: &str, offered, placed, is_beyond_share| TeamUsage {
        team: team.into(),
        offered,
        placed,
        is_beyond_share,
    };
    ServiceUsage {
        service: "llm".into(),
        level: 1.25,
        levels: 2,
        ranks: vec![
            rank(0, 12.0, 12.0, Vec::new()),
            rank(2, 20.0, 8.0, vec![(ShedCause::Rank, 10.0), (ShedCause::Late, 2.0)]),
        ],
        teams: vec![team("rabo238", 4.0, 3.0, true), team("zida833", 1.0, 1.0, false)],
    }
}

#[test]
fn status_of_an_entry_on_a_platform_is_readable() {
    let upstream = |upstream: &str, load, cold_ms, draining| UpstreamStatus {
        upstream: upstream.into(),
        service: "llm".into(),
        data_centre: "north".into(),
        address: "10.0.0.9:8240".parse().expect("an address"),
        draining,
        version: Some(2),
        load,
        in_flight: 3,
        cold_ms,
        suspended: false,
        rate_limit: (!draining).then_some(2.3),
        recent_sends: 9,
        leaving: draining,
        wait_ms: cold_ms,
        speed: None,
        share: None,
    };
    let status = EntryStatus {
        name: "front-1".into(),
        ready: true,
        leaving: false,
        revision: 41,
        config_version: Some(7),
        knowledge_age_ms: Some(120),
        in_flight: 5,
        entries: vec!["front-1".into(), "front-2".into()],
        evacuated: vec!["south".into()],
        declared: vec![("daka".into(), 2)],
        waiting: vec![WaitingStatus {
            service: "llm".into(),
            rank: 1,
            requests: 4,
            late: 1,
            longest_ms: 230,
        }],
        upstreams: vec![
            upstream("i-1", Some((12, 3)), 0, false),
            upstream("i-2", None, 900, true),
            UpstreamStatus {
                service: "rank".into(),
                version: None,
                rate_limit: None,
                speed: Some(SpeedEstimate {
                    work: Some(Duration::from_millis(83)),
                    relative: 2.04,
                    knee: 0.71,
                    slowdown: 1.5,
                    load_per_slot: 0.38,
                    usual_load: 0.4,
                    load: None,
                    weight: 6.2,
                    age: Some(Duration::from_millis(140)),
                }),
                share: Some(0.0172),
                ..upstream("i-3", None, 0, false)
            },
        ],
        shedding: vec![shedding()],
    };
    assert_snapshot!(status::render_entry(&status));
}
