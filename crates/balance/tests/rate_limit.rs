//! Tests limits that upstreams state for the requests of all entries together.

use std::time::{Duration, Instant};

use balance::{LimitChange, LimitStatement, LoadBalancer, LoadBalancerOptions};
use base::UpstreamId;
use fleet::{FleetView, UpstreamRecord};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

struct LimitFixture {
    balancer: LoadBalancer,
    upstream: UpstreamId,
    start: Instant,
    rng: ChaCha8Rng,
}

impl LimitFixture {
    fn new() -> Self {
        let fixture = Self {
            balancer: LoadBalancer::new(LoadBalancerOptions::default()),
            upstream: "u".into(),
            start: Instant::now(),
            rng: ChaCha8Rng::seed_from_u64(1),
        };
        fixture.with_upstream(1)
    }

    /// Lists the upstream as a process that started at `started_ms`.
    fn with_upstream(mut self, started_ms: u64) -> Self {
        let record = UpstreamRecord {
            upstream: self.upstream.clone(),
            service: "desk".into(),
            address: "10.0.0.1:8000".parse().expect("the address is valid"),
            data_centre: "north".into(),
            slots: 6,
            draining: false,
            cold_for: Duration::ZERO,
            weights: Vec::new(),
            started_ms,
        };
        let mut view = FleetView::default();
        view.set_upstreams(vec![(record.into(), None)]);
        self.balancer.set_view(&view, self.start);
        self
    }

    /// Records a response that arrives `at` after the start to a request that was sent at `sent`.
    fn respond(&mut self, sent: u64, at: u64, statement: LimitStatement) -> Option<LimitChange> {
        let (sent, at) = (self.start + millis(sent), self.start + millis(at));
        self.balancer.record_limit(&self.upstream, statement, sent, at, &mut self.rng)
    }

    fn limit(&self) -> Option<f64> {
        self.balancer.load_of(&self.upstream, self.start).rate_limit
    }
}

/// Guards against a response from before the statement that arrives late and ends the limit.
#[test]
fn response_to_a_request_sent_before_the_statement_does_not_end_the_limit() {
    let mut fixture = LimitFixture::new();
    assert_eq!(fixture.respond(0, 50, LimitStatement::Absent), None);
    let change = fixture.respond(60, 100, LimitStatement::PerSecond(2.3));
    assert_eq!(change.map(|change| (change.before, change.after)), Some((None, Some(2.3))));
    assert_eq!(fixture.respond(70, 120, LimitStatement::Absent), None);
    assert_eq!(fixture.limit(), Some(2.3));
    let change = fixture.respond(110, 200, LimitStatement::Absent);
    assert_eq!(change.map(|change| (change.before, change.after)), Some((Some(2.3), None)));
    assert_eq!(fixture.limit(), None);
}

/// Guards against a value that cannot be read and ends a limit that is still in force.
#[test]
fn unreadable_statement_keeps_the_limit_in_force() {
    let mut fixture = LimitFixture::new();
    let change = fixture.respond(0, 50, LimitStatement::Unreadable);
    assert_eq!(change, Some(LimitChange { before: None, after: None, unreadable: true }));
    assert_eq!(fixture.limit(), None);
    fixture.respond(60, 100, LimitStatement::PerSecond(4.0));
    let change = fixture.respond(110, 150, LimitStatement::Unreadable);
    assert_eq!(change.map(|change| change.unreadable), Some(true));
    assert_eq!(fixture.respond(120, 160, LimitStatement::Unreadable), None, "only reported once");
    assert_eq!(fixture.limit(), Some(4.0));
}

/// Guards against a process that inherits the limit of the one that ran under the same id before.
#[test]
fn restarted_upstream_has_no_limit_until_it_states_one() {
    let mut fixture = LimitFixture::new();
    fixture.respond(0, 50, LimitStatement::PerSecond(0.0));
    assert_eq!(fixture.limit(), Some(0.0));
    let fixture = fixture.with_upstream(2);
    assert_eq!(fixture.limit(), None);
}
