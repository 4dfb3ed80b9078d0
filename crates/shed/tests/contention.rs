//! Which services count as contended.

mod common;

use std::time::Duration;

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
    assert_eq!(targets, [(&1, &Duration::from_millis(400))]);
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
