//! Which services count as contended.

mod common;

use std::time::Duration;

use fleet::{RoutingConfig, TeamRecord};
use shed::ContentionTable;

use common::{config, route};

/// Guards against load shedding at services whose routes all have the same priority, which are served as before.
#[test]
fn service_is_ranked_if_its_routes_have_different_priorities() {
    let mut table = ContentionTable::new();
    assert!(!table.is_contended("equal"));
    let routes = vec![route("equal", 1, 400), route("equal", 1, 500), route("ranked", 0, 400)];
    table.set_config(&config([routes, vec![route("ranked", 2, 1_000)]].concat()));
    assert!(!table.is_contended("equal"));
    assert!(table.is_ranked("ranked") && table.is_contended("ranked"));
    let targets: Vec<_> = table.ranks("equal").unwrap().iter().collect();
    assert_eq!(targets, [(&0, &Duration::from_millis(400))]);
    table.set_config(&config(vec![route("ranked", 0, 400)]));
    assert!(!table.is_contended("ranked") && table.ranks("equal").is_none());
}

/// Guards against forgetting, with each new configuration, what upstreams have stated.
#[test]
fn shared_hosts_are_remembered_while_the_service_is_configured() {
    let mut table = ContentionTable::new();
    assert!(!table.record_shared_host(&"equal".into()));
    table.set_config(&config(vec![route("equal", 1, 400)]));
    assert!(table.record_shared_host(&"equal".into()));
    assert!(!table.record_shared_host(&"equal".into()));
    table.set_config(&config(vec![route("equal", 1, 400), route("other", 1, 400)]));
    assert!(table.has_shared_hosts("equal") && table.is_contended("equal"));
    assert!(!table.is_ranked("equal") && !table.is_contended("other"));
    table.set_config(&config(vec![route("other", 1, 400)]));
    assert!(!table.has_shared_hosts("equal"));
}

/// Guards against serving the requests of all routes alike because their teams have the same priority, and against putting
/// the priority of a route before that of a team.
#[test]
fn priority_of_the_team_takes_precedence_and_that_of_the_route_comes_second() {
    let mut table = ContentionTable::new();
    let routes = vec![route("ranked", 0, 400), route("ranked", 2, 1_000), route("equal", 1, 400)];
    let team = |name: &str, priority| TeamRecord {
        team: name.into(),
        keys: Vec::new(),
        priority,
        allowed_regions: Vec::new(),
    };
    let teams = vec![team("first", Some(0)), team("second", Some(1)), team("none", None)];
    table.set_config(&RoutingConfig { teams: Some(teams), ..config(routes) });
    let order = [(Some(0), 0), (Some(0), 2), (Some(1), 0), (Some(1), 2), (None, 2)];
    let ranks = order.map(|(team, route)| table.rank_of("ranked", team, route));
    assert!(ranks.is_sorted_by(|left, right| left < right), "{ranks:?}");
    assert_eq!(table.rank_of("ranked", None, 0), ranks[0]);
    // At a service that is not ranked, the order of its requests is none of load shedding's business.
    assert!([Some(0), Some(1), None].map(|team| table.rank_of("equal", team, 1)) == [0; 3]);
}
