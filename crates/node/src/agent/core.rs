//! What idempotent and keyed requests share: checks, admission and the call of the upstream.

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
    CallRequest, GenerateRequest, ModelEngine, PlainService, PlatformError, UpstreamAnswer,
};
use route::CrashVerdict;
use serde_json::Value;
use wire::Forward;

use super::{
    admit::{AdmitRequest, WorkAdmitter, WorkTicket},
    cache::CacheFeed,
    crash::CrashWatch,
    gate::WorkGate,
    monitor::UpstreamMonitor,
    progress::{ProgressGuard, ProgressTable},
};
use crate::{context::NodeContext, view::ViewReader};

/// Highest priority of a request.
const MAX_PRIORITY: u32 = 9;

/// Path of a request to the upstream.
pub struct CallCore {
    /// Context of the node.
    pub context: NodeContext,
    /// Upstream beside this agent.
    pub upstream: UpstreamId,
    /// Configuration in force.
    pub view: ViewReader,
    /// State of the upstream.
    pub monitor: Arc<UpstreamMonitor>,
    /// Admission.
    pub admitter: Arc<WorkAdmitter>,
    /// Gate of admission.
    pub gate: Arc<WorkGate>,
    /// Crash detection.
    pub crashes: Arc<CrashWatch>,
    /// Requests in progress.
    pub progress: Arc<ProgressTable>,
    /// Cache events of the engine.
    pub cache: Arc<CacheFeed>,
    started: Instant,
    engine: Arc<dyn ModelEngine>,
    service: Arc<dyn PlainService>,
}

/// Work that may be sent now.
pub struct AdmittedWork {
    /// Slot of the work.
    pub ticket: WorkTicket,
    /// True if it runs alone.
    pub isolated: bool,
    /// Incarnation of the upstream that it is sent to.
    pub incarnation: Incarnation,
}

impl CallCore {
    /// Starts monitoring, admission and the gate.
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
        let gate =
            WorkGate::spawn(context, settings, view.clone(), monitor.clone(), admitter.clone());
        let progress = Arc::<ProgressTable>::default();
        let crashes =
            CrashWatch::new(context, settings, monitor.clone(), admitter.clone(), progress.clone());
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

    /// Now, on the node's clock.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.context.clock.now()
    }

    /// Uptime of this agent; the clock of request keys.
    #[must_use]
    pub fn uptime(&self) -> Duration {
        self.now().saturating_duration_since(self.started)
    }

    /// Waits until the request may be sent. The checks run again after the wait, because the upstream's models, the
    /// crash table and this process may have changed meanwhile.
    ///
    /// # Errors
    /// Fails if the request is refused; the upstream has not seen it then.
    pub async fn acquire(
        &self,
        forward: &Forward,
        deadline: Instant,
        progress: &ProgressGuard,
    ) -> Result<AdmittedWork, WorkRefusal> {
        let fingerprint = fingerprint(forward);
        let mut isolated = forward.isolated;
        loop {
            // A closed gate names the better reason, so admission refuses first.
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
                    progress.note_sent(incarnation);
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

    /// Calls the upstream once and returns as soon as the head of the answer has arrived. Dropping the future or the
    /// answer cancels the request.
    ///
    /// # Errors
    /// Fails if the upstream cannot be reached or the connection breaks before the head.
    pub async fn call(&self, forward: &Forward) -> Result<UpstreamAnswer, PlatformError> {
        if forward.service.is_empty() {
            let body = generate_body(forward);
            let request = GenerateRequest { body, priority: forward.priority };
            return self.engine.generate(request).await;
        }
        let request = CallRequest {
            method: Method::from_bytes(forward.method.as_bytes()).unwrap_or(Method::POST),
            path: forward.path.as_str().into(),
            body: forward.body.clone(),
            idempotent: forward.key.is_empty(),
        };
        self.service.call(request).await
    }

    /// A refusal with the delay that the queue suggests.
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
        // What waited behind the request that crashed the upstream must not be sent to what is left of it: it would
        // count as in flight at the crash.
        if self.crashes.has_crashed(self.monitor.get().incarnation) {
            return Err(self.refusal(RefusalReason::NotReady));
        }
        self.check_target(forward)?;
        self.needs_isolation(fingerprint)
    }

    /// Refuses a request for another version or service than the upstream runs. The entry may have an older or a newer
    /// configuration; what the engine names as loaded decides, not the revision.
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
            CrashVerdict::Unsuspected => Ok(false),
            CrashVerdict::Isolate => Ok(true),
            CrashVerdict::Refuse { retry_after } => {
                Err(WorkRefusal { reason: RefusalReason::CrashSuspect, retry_after })
            }
        }
    }
}

/// Fingerprint of the content, if the entry sent one.
#[must_use]
pub fn fingerprint(forward: &Forward) -> Option<ContentDigest> {
    ContentDigest::from_slice(&forward.fingerprint).ok()
}

/// The caller's JSON with what the engine needs to know. A body that is no JSON object is passed on as it is, and the
/// engine refuses it.
fn generate_body(forward: &Forward) -> Bytes {
    let Ok(Value::Object(mut fields)) = serde_json::from_slice(&forward.body) else {
        return forward.body.clone();
    };
    fields.insert("model".to_owned(), forward.model.as_str().into());
    fields.insert("offset".to_owned(), forward.resume_offset.into());
    fields.insert("priority".to_owned(), forward.priority.into());
    if let Ok(manifest) = ContentDigest::from_slice(&forward.manifest) {
        // The engine refuses atomically if it has just switched to another version.
        fields.insert("manifest".to_owned(), manifest.to_string().into());
    }
    serde_json::to_vec(&fields).map_or_else(|_| forward.body.clone(), Bytes::from)
}
