//! Checks, admission and sending to the upstream, common to idempotent and keyed requests.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::{ContentDigest, Incarnation, RefusalReason, UpstreamId};
use bytes::Bytes;
use config::AgentSettings;
use hyper::Method;
use limit::{AdmissionGate, WorkRefusal};
use ports::{
    GenerateRequest, ModelEngine, PlainService, PlatformError, ServiceRequest, UpstreamResponse,
};
use route::CrashVerdict;
use serde_json::Value;
use wire::Forward;

use super::{
    admit::{AdmitRequest, WorkAdmitter, WorkTicket},
    cache::CacheFeed,
    crash::CrashDetector,
    gate::GateController,
    monitor::UpstreamMonitor,
    progress::{ProgressGuard, ProgressTable},
};
use crate::{context::NodeContext, view::ViewReader};

/// Maximum priority of a request; higher values are lowered to it.
const MAX_PRIORITY: u32 = 9;

/// Components that a request passes on its way to the upstream.
pub struct RequestCore {
    /// Clock, tasks and cancellation tokens of this process.
    pub context: NodeContext,
    /// Id of the agent's upstream.
    pub upstream: UpstreamId,
    /// Reader of the configuration in force.
    pub view: ViewReader,
    /// Status of the upstream, read at intervals.
    pub monitor: Arc<UpstreamMonitor>,
    /// Admission control: concurrency limit and queue.
    pub admitter: Arc<WorkAdmitter>,
    /// Controller of the admission gate.
    pub gate: Arc<GateController>,
    /// Crash detection and the crash table of this agent.
    pub crashes: Arc<CrashDetector>,
    /// Table of the requests in progress.
    pub progress: Arc<ProgressTable>,
    /// Recent cache events of the engine.
    pub cache: Arc<CacheFeed>,
    started: Instant,
    engine: Arc<dyn ModelEngine>,
    service: Arc<dyn PlainService>,
}

/// A request that may be sent to the upstream now.
pub struct AdmittedWork {
    /// Slot of the request under the concurrency limit.
    pub ticket: WorkTicket,
    /// True if no other request runs on the upstream at the same time.
    pub isolated: bool,
    /// Incarnation of the upstream that receives the request.
    pub incarnation: Incarnation,
}

impl RequestCore {
    /// Starts the tasks of monitoring, admission, the gate and the cache events.
    #[must_use]
    pub fn spawn(
        context: &NodeContext,
        settings: &AgentSettings,
        view: ViewReader,
        engine: Arc<dyn ModelEngine>,
        service: Arc<dyn PlainService>,
    ) -> Arc<Self> {
        let monitor = UpstreamMonitor::spawn(
            context,
            settings,
            view.clone(),
            engine.clone(),
            service.clone(),
        );
        let admitter = WorkAdmitter::spawn(context, settings.queue_length);
        let gate = GateController::spawn(
            context,
            settings,
            view.clone(),
            monitor.clone(),
            admitter.clone(),
        );
        let progress = Arc::<ProgressTable>::default();
        let crashes = CrashDetector::new(
            context,
            settings,
            monitor.clone(),
            admitter.clone(),
            progress.clone(),
        );
        let cache = CacheFeed::spawn(context, monitor.clone(), engine.clone());
        Arc::new(Self {
            context: context.clone(),
            upstream: settings.upstream.clone(),
            view,
            monitor,
            admitter,
            gate,
            crashes,
            progress,
            cache,
            started: context.clock.now(),
            engine,
            service,
        })
    }

    /// Returns the current time of the node's clock.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.context.clock.now()
    }

    /// Returns the uptime of this agent. The validity of request keys is measured by it.
    #[must_use]
    pub fn uptime(&self) -> Duration {
        self.now().saturating_duration_since(self.started)
    }

    /// Waits until the request may be sent. The checks run again after the wait, because the models of the upstream,
    /// the crash table and the state of this process may have changed in the meantime.
    ///
    /// # Errors
    /// Fails if the request is refused; it was not sent to the upstream.
    pub async fn acquire(
        &self,
        forward: &Forward,
        deadline: Instant,
        progress: &ProgressGuard,
    ) -> Result<AdmittedWork, WorkRefusal> {
        let fingerprint = fingerprint(forward);
        let mut isolated = forward.isolated;
        loop {
            // A closed gate has a more precise refusal reason than the check, so admission refuses in that case.
            if self.admitter.gate() == AdmissionGate::Open {
                self.check_target(forward)?;
            }
            isolated |= self.needs_isolation(fingerprint.as_ref())?;
            let request = AdmitRequest {
                team: forward.team.as_str().into(),
                priority: forward.priority.min(MAX_PRIORITY) as u8,
                deadline,
                isolated,
            };
            let ticket = self.admitter.admit(request).await?;
            let checked = self.check_before_send(forward, fingerprint.as_ref());
            match checked {
                Ok(needs_isolation) if isolated || !needs_isolation => {
                    let incarnation = self.monitor.get().incarnation;
                    progress.mark_sent(incarnation);
                    return Ok(AdmittedWork { ticket, isolated, incarnation });
                }
                Ok(_) => ticket.release(),
                Err(refusal) => {
                    ticket.release();
                    return Err(refusal);
                }
            }
        }
    }

    /// Sends the request to the upstream once and returns as soon as the head of the response has arrived. Dropping the
    /// future or the response cancels the request.
    ///
    /// # Errors
    /// Fails if the upstream cannot be reached or the connection breaks before the head.
    pub async fn send(&self, forward: &Forward) -> Result<UpstreamResponse, PlatformError> {
        if forward.service.is_empty() {
            let body = generate_body(forward);
            let request = GenerateRequest { body, priority: forward.priority };
            return self.engine.generate(request).await;
        }
        let request = ServiceRequest {
            method: Method::from_bytes(forward.method.as_bytes()).unwrap_or(Method::POST),
            path: forward.path.as_str().into(),
            body: forward.body.clone(),
            idempotent: forward.key.is_empty(),
        };
        self.service.send(request).await
    }

    /// Returns a refusal with the retry delay estimated from the queue.
    #[must_use]
    pub fn refusal(&self, reason: RefusalReason) -> WorkRefusal {
        WorkRefusal { reason, retry_after: self.admitter.retry_after() }
    }

    fn check_before_send(
        &self,
        forward: &Forward,
        fingerprint: Option<&ContentDigest>,
    ) -> Result<bool, WorkRefusal> {
        if self.gate.is_stale() {
            return Err(self.refusal(RefusalReason::Refreshing));
        }
        // Requests queued behind the one that crashed the upstream must not be sent to the crashed incarnation: they
        // would count as in flight at the crash and become suspects.
        if self.crashes.has_crashed(&self.monitor.get()) {
            return Err(self.refusal(RefusalReason::NotReady));
        }
        self.check_target(forward)?;
        self.needs_isolation(fingerprint)
    }

    /// Refuses a request for a version or service that the upstream does not run. The entry may have an older or a
    /// newer configuration, so the manifests that the engine reports as loaded decide, not the revision.
    fn check_target(&self, forward: &Forward) -> Result<(), WorkRefusal> {
        let matches = if forward.service.is_empty() {
            ContentDigest::from_slice(&forward.manifest)
                .is_ok_and(|manifest| self.monitor.get().serves(&forward.model, manifest))
        } else {
            self.view.get().is_some_and(|view| {
                let record = view.config.upstream(&self.upstream);
                record.is_some_and(|record| record.service.as_deref() == Some(&forward.service))
            })
        };
        if matches { Ok(()) } else { Err(self.refusal(RefusalReason::NotReady)) }
    }

    fn needs_isolation(&self, fingerprint: Option<&ContentDigest>) -> Result<bool, WorkRefusal> {
        match self.crashes.verdict(fingerprint) {
            CrashVerdict::Allow => Ok(false),
            CrashVerdict::Isolate => Ok(true),
            CrashVerdict::Refuse { retry_after } => {
                Err(WorkRefusal { reason: RefusalReason::CrashSuspect, retry_after })
            }
        }
    }
}

/// Returns the fingerprint of the request's content, or `None` if the entry sent none.
#[must_use]
pub fn fingerprint(forward: &Forward) -> Option<ContentDigest> {
    ContentDigest::from_slice(&forward.fingerprint).ok()
}

/// Adds the model, offset, priority and manifest to the caller's JSON. A body that is not a JSON object is passed on
/// unchanged, and the engine refuses it.
fn generate_body(forward: &Forward) -> Bytes {
    let Ok(Value::Object(mut fields)) = serde_json::from_slice(&forward.body) else {
        return forward.body.clone();
    };
    fields.insert("model".to_owned(), forward.model.as_str().into());
    fields.insert("offset".to_owned(), forward.resume_offset.into());
    fields.insert("priority".to_owned(), forward.priority.into());
    if let Ok(manifest) = ContentDigest::from_slice(&forward.manifest) {
        // The engine compares the manifest atomically and refuses the request if it has just switched versions.
        fields.insert("manifest".to_owned(), manifest.to_string().into());
    }
    serde_json::to_vec(&fields).map_or_else(|_| forward.body.clone(), Bytes::from)
}
