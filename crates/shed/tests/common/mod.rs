//! Configurations for the tests.

#![allow(dead_code, reason = "each test uses only a part")]

pub mod simulation;

use std::time::Duration;

use fleet::{ClientLimits, RetryPolicy, RouteBackend, RouteRecord, RoutingConfig};

/// Route of a service with a priority and a latency target.
pub fn route(service: &str, priority: u8, target_ms: u64) -> RouteRecord {
    RouteRecord {
        name: format!("{service}-{priority}-{target_ms}").into(),
        host: "host.example".into(),
        prefix: "/".into(),
        repeat: RetryPolicy::Idempotent,
        timeout: Duration::from_secs(6),
        target_latency: Duration::from_millis(target_ms),
        target_gap: None,
        priority,
        backends: vec![RouteBackend { service: service.into(), weight: 1 }],
        max_attempts: 2,
        public: true,
        allowed_regions: Vec::new(),
    }
}

/// Configuration with these routes.
pub fn config(routes: Vec<RouteRecord>) -> RoutingConfig {
    let limits = ClientLimits {
        max_header_bytes: 1 << 14,
        max_body_bytes: 1 << 20,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    RoutingConfig { version: 1, routes, services: Vec::new(), limits, teams: None }
}
