//! Guards against undetected pauses: a process that was stopped, or a host that was suspended.

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
        let mut state = self.state.lock().expect("the lock is not poisoned");
        state.0 += running;
        state.1 += suspended;
    }
}

impl Clock for TestClock {
    fn now(&self) -> Instant {
        self.state.lock().expect("the lock is not poisoned").0
    }

    fn time_suspended(&self) -> Duration {
        self.state.lock().expect("the lock is not poisoned").1
    }
}

const TICK: Duration = Duration::from_millis(250);

#[test]
fn stopped_process_and_suspended_host_are_each_reported_once() {
    let clock = TestClock { state: Mutex::new((Instant::now(), Duration::from_secs(9))) };
    let detector = PauseDetector::new(Duration::from_secs(1));
    assert_eq!(detector.tick(&clock), None, "the first tick has no previous tick");
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
    let before = SystemClock.time_suspended();
    std::thread::sleep(Duration::from_millis(20));
    let counted = SystemClock.time_suspended().saturating_sub(before);
    assert!(counted < Duration::from_millis(10), "counted {counted:?}");
}
