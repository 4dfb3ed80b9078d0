//! Guards against overload, starvation, work that starts after its deadline, and refusals of work that has started,
//! under any order of events.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use base::RefusalReason;
use limit::{
    AdmissionAction, AdmissionControl, AdmissionGate, AdmissionOptions, LimitOptions, TeamShares,
    UpstreamEpoch, WorkId, WorkItem, WorkResult,
};
use proptest::prelude::*;

const QUEUE_LENGTH: usize = 8;
const SERVICE_TIME: Duration = Duration::from_millis(200);

fn new_control(cold: u32, warm: u32, queue_length: usize) -> AdmissionControl {
    AdmissionControl::new(AdmissionOptions { limit: LimitOptions::new(cold, warm), queue_length })
}

fn item(id: WorkId, team: &str, now: Instant) -> WorkItem {
    let deadline = now + Duration::from_secs(30);
    WorkItem { id, team: team.into(), priority: 4, deadline, isolated: false }
}

fn success() -> WorkResult {
    WorkResult::Success { latency: SERVICE_TIME }
}

fn started(actions: &[AdmissionAction]) -> Vec<WorkId> {
    let id = |action: &AdmissionAction| match action {
        AdmissionAction::Start(id) => Some(*id),
        _ => None,
    };
    actions.iter().filter_map(id).collect()
}

fn refused(actions: &[AdmissionAction]) -> Vec<(WorkId, RefusalReason)> {
    let refusal = |action: &AdmissionAction| match action {
        AdmissionAction::Refuse(id, refusal) => Some((*id, refusal.reason)),
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}

/// Keeps work of every team queued for `dispatches` dispatches and counts the dispatches of each team.
fn count_dispatches(teams: &[(&str, u32)], dispatches: usize) -> HashMap<String, usize> {
    let mut now = Instant::now();
    let mut control = new_control(1, 1, 64);
    let shares: TeamShares = teams.iter().map(|(team, share)| ((*team).into(), *share)).collect();
    control.set_shares(shares);
    let mut team_by_id = HashMap::new();
    let mut counts = HashMap::new();
    let mut next_id = 0;
    let mut running = Vec::new();
    for _ in 0..dispatches {
        for (team, _) in teams {
            next_id += 1;
            team_by_id.insert(next_id, (*team).to_owned());
            running.extend(started(&control.offer(item(next_id, team, now), now)));
        }
        now += Duration::from_millis(1);
        let id = running.remove(0);
        *counts.entry(team_by_id[&id].clone()).or_default() += 1;
        running.extend(started(&control.finish(id, success(), now)));
    }
    counts
}

/// Guards against a large team that gets more than its share while others wait.
#[test]
fn dispatches_are_proportional_to_shares() {
    let small = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let mut teams: Vec<_> = small.iter().map(|team| (*team, 1)).collect();
    teams.extend([("large-1", 4), ("large-2", 8)]);
    let counts = count_dispatches(&teams, 2_000);
    for (team, share) in teams {
        let expected = 2_000.0 * f64::from(share) / 20.0;
        let actual = counts[team] as f64;
        assert!(
            (actual - expected).abs() <= expected * 0.05 + 2.0,
            "{team}: {actual} dispatches, expected {expected}"
        );
    }
}

/// Guards against a team with long requests that gets more of the upstream's time than its share.
#[test]
fn teams_are_charged_for_service_time() {
    let mut control = new_control(1, 1, 64);
    let mut now = Instant::now();
    let mut service_times = HashMap::new();
    let mut running = Vec::new();
    for id in (0..2_000).step_by(2) {
        running.extend(started(&control.offer(item(id, "long", now), now)));
        running.extend(started(&control.offer(item(id + 1, "short", now), now)));
        let id = running.remove(0);
        let service = if id % 2 == 0 { 3 * SERVICE_TIME } else { SERVICE_TIME };
        now += service;
        *service_times.entry(id % 2).or_insert(Duration::ZERO) += service;
        running.extend(started(&control.finish(id, success(), now)));
    }
    let ratio = service_times[&0].as_secs_f64() / service_times[&1].as_secs_f64();
    assert!(
        (0.8..1.25).contains(&ratio),
        "service time of long requests relative to short ones: {ratio}"
    );
}

/// Guards against an idle share that other teams cannot use.
#[test]
fn idle_shares_are_used_by_other_teams() {
    let mut control = new_control(4, 4, 64);
    let now = Instant::now();
    control.set_shares([("a".into(), 1), ("b".into(), 100)].into_iter().collect());
    let first: Vec<_> = (0..10).flat_map(|id| control.offer(item(id, "a", now), now)).collect();
    assert_eq!(started(&first).len(), 4, "one team uses the whole limit");
    control.offer(item(99, "b", now), now);
    assert_eq!(started(&control.finish(0, success(), now)), [99], "the idle team goes next");
}

/// Guards against a flood of requests from one team that fills the queue and keeps the others out.
#[test]
fn full_queue_displaces_work_of_the_team_above_its_share() {
    let mut control = new_control(1, 1, QUEUE_LENGTH);
    let now = Instant::now();
    for id in 0..=QUEUE_LENGTH as u64 {
        assert!(refused(&control.offer(item(id, "flood", now), now)).is_empty());
    }
    let same_team = control.offer(item(100, "flood", now), now);
    assert_eq!(refused(&same_team), [(100, RefusalReason::Overloaded)]);
    let other_team = control.offer(item(101, "small", now), now);
    assert_eq!(refused(&other_team), [(QUEUE_LENGTH as u64, RefusalReason::Overloaded)]);
}

/// Guards against starvation of low priorities, and against priorities without effect.
#[test]
fn priority_orders_work_within_a_team_until_age_outweighs_it() {
    let mut control = new_control(1, 1, 64);
    let start = Instant::now();
    let with_priority = |id, priority, now| WorkItem { priority, ..item(id, "a", now) };
    control.offer(item(0, "a", start), start);
    control.offer(with_priority(1, 0, start), start);
    control.offer(with_priority(2, 9, start), start);
    assert_eq!(started(&control.finish(0, success(), start)), [2]);
    let late = start + Duration::from_secs(10);
    control.offer(with_priority(3, 9, late), late);
    assert_eq!(started(&control.finish(2, WorkResult::Neutral, late)), [1]);
}

/// Guards against isolated work that runs together with other work or waits forever behind a stream of it.
#[test]
fn isolated_work_runs_alone_and_is_not_starved() {
    let mut control = new_control(2, 2, 64);
    let now = Instant::now();
    control.offer(item(0, "a", now), now);
    control.offer(item(1, "a", now), now);
    control.offer(WorkItem { isolated: true, ..item(2, "b", now) }, now);
    control.offer(item(3, "a", now), now);
    assert!(started(&control.finish(0, success(), now)).is_empty(), "the isolated work is next");
    assert_eq!(started(&control.finish(1, success(), now)), [2]);
    assert!(started(&control.offer(item(4, "c", now), now)).is_empty(), "it runs alone");
    assert_eq!(started(&control.finish(2, success(), now)).len(), 2);
}

/// Guards against work that is sent to the upstream after its deadline.
#[test]
fn expired_work_is_refused_and_not_started() {
    let mut control = new_control(1, 1, 64);
    let now = Instant::now();
    let soon = now + Duration::from_millis(50);
    control.offer(item(0, "a", now), now);
    control.offer(WorkItem { deadline: soon, ..item(1, "a", now) }, now);
    assert_eq!(control.next_wakeup(), Some(soon));
    let actions = control.finish(0, success(), soon);
    assert_eq!(refused(&actions), [(1, RefusalReason::DeadlineExceeded)]);
    assert!(started(&actions).is_empty());
}

/// Guards against callers that wait for work that cannot start before its deadline: it is refused immediately, with a
/// retry delay.
#[test]
fn work_that_cannot_meet_its_deadline_is_refused_immediately() {
    let mut control = new_control(1, 1, 64);
    let start = Instant::now();
    control.offer(item(0, "a", start), start);
    let now = start + Duration::from_secs(1);
    control.offer(item(1, "a", now), now);
    // This success sets the average service time to one second.
    assert_eq!(started(&control.finish(0, success(), now)), [1]);
    control.offer(item(2, "a", now), now);
    let deadline = now + Duration::from_millis(500);
    let actions = control.offer(WorkItem { deadline, ..item(3, "a", now) }, now);
    let [AdmissionAction::Refuse(3, refusal)] = actions[..] else {
        panic!("expected one refusal, got {actions:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::Overloaded);
    assert_eq!(refusal.retry_after, Duration::from_millis(1_500));
}

/// Guards against a drain that accepts new work or ends work in flight.
#[test]
fn closed_gate_refuses_queued_and_new_work_only() {
    let mut control = new_control(1, 1, 64);
    let now = Instant::now();
    control.offer(item(0, "a", now), now);
    control.offer(item(1, "a", now), now);
    let actions = control.set_gate(AdmissionGate::Closed(RefusalReason::Draining), now);
    assert_eq!(refused(&actions), [(1, RefusalReason::Draining)]);
    assert_eq!(refused(&control.offer(item(2, "a", now), now)), [(2, RefusalReason::Draining)]);
    assert_eq!(control.in_use(), 1);
    assert!(control.finish(0, success(), now).is_empty());
    control.set_gate(AdmissionGate::Open, now);
    assert_eq!(started(&control.offer(item(3, "a", now), now)), [3]);
}

/// Guards against queued work that starts while the state of the fleet is out of date after a pause.
#[test]
fn held_gate_keeps_queued_work_until_it_opens() {
    let mut control = new_control(1, 1, 64);
    let now = Instant::now();
    control.offer(item(0, "a", now), now);
    control.offer(item(1, "a", now), now);
    control.set_gate(AdmissionGate::Held(RefusalReason::Refreshing), now);
    assert!(control.finish(0, success(), now).is_empty());
    assert_eq!(refused(&control.offer(item(2, "a", now), now)), [(2, RefusalReason::Refreshing)]);
    assert_eq!(started(&control.set_gate(AdmissionGate::Open, now)), [1]);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Offer { team: u8, priority: u8, deadline_ms: u64, isolated: bool },
    Finish(usize, WorkResult),
    Withdraw(u64),
    Advance(u64),
    Observe(u64, u64),
    Lost,
    Gate(AdmissionGate),
    Bounds(u32, u32),
}

fn step() -> impl Strategy<Value = Step> {
    let offer = (0u8..5, 0u8..10, 0u64..3_000, prop::bool::weighted(0.1)).prop_map(
        |(team, priority, deadline_ms, isolated)| Step::Offer {
            team,
            priority,
            deadline_ms,
            isolated,
        },
    );
    let result = prop_oneof![
        4 => (1u64..2_000).prop_map(|ms| WorkResult::Success { latency: Duration::from_millis(ms) }),
        1 => Just(WorkResult::Neutral),
        1 => Just(WorkResult::Overloaded),
    ];
    let gate = prop_oneof![
        3 => Just(AdmissionGate::Open),
        1 => Just(AdmissionGate::Held(RefusalReason::Refreshing)),
        1 => Just(AdmissionGate::Closed(RefusalReason::Draining)),
    ];
    prop_oneof![
        20 => offer,
        14 => (0usize..16, result).prop_map(|(index, result)| Step::Finish(index, result)),
        1 => (0u64..100).prop_map(Step::Withdraw),
        6 => (0u64..400).prop_map(Step::Advance),
        1 => (0u64..2, 0u64..2).prop_map(|(incarnation, cache)| Step::Observe(incarnation, cache)),
        1 => Just(Step::Lost),
        2 => gate.prop_map(Step::Gate),
        1 => (1u32..4, 1u32..8).prop_map(|(cold, warm)| Step::Bounds(cold, warm)),
    ]
}

/// Work that is queued or running according to the actions seen so far.
#[derive(Default)]
struct Observer {
    items: HashMap<WorkId, WorkItem>,
    waiting: HashSet<WorkId>,
    running: Vec<WorkId>,
}

impl Observer {
    fn apply(
        &mut self,
        actions: &[AdmissionAction],
        control: &AdmissionControl,
        now: Instant,
    ) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                AdmissionAction::Start(id) => {
                    prop_assert!(self.waiting.remove(id), "{id} started twice or after its end");
                    let item = &self.items[id];
                    prop_assert!(item.deadline > now, "{id} started after its deadline");
                    let is_idle = self.running.is_empty();
                    prop_assert!(!item.isolated || is_idle, "{id} does not run alone");
                    let isolated_running =
                        self.running.iter().any(|other| self.items[other].isolated);
                    prop_assert!(!isolated_running, "{id} started while isolated work runs");
                    self.running.push(*id);
                    prop_assert!(
                        self.running.len() <= control.limit() as usize,
                        "more work runs than the limit allows"
                    );
                }
                AdmissionAction::Refuse(id, refusal) => {
                    prop_assert!(self.waiting.remove(id), "{id} was refused after it started");
                    prop_assert!(refusal.retry_after > Duration::ZERO);
                }
                AdmissionAction::LimitDecreased(_) => {}
            }
        }
        prop_assert_eq!(control.in_use() as usize, self.running.len());
        prop_assert_eq!(control.queued(), self.waiting.len());
        prop_assert!(
            control.queued() <= QUEUE_LENGTH + 1,
            "more work is queued than the queue and one isolated request"
        );
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Guards against an exceeded limit, work that starts after its deadline, isolated work that does not run alone,
    /// work that is lost or counted twice, and an unbounded queue.
    #[test]
    fn invariants_hold_under_any_order_of_events(steps in prop::collection::vec(step(), 1..300)) {
        let mut control = new_control(2, 6, QUEUE_LENGTH);
        let mut observer = Observer::default();
        let mut now = Instant::now();
        for (id, step) in steps.into_iter().enumerate() {
            let id = id as WorkId;
            let actions = match step {
                Step::Offer { team, priority, deadline_ms, isolated } => {
                    let deadline = now + Duration::from_millis(deadline_ms);
                    let team = format!("team-{team}").into();
                    let item = WorkItem { id, team, priority, deadline, isolated };
                    observer.items.insert(id, item.clone());
                    observer.waiting.insert(id);
                    control.offer(item, now)
                }
                Step::Finish(index, result) => {
                    if index >= observer.running.len() { continue; }
                    let id = observer.running.remove(index);
                    control.finish(id, result, now)
                }
                Step::Withdraw(id) => {
                    prop_assert_eq!(control.cancel(id), observer.waiting.remove(&id));
                    control.tick(now)
                }
                Step::Advance(millis) => {
                    now += Duration::from_millis(millis);
                    control.tick(now)
                }
                Step::Observe(incarnation, cache_epoch) => {
                    control.observe_epoch(UpstreamEpoch { incarnation, cache_epoch });
                    Vec::new()
                }
                Step::Lost => {
                    control.record_upstream_lost();
                    Vec::new()
                }
                Step::Gate(gate) => control.set_gate(gate, now),
                Step::Bounds(cold, warm) => {
                    control.set_bounds(cold, warm);
                    control.tick(now)
                }
            };
            observer.apply(&actions, &control, now)?;
        }
        // No work may be queued while the upstream is idle and the gate is open.
        let actions = control.set_gate(AdmissionGate::Open, now);
        observer.apply(&actions, &control, now)?;
        prop_assert!(observer.waiting.is_empty() || !observer.running.is_empty());
    }

    /// Guards against a team that is not served for a long time while others flood the queue, for any shares.
    #[test]
    fn every_waiting_team_gets_its_share_of_dispatches(shares in prop::collection::vec(1u32..20, 2..10)) {
        let names: Vec<_> = (0..shares.len()).map(|index| format!("team-{index}")).collect();
        let teams: Vec<_> = names.iter().map(String::as_str).zip(shares.iter().copied()).collect();
        let total: u32 = shares.iter().sum();
        let rounds = 3;
        let counts = count_dispatches(&teams, (total * rounds) as usize);
        for (team, share) in teams {
            let actual = counts.get(team).copied().unwrap_or(0);
            let expected = (share * rounds) as usize;
            prop_assert!(actual + 2 >= expected, "{team} of share {share}: {actual} dispatches, expected {expected}");
            prop_assert!(actual > 0, "{team} of share {share} was never served");
        }
    }
}
