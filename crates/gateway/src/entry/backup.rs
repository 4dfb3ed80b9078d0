//! A second attempt beside one whose upstream takes long.
//!
//! An upstream that is silent for a second may be sound. It is given up only once another one has responded.

use std::sync::Arc;

use base::UpstreamId;
use futures_util::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use log::info;
use tokio::sync::Notify;

use super::{
    guards::AttemptMonitor,
    outcome::AttemptResult,
    request::{ChosenUpstream, RequestContext},
};

/// Maximum number of attempts of a request that are open at the same time.
const MAX_OPEN_ATTEMPTS: usize = 2;

/// Attempts of a request that are open at the same time.
struct OpenAttempts<'a> {
    request: &'a RequestContext,
    resume_after: Option<&'a str>,
    slow: Arc<Notify>,
    monitors: Vec<(UpstreamId, Arc<AttemptMonitor>)>,
    running: FuturesUnordered<BoxFuture<'a, (UpstreamId, AttemptResult)>>,
}

impl<'a> OpenAttempts<'a> {
    fn new(request: &'a RequestContext, resume_after: Option<&'a str>) -> Self {
        Self {
            request,
            resume_after,
            slow: Arc::default(),
            monitors: Vec::new(),
            running: FuturesUnordered::new(),
        }
    }

    fn begin(&mut self, chosen: ChosenUpstream) {
        let upstream = chosen.record.upstream.clone();
        let monitor = Arc::new(AttemptMonitor::new(self.slow.clone()));
        self.monitors.push((upstream.clone(), monitor.clone()));
        let (request, resume_after) = (self.request, self.resume_after);
        self.running.push(Box::pin(async move {
            let result = request.attempt(&chosen, resume_after, &monitor).await;
            (upstream, result)
        }));
    }

    /// Removes an attempt that has ended.
    fn remove(&mut self, upstream: &UpstreamId) {
        self.monitors.retain(|(open, _)| open != upstream);
    }
}

impl RequestContext {
    /// Makes an attempt. While its response takes long and another upstream can take the request, a backup runs at the same
    /// time; the first response wins and the other attempt is cancelled. Returns the last result with its upstream; a
    /// failure of an attempt before it is recorded here.
    pub(super) async fn attempt_with_backup(
        &self,
        chosen: ChosenUpstream,
        resume_after: Option<&str>,
    ) -> (UpstreamId, AttemptResult) {
        let mut attempts = OpenAttempts::new(self, resume_after);
        attempts.begin(chosen);
        let slow = attempts.slow.clone();
        let mut error_response = None;
        loop {
            let ended = tokio::select! {
                biased;
                ended = attempts.running.next() => ended,
                () = slow.notified() => {
                    if attempts.monitors.len() < MAX_OPEN_ATTEMPTS
                        && let Some(backup) = self.choose_backup()
                    {
                        attempts.begin(backup);
                    }
                    continue;
                }
            };
            // Ends only after the last attempt, which is returned below.
            let Some((upstream, result)) = ended else { continue };
            attempts.remove(&upstream);
            match result {
                AttemptResult::Failed(end, response) if !attempts.monitors.is_empty() => {
                    self.log_attempt_end(&upstream, end);
                    error_response = response.or(error_response);
                    let mut progress = self.progress();
                    progress.attempts.record(end);
                    progress.tried.push(upstream);
                    progress.last = attempts.monitors.first().map(|(open, _)| open.clone());
                }
                AttemptResult::Failed(end, response) => {
                    return (upstream, AttemptResult::Failed(end, response.or(error_response)));
                }
                result => {
                    attempts.monitors.iter().for_each(|(_, monitor)| monitor.set_replaced());
                    self.progress().last = Some(upstream.clone());
                    return (upstream, result);
                }
            }
        }
    }

    /// Chooses the upstream of a backup and charges the retry budget; `None` if there is no upstream or a retry is not
    /// allowed.
    fn choose_backup(&self) -> Option<ChosenUpstream> {
        let now = self.shared.clock.now();
        let backup = self.accept_placement(self.alternative(now)?, now).ok()?;
        let slow = {
            let mut progress = self.progress();
            let slow = progress.last.clone()?;
            if !progress.tried.contains(&slow) {
                progress.tried.push(slow.clone());
            }
            slow
        };
        if !self.charge_attempt() {
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
