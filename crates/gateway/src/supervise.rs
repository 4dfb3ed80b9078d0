//! Keeps the long-running tasks of a process alive.

use std::time::Duration;

use log::{error, warn};
use tokio::{task::JoinHandle, time::sleep};

/// Delay before a failed task is started again, so that one which fails at once does not use up the processor.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Runs a task for as long as the returned handle is not aborted and the runtime runs. If the task panics or ends, it is
/// started again: without it, the process would serve requests but no longer follow the fleet.
pub fn keep_running<F>(name: &'static str, start: impl Fn() -> F + Send + 'static) -> JoinHandle<()>
where
    F: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        loop {
            match tokio::spawn(start()).await {
                Ok(()) => warn!("event=task_ended task={name}"),
                Err(failure) if failure.is_panic() => {
                    error!("event=task_failed task={name} error=\"{failure}\"");
                }
                // The runtime is shutting down.
                Err(_) => return,
            }
            sleep(RESTART_DELAY).await;
        }
    })
}
