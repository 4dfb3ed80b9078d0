//! Human-readable alarms for the administration API: what needs an operator's attention, and for how long.

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
use spread::GossipReport;

/// Maximum number of alarms; the one that was raised least recently is evicted first.
const MAX_ALARMS: usize = 64;
/// An alarm expires when it has not been raised again for this long.
const ALARM_EXPIRY: Duration = Duration::from_secs(600);
/// Minimum age of the last successful read of the configuration service at which an alarm is shown.
const READ_AGE_ALARM_THRESHOLD: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
struct AlarmRecord {
    first: Instant,
    last: Instant,
    count: u64,
}

/// Alarms of one process, and how recently its data centre has read the configuration service.
#[derive(Debug)]
pub struct AlarmRegistry {
    alarms: Mutex<BTreeMap<CompactString, AlarmRecord>>,
    /// Age in milliseconds of the last successful read in this data centre, as far as this process knows; `u64::MAX` if
    /// none is known.
    read_age_ms: AtomicU64,
    /// Rank among the processes of the data centre that read the configuration service; `u64::MAX` if this process is
    /// not one of them.
    reader_rank: AtomicU64,
}

impl Default for AlarmRegistry {
    fn default() -> Self {
        Self {
            alarms: Mutex::default(),
            read_age_ms: AtomicU64::new(u64::MAX),
            reader_rank: AtomicU64::new(u64::MAX),
        }
    }
}

impl AlarmRegistry {
    /// Raises an alarm. If it is active already, counts another occurrence and postpones its expiry.
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

    /// Raises an alarm if the event of configuration distribution calls for one. When a configuration comes into force,
    /// all alarms are cleared, since they concern earlier ones.
    pub fn record_report(&self, now: Instant, report: &GossipReport) {
        match report {
            GossipReport::Adopted { kind: spread::DocumentKind::Config, .. } => self.lock().clear(),
            _ if report.is_alarm() => self.raise(now, alarm_text(report)),
            _ => {}
        }
    }

    /// Records the age of the last successful read in this data centre and this process's rank among its readers. A
    /// `read_age_ms` of `u64::MAX` means that no read is known; `rank` is `None` if this process is not a reader.
    pub fn set_reader_health(&self, read_age_ms: u64, rank: Option<usize>) {
        self.read_age_ms.store(read_age_ms, Ordering::Relaxed);
        self.reader_rank.store(rank.map_or(u64::MAX, |rank| rank as u64), Ordering::Relaxed);
    }

    /// Active alarms, each with its age and number of occurrences.
    #[must_use]
    pub fn active_alarms(&self, now: Instant) -> Vec<String> {
        let mut alarms = self.lock();
        alarms.retain(|_, record| now.saturating_duration_since(record.last) < ALARM_EXPIRY);
        let raised = alarms.iter().map(|(text, record)| {
            let since = now.saturating_duration_since(record.first).as_secs();
            format!("{text} (for {since} s, seen {} times)", record.count)
        });
        raised.chain(self.stale_read_alarm()).collect()
    }

    /// Reader rank and age of the last read, as JSON for the administration API; null where unknown.
    #[must_use]
    pub fn reader_json(&self) -> Value {
        let known = |value: u64| (value != u64::MAX).then_some(value);
        json!({
            "rank": known(self.reader_rank.load(Ordering::Relaxed)),
            "last_read_age_ms": known(self.read_age_ms.load(Ordering::Relaxed)),
        })
    }

    fn stale_read_alarm(&self) -> Option<String> {
        let age = self.read_age_ms.load(Ordering::Relaxed);
        if age == u64::MAX {
            return Some(
                "no read of the configuration service is known in this data centre".to_owned(),
            );
        }
        let age = Duration::from_millis(age);
        (age >= READ_AGE_ALARM_THRESHOLD).then(|| {
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

fn alarm_text(report: &GossipReport) -> CompactString {
    let text = match report {
        GossipReport::Refused { kind, digest, fault, .. } => {
            format!(
                "a published {kind} document ({}) was refused: {fault}",
                &digest.to_string()[..12]
            )
        }
        GossipReport::PeerRefused { digest, peer } => {
            format!("{peer} refused a published configuration ({})", &digest.to_string()[..12])
        }
        GossipReport::Conflict { revision, .. } => {
            format!(
                "two different configurations have revision {revision}; publish a higher revision"
            )
        }
        other => other.to_string(),
    };
    text.into()
}
