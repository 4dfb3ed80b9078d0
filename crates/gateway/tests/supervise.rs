//! Tests that long-running tasks survive unexpected errors.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use gateway::supervise::keep_running;
use tokio::time::{sleep, timeout};

/// Guards against a process that goes on without one of its tasks after a panic.
#[tokio::test(start_paused = true)]
async fn task_is_started_again_after_a_panic_and_after_its_end() {
    let starts = Arc::new(AtomicU32::new(0));
    let count = starts.clone();
    let task = keep_running("test", move || {
        let start = count.fetch_add(1, Ordering::Relaxed);
        async move {
            match start {
                0 => panic!("the first run fails"),
                1 => {}
                _ => std::future::pending().await,
            }
        }
    });
    let restarted = async {
        while starts.load(Ordering::Relaxed) < 3 {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(Duration::from_secs(5), restarted).await.expect("the task is started again");
    sleep(Duration::from_secs(60)).await;
    assert_eq!(starts.load(Ordering::Relaxed), 3, "a task that runs is left alone");
    task.abort();
}
