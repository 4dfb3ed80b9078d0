//! Guards against restrictions to regions that are lost when a route or an entry is looked up.

use std::{sync::Arc, time::Duration};

use base::RegionId;
use fleet::{ClientLimits, FleetView, RetryPolicy, RouteRecord, RoutingConfig, RoutingIndex};

fn route(host: &str, prefix: &str, regions: &[&str]) -> RouteRecord {
    RouteRecord {
        name: prefix.into(),
        host: host.into(),
        prefix: prefix.into(),
        repeat: RetryPolicy::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        target_gap: None,
        priority: 0,
        backends: Vec::new(),
        max_attempts: 1,
        public: false,
        allowed_regions: regions.iter().map(|region| (*region).into()).collect(),
    }
}

fn view(routes: Vec<RouteRecord>) -> FleetView {
    let config = RoutingConfig {
        version: 1,
        routes,
        services: Vec::new(),
        limits: ClientLimits {
            max_header_bytes: 1,
            max_body_bytes: 1,
            header_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        },
        teams: None,
    };
    let mut view = FleetView::default();
    view.set_routing(Arc::new(RoutingIndex::new(Arc::new(config))));
    view
}

fn names(regions: &[&str]) -> Vec<RegionId> {
    regions.iter().map(|region| (*region).into()).collect()
}

/// Guards against entries that may serve only some of the routes of a host: which route a caller needs is not known.
#[test]
fn named_entries_may_serve_every_route_of_the_host() {
    let routes = vec![
        route("h", "/a/", &["r", "s"]),
        route("h", "/b/", &["s", "t"]),
        route("h", "/", &[]),
        route("other", "/", &["u"]),
    ];
    assert_eq!(view(routes).entry_regions("h"), Some(names(&["s"])));
}

/// Guards against entries that may serve no route of the host, if no region may serve all of them.
#[test]
fn named_entries_may_serve_some_route_if_none_may_serve_every_one() {
    let routes = vec![route("h", "/a/", &["r"]), route("h", "/b/", &["s"]), route("h", "/", &[])];
    let mut regions = view(routes).entry_regions("h").expect("the host is known");
    regions.sort_unstable();
    assert_eq!(regions, names(&["r", "s"]));
}

#[test]
fn every_entry_is_named_if_no_route_of_the_host_is_restricted() {
    assert_eq!(view(vec![route("h", "/", &[])]).entry_regions("h"), Some(names(&[])));
}

/// Guards against entries of any region for a host that only a newer configuration knows and may restrict.
#[test]
fn regions_of_an_unknown_host_are_unknown() {
    assert_eq!(view(vec![route("h", "/", &[])]).entry_regions("later"), None);
    assert_eq!(FleetView::default().entry_regions("h"), None);
}
