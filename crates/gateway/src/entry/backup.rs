//! A second attempt beside one whose upstream takes long.
//!
//! An upstream that is silent for a second may be sound. It is given up only once another one has responded.

use std::{pin::pin, sync::Arc};

use balance::AttemptEnd;
use base::UpstreamId;
use log::info;

use super::{
    guards::AttemptMonitor,
    outcome::AttemptResult,
    request::{AttemptPurpose, ChosenUpstream, RequestContext},
};

/// End of an attempt, or of the last of two that ran at the same time.
pub(super) struct SettledAttempt {
    pub(super) upstream: UpstreamId,
    pub(super) result: AttemptResult,
    /// True if the attempt was already counted when the backup began.
    pub(super) is_recorded: bool,
}

impl RequestContext {
    /// Makes an attempt. If its response takes long and another upstream can take the request, a backup runs at the same
    /// time; the first response wins and the other attempt is cancelled.
    pub(super) async fn attempt_with_backup(
        &self,
        chosen: ChosenUpstream,
        resume_after: Option<&str>,
        purpose: AttemptPurpose,
    ) -> SettledAttempt {
        let upstream = chosen.record.upstream.clone();
        let settled =
            |upstream, result, is_recorded| SettledAttempt { upstream, result, is_recorded };
        let monitor = Arc::new(AttemptMonitor::default());
        let mut first = pin!(self.attempt(&chosen, resume_after, &monitor));
        let backup = loop {
            tokio::select! {
                biased;
                result = &mut first => return settled(upstream, result, false),
                () = monitor.slow.notified() => {}
            }
            if let Some(backup) = self.begin_backup(&upstream, purpose) {
                break backup;
            }
        };
        let backup_upstream = backup.record.upstream.clone();
        let backup_monitor = Arc::new(AttemptMonitor::default());
        let mut second = pin!(self.attempt(&backup, resume_after, &backup_monitor));
        tokio::select! {
            biased;
            result = &mut first => {
                let AttemptResult::Failed(end, response) = result else {
                    self.progress().last = Some(upstream.clone());
                    return settled(upstream, result, true);
                };
                self.log_attempt_end(&upstream, end);
                settled(backup_upstream, second.await.or_response(response), false)
            }
            result = &mut second => {
                let AttemptResult::Failed(end, response) = result else {
                    monitor.set_replaced();
                    return settled(backup_upstream, result, false);
                };
                self.log_attempt_end(&backup_upstream, end);
                {
                    let mut progress = self.progress();
                    progress.attempts.record(end);
                    progress.tried.push(backup_upstream);
                    progress.last = Some(upstream.clone());
                }
                settled(upstream, first.await.or_response(response), true)
            }
        }
    }

    /// Chooses the upstream of a backup, counts the attempt at `slow`, and charges the retry budget; `None` if there is no
    /// upstream or a retry is not allowed.
    fn begin_backup(&self, slow: &UpstreamId, purpose: AttemptPurpose) -> Option<ChosenUpstream> {
        // A backup has none of its own, and a resumed stream has used a retry already.
        if purpose != AttemptPurpose::Initial || !self.has_alternative() {
            return None;
        }
        let now = self.shared.clock.now();
        self.progress().tried.push(slow.clone());
        let backup = self.choose_upstream(now, AttemptPurpose::Backup).ok()?;
        if !self.may_retry(AttemptEnd::Lost) {
            return None;
        }
        info!(
            "event=backup_started request={} slow={slow} upstream={} waited_ms={}",
            self.meta.id,
            backup.record.upstream,
            self.elapsed().as_millis()
        );
        Some(backup)
    }
}
