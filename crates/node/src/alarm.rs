//! Alarms in plain words for the administration API: what operators should look at, and since when.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use compact_str::CompactString;
use serde_json::{Value, json};
use spread::SpreadReport;

/// Alarms held at most; the oldest goes first.
const MAX_ALARMS: usize = 64;
/// Time after the last occurrence until an alarm is dropped.
const ALARM_EXPIRY: Duration = Duration::from_secs(600);
/// Age of the last successful read of the configuration service from which its silence is an alarm.
const READ_AGE_ALARM: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
struct AlarmRecord {
    first: Instant,
    last: Instant,
    count: u64,
}

/// Alarms of one process and the health of its dissemination.
#[derive(Debug)]
pub struct AlarmBoard {
    alarms: Mutex<BTreeMap<CompactString, AlarmRecord>>,
    /// Age of the last successful read known in this data centre, in milliseconds; `u64::MAX` if none is known.
    read_age_ms: AtomicU64,
    /// Rank among the readers of the data centre; `u64::MAX` if this process does not read.
    reader_rank: AtomicU64,
}

impl Default for AlarmBoard {
    fn default() -> Self {
        Self {
            alarms: Mutex::default(),
            read_age_ms: AtomicU64::new(u64::MAX),
            reader_rank: AtomicU64::new(u64::MAX),
        }
    }
}

impl AlarmBoard {
    /// Raises an alarm, or repeats it.
    pub fn raise(&self, now: Instant, text: CompactString) {
        let mut alarms = self.lock();
        if let Some(record) = alarms.get_mut(&text) {
            record.last = now;
            record.count += 1;
            return;
        }
        if alarms.len() >= MAX_ALARMS {
            let oldest = alarms.iter().min_by_key(|(_, record)| record.last);
            if let Some(text) = oldest.map(|(text, _)| text.clone()) {
                alarms.remove(&text);
            }
        }
        alarms.insert(text, AlarmRecord { first: now, last: now, count: 1 });
    }

    /// Takes over an event of dissemination. A configuration that comes into force ends the alarms about others.
    pub fn take_report(&self, now: Instant, report: &SpreadReport) {
        match report {
            SpreadReport::Adopted { kind: spread::DocumentKind::Config, .. } => self.lock().clear(),
            _ if report.is_alarm() => self.raise(now, describe(report)),
            _ => {}
        }
    }

    /// Records the health of dissemination.
    pub fn set_reader(&self, read_age_ms: u64, rank: Option<usize>) {
        self.read_age_ms.store(read_age_ms, Ordering::Relaxed);
        self.reader_rank.store(rank.map_or(u64::MAX, |rank| rank as u64), Ordering::Relaxed);
    }

    /// The alarms, each with the time that it has lasted.
    #[must_use]
    pub fn list(&self, now: Instant) -> Vec<String> {
        let mut alarms = self.lock();
        alarms.retain(|_, record| now.saturating_duration_since(record.last) < ALARM_EXPIRY);
        let raised = alarms.iter().map(|(text, record)| {
            let since = now.saturating_duration_since(record.first).as_secs();
            format!("{text} (for {since} s, seen {} times)", record.count)
        });
        raised.chain(self.silence()).collect()
    }

    /// Health of the reading of the configuration service, for the administration API.
    #[must_use]
    pub fn reader_json(&self) -> Value {
        let known = |value: u64| (value != u64::MAX).then_some(value);
        json!({
            "rank": known(self.reader_rank.load(Ordering::Relaxed)),
            "last_read_age_ms": known(self.read_age_ms.load(Ordering::Relaxed)),
        })
    }

    fn silence(&self) -> Option<String> {
        let age = self.read_age_ms.load(Ordering::Relaxed);
        if age == u64::MAX {
            return Some(
                "no read of the configuration service is known in this data centre".to_owned(),
            );
        }
        let age = Duration::from_millis(age);
        (age >= READ_AGE_ALARM).then(|| {
            format!(
                "no read of the configuration service in this data centre for {} s",
                age.as_secs()
            )
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<CompactString, AlarmRecord>> {
        self.alarms.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn describe(report: &SpreadReport) -> CompactString {
    let text = match report {
        SpreadReport::Refused { kind, digest, fault, .. } => {
            format!(
                "a published {kind} document ({}) was refused: {fault}",
                &digest.to_string()[..12]
            )
        }
        SpreadReport::PeerRefused { digest, peer } => {
            format!("{peer} refused a published configuration ({})", &digest.to_string()[..12])
        }
        SpreadReport::Conflict { revision, .. } => {
            format!(
                "two different configurations have revision {revision}; publish a higher revision"
            )
        }
        other => other.to_string(),
    };
    text.into()
}
