//! Durations of recent requests, from which the duration of a new one is estimated.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use compact_str::CompactString;

/// Period after which a duration is forgotten, at the latest after twice as long.
const WINDOW: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug)]
struct RecentDurations {
    window_start: Instant,
    /// Longest duration in this window and in the previous one.
    longest: Duration,
    previous: Duration,
}

/// Longest recent duration of the requests of each route.
#[derive(Debug, Default)]
pub struct DurationTracker {
    routes: HashMap<CompactString, RecentDurations>,
}

impl DurationTracker {
    /// Creates a tracker without durations.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the duration of a request that has ended.
    pub fn record(&mut self, route: &CompactString, duration: Duration, now: Instant) {
        let empty = RecentDurations {
            window_start: now,
            longest: Duration::ZERO,
            previous: Duration::ZERO,
        };
        if !self.routes.contains_key(route) {
            self.routes.insert(route.clone(), empty);
        }
        let recent = self.routes.get_mut(route).expect("the route was just added");
        let age = now.saturating_duration_since(recent.window_start);
        if age >= WINDOW {
            let previous = if age < 2 * WINDOW { recent.longest } else { Duration::ZERO };
            *recent = RecentDurations { previous, ..empty };
        }
        recent.longest = recent.longest.max(duration);
    }

    /// Longest duration of the requests of a route in the last 30 to 60 s; `None` if there was none.
    #[must_use]
    pub fn longest(&self, route: &str, now: Instant) -> Option<Duration> {
        let recent = self.routes.get(route)?;
        let age = now.saturating_duration_since(recent.window_start);
        match () {
            () if age < WINDOW => Some(recent.longest.max(recent.previous)),
            () if age < 2 * WINDOW => Some(recent.longest),
            () => None,
        }
    }
}
