//! Guards against a pause that goes unnoticed: a process that stood still, or a host that was suspended.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use base::{Clock, PauseDetector, SystemClock};

struct TestClock {
    state: Mutex<(Instant, Duration)>,
}

impl TestClock {
    fn advance(&self, running: Duration, suspended: Duration) {
        let mut state = self.state.lock().expect("no holder panics");
        state.0 += running;
        state.1 += suspended;
    }
}

impl Clock for TestClock {
    fn now(&self) -> Instant {
        self.state.lock().expect("no holder panics").0
    }

    fn suspended(&self) -> Duration {
        self.state.lock().expect("no holder panics").1
    }
}

const TICK: Duration = Duration::from_millis(250);

#[test]
fn gaps_of_either_kind_are_reported_once() {
    let clock = TestClock { state: Mutex::new((Instant::now(), Duration::from_secs(9))) };
    let detector = PauseDetector::new(Duration::from_secs(1));
    assert_eq!(detector.tick(&clock), None, "the first tick has nothing to compare with");
    clock.advance(TICK, Duration::ZERO);
    assert_eq!(detector.tick(&clock), None);

    clock.advance(Duration::from_secs(3), Duration::ZERO);
    assert_eq!(detector.tick(&clock), Some(Duration::from_secs(3)));
    assert_eq!(detector.tick(&clock), None);

    clock.advance(TICK, Duration::from_secs(2));
    assert_eq!(detector.tick(&clock), Some(TICK + Duration::from_secs(2)));
    clock.advance(TICK, Duration::ZERO);
    assert_eq!(detector.tick(&clock), None);
}

#[test]
fn system_clock_does_not_count_a_running_host_as_suspended() {
    let before = SystemClock.suspended();
    std::thread::sleep(Duration::from_millis(20));
    let counted = SystemClock.suspended().saturating_sub(before);
    assert!(counted < Duration::from_millis(10), "counted {counted:?}");
}
