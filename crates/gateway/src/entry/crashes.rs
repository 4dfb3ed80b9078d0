//! Confirms crashes of upstreams, and exchanges the evidence about prompt parts with the other entries.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use balance::{PartEvidence, PartSuccess, UpstreamCrash};
use base::{PromptPartId, UpstreamId};
use log::{info, warn};
use rand::seq::IteratorRandom;
use tokio::time::{MissedTickBehavior, interval, sleep};
use wire::{CrashedUpstream, HarmlessPart, Notice, PromptPartNotice, SuspectRequest};

use super::{limits::peers, shared::EntryShared};
use crate::peers::{NoticeSocket, age_millis};

/// Interval between the copies of evidence that is sent to all entries.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Every n-th report, an entry that refuses any part sends the evidence to another entry. All entries together thus
/// inform one that lacks it about once a second.
const REPEAT_PERIOD: u64 = 4;
/// Number of reports after the start of this entry with which it asks others for their evidence, and number of entries
/// asked each time. It has the evidence about 0.5 s after it knows another entry, and asks again because datagrams may be
/// lost.
const STARTUP_REPORTS: u64 = 16;
const MAX_ASKED: usize = 3;
/// Maximum number of bytes of part ids in a notice, so that it fits into a datagram with the ids of upstreams and the
/// authentication.
const MAX_NOTICE_BYTES: usize = 900;
/// Maximum length of an id in a received notice, in bytes.
const MAX_ID_LENGTH: usize = 64;
/// Maximum number of parts of one request in a notice. Further ones are sent as if they belonged to another request.
const MAX_PARTS_PER_REQUEST: usize = 10;
/// Upper bounds of the encoding overhead of a part and of a crash, in bytes.
const PART_OVERHEAD: usize = 10;
const CRASH_OVERHEAD: usize = 32;
/// Delays before the connections that check whether an upstream has crashed. A process that is ending may accept the
/// first one.
const CHECK_DELAYS: [Duration; 2] = [Duration::ZERO, Duration::from_millis(250)];

/// Logs confirmed crashes, and wakes the tasks that report them to the other entries.
pub(super) fn log_crashes(shared: &EntryShared, confirmed: usize) {
    if confirmed > 0 {
        info!("event=crashes_confirmed requests={confirmed}");
        shared.wake_control.notify_one();
    }
    let crashes = shared.crashes().take_confirmed();
    if !crashes.is_empty() {
        shared.wake_crashes.notify_one();
    }
    for crash in crashes {
        let suspects: Vec<_> = crash.suspect_parts.iter().map(|parts| parts.join("+")).collect();
        info!(
            "event=upstream_crashed upstream={} requests={} unproven={} parts={} delay_ms={}",
            crash.upstream,
            crash.requests,
            crash.suspect_parts.len(),
            if suspects.is_empty() { "none".to_owned() } else { suspects.join(",") },
            crash.delay.as_millis()
        );
    }
    log_verdicts(shared);
}

/// Logs which prompt parts are refused from now on, and which are not any more.
fn log_verdicts(shared: &EntryShared) {
    let changes = shared.crashes().parts().take_changes();
    for change in changes {
        let event = if change.refused { "prompt_part_refused" } else { "prompt_part_cleared" };
        info!("event={event} parts={} crashes={}", change.parts.join("+"), change.crashes);
    }
}

/// Checks whether an upstream to which a connection was lost has crashed. At most one check runs per upstream.
pub(super) fn check_upstream(
    shared: &Arc<EntryShared>,
    upstream: &UpstreamId,
    address: SocketAddr,
) {
    if !shared.crash_checks().insert(upstream.clone()) {
        return;
    }
    let (shared, upstream) = (shared.clone(), upstream.clone());
    tokio::spawn(async move {
        for delay in CHECK_DELAYS {
            sleep(delay).await;
            // Each check is a single probe, because the report of a crash is urgent.
            let deadline = shared.clock.now();
            if !shared.pool.accepts_connections(address, deadline).await {
                let now = shared.clock.now();
                // A loss that is recorded from here on is checked anew.
                shared.crash_checks().remove(&upstream);
                let confirmed = shared.crashes().record_unreachable(now, &upstream);
                log_crashes(&shared, confirmed);
                return;
            }
        }
        shared.crash_checks().remove(&upstream);
    });
}

/// Reports evidence about prompt parts to the other entries, at once after a crash. Never returns.
pub(super) async fn report_crashes(shared: Arc<EntryShared>, socket: NoticeSocket) {
    let mut ticks = interval(REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count = 0_u64;
    loop {
        let is_urgent = tokio::select! {
            _ = ticks.tick() => false,
            () = shared.wake_crashes.notified() => true,
        };
        count += u64::from(!is_urgent);
        let now = shared.clock.now();
        let (due, repeated) = {
            let mut crashes = shared.crashes();
            let parts = crashes.parts();
            parts.expire(now);
            let due = parts.take_due_evidence(now);
            let is_repeated = !is_urgent && count.is_multiple_of(REPEAT_PERIOD);
            (due, if is_repeated { parts.verdict_evidence(now) } else { Vec::new() })
        };
        log_verdicts(&shared);
        let is_starting = !is_urgent && count <= STARTUP_REPORTS;
        if due.is_empty() && repeated.is_empty() && !is_starting {
            continue;
        }
        let others = peers(&shared, true);
        for notice in notices(&due) {
            socket.send(Notice::PromptParts(notice), others.iter().copied());
        }
        let other = others.iter().copied().choose(&mut rand::rng());
        for notice in notices(&repeated) {
            socket.send(Notice::PromptParts(notice), other);
        }
        if is_starting {
            let asked = others.iter().copied().sample(&mut rand::rng(), MAX_ASKED);
            let notice = PromptPartNotice { wants_evidence: true, ..PromptPartNotice::default() };
            socket.send(Notice::PromptParts(notice), asked);
        }
    }
}

/// Records a notice of another entry, and answers one that asks for evidence.
pub(super) fn record_prompt_parts(
    shared: &EntryShared,
    socket: &NoticeSocket,
    notice: &PromptPartNotice,
    peer: SocketAddr,
) {
    let now = shared.clock.now();
    for evidence in evidence_of(notice) {
        let Some(evidence) = evidence else {
            warn!("event=crash_notice_unreadable peer={peer}");
            continue;
        };
        let is_new = shared.crashes().parts().apply_evidence(now, &evidence);
        match evidence {
            PartEvidence::Crash(crash) if is_new => info!(
                "event=upstream_crash_learned upstream={} peer={peer} age_ms={}",
                crash.upstream,
                crash.age.as_millis()
            ),
            PartEvidence::Success(success) if is_new => {
                info!("event=prompt_part_success_learned part={} peer={peer}", success.part);
            }
            PartEvidence::Crash(_) | PartEvidence::Success(_) => {}
        }
    }
    log_verdicts(shared);
    if notice.wants_evidence {
        let evidence = shared.crashes().parts().verdict_evidence(now);
        for notice in notices(&evidence) {
            socket.send(Notice::PromptParts(notice), [peer]);
        }
    }
}

/// Encodes evidence in as many notices as needed. The requests of one crash may be spread over several.
fn notices(evidence: &[PartEvidence]) -> Vec<PromptPartNotice> {
    let mut notices = vec![PromptPartNotice::default()];
    let mut bytes = 0;
    let mut reserve = |notices: &mut Vec<PromptPartNotice>, size: usize| {
        if bytes > 0 && bytes + size > MAX_NOTICE_BYTES {
            notices.push(PromptPartNotice::default());
            bytes = 0;
        }
        bytes += size;
        notices.len() - 1
    };
    for evidence in evidence {
        match evidence {
            PartEvidence::Success(PartSuccess { part, age }) => {
                let index = reserve(&mut notices, part.len() + PART_OVERHEAD);
                let success = HarmlessPart { part: part.to_string(), age_ms: age_millis(*age) };
                notices[index].successes.push(success);
            }
            PartEvidence::Crash(UpstreamCrash { upstream, started_ms, age, requests }) => {
                for parts in requests {
                    for parts in parts.chunks(MAX_PARTS_PER_REQUEST) {
                        let size =
                            parts.iter().map(|part| part.len() + PART_OVERHEAD).sum::<usize>();
                        let index = reserve(&mut notices, upstream.len() + CRASH_OVERHEAD + size);
                        let parts = parts.iter().map(PromptPartId::to_string).collect();
                        notices[index].crashes.push(CrashedUpstream {
                            upstream: upstream.to_string(),
                            started_ms: *started_ms,
                            age_ms: age_millis(*age),
                            requests: vec![SuspectRequest { parts }],
                        });
                    }
                }
            }
        }
    }
    notices.retain(|notice| *notice != PromptPartNotice::default());
    notices
}

/// Decodes the evidence in a notice; `None` for each item that is not valid.
fn evidence_of(notice: &PromptPartNotice) -> impl Iterator<Item = Option<PartEvidence>> {
    let part_id = |part: &String| {
        let is_valid = (1..=MAX_ID_LENGTH).contains(&part.len());
        is_valid.then(|| PromptPartId::from(part.as_str()))
    };
    let age = |age_ms: u32| Duration::from_millis(age_ms.into());
    let crashes = notice.crashes.iter().map(move |crash| {
        let requests = crash.requests.iter();
        let requests = requests.map(|request| request.parts.iter().map(part_id).collect());
        (crash.upstream.len() <= MAX_ID_LENGTH).then_some(())?;
        Some(PartEvidence::Crash(UpstreamCrash {
            upstream: crash.upstream.as_str().into(),
            started_ms: crash.started_ms,
            age: age(crash.age_ms),
            requests: requests.collect::<Option<Vec<Vec<_>>>>()?,
        }))
    });
    let successes = notice.successes.iter().map(move |success| {
        let (part, age) = (part_id(&success.part)?, age(success.age_ms));
        Some(PartEvidence::Success(PartSuccess { part, age }))
    });
    crashes.chain(successes)
}
