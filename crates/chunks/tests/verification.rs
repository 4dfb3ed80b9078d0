//! Age and subject of a verification of staged chunks.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use base::Clock;
use chunks::StagingVerification;
use proptest::prelude::*;

/// Time for which the platform excuses a corrupt chunk.
const CORRUPT_TIME: Duration = Duration::from_secs(3);

/// Clock whose time passes only in steps, while the host runs or while it is suspended.
struct StepClock {
    now: Mutex<(Instant, Duration)>,
}

impl StepClock {
    fn new() -> Self {
        Self { now: Mutex::new((Instant::now(), Duration::ZERO)) }
    }

    fn pass(&self, running: Duration, suspended: Duration) {
        let mut now = self.now.lock().expect("no thread panicked");
        now.0 += running;
        now.1 += suspended;
    }
}

impl Clock for StepClock {
    fn now(&self) -> Instant {
        self.now.lock().expect("no thread panicked").0
    }

    fn time_suspended(&self) -> Duration {
        self.now.lock().expect("no thread panicked").1
    }
}

proptest! {
    /// Guards against an order that rests on chunks which were read longer ago than they may be corrupt, whether the
    /// process was slow, paused or suspended meanwhile.
    #[test]
    fn outdated_verification_is_relied_on(steps in prop::collection::vec((0_u64..900, 0_u64..900), 0..8)) {
        let clock = StepClock::new();
        let verification = StagingVerification::new(7, &clock);
        let mut total = Duration::ZERO;
        for (running, suspended) in steps {
            let (running, suspended) =
                (Duration::from_millis(running), Duration::from_millis(suspended));
            clock.pass(running, suspended);
            total += running + suspended;
        }
        prop_assert_eq!(verification.age(&clock), total);
        prop_assert!(!verification.is_current(7, &clock) || total < CORRUPT_TIME);
        prop_assert!(verification.is_current(7, &clock) || total > CORRUPT_TIME / 2);
    }
}

/// Guards against an order to an engine that has restarted since its chunks were read.
#[test]
fn verification_of_an_earlier_process_is_relied_on() {
    let clock = StepClock::new();
    let verification = StagingVerification::new(7, &clock);
    assert!(verification.is_current(7, &clock));
    assert!(!verification.is_current(8, &clock));
}
