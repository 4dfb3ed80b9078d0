//! CPU time and memory of this process, read from /proc.

use std::fs;

/// Clock ticks per second of the times in /proc. Linux fixes this at 100 for user space.
const TICKS_PER_S: f64 = 100.0;

/// CPU time in seconds of the threads of this process whose names start with `prefix`; 0 if /proc does not exist.
pub(super) fn thread_seconds(prefix: &str) -> f64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else { return 0.0 };
    let ticks: f64 = tasks
        .flatten()
        .filter(|task| {
            let name = fs::read_to_string(task.path().join("comm")).unwrap_or_default();
            name.starts_with(prefix)
        })
        .map(|task| task_ticks(&fs::read_to_string(task.path().join("stat")).unwrap_or_default()))
        .sum();
    ticks / TICKS_PER_S
}

/// User plus system time in ticks: the 12th and 13th fields after the name in parentheses.
fn task_ticks(stat: &str) -> f64 {
    let fields = stat.rsplit(')').next().unwrap_or_default();
    fields.split_whitespace().skip(11).take(2).filter_map(|field| field.parse::<f64>().ok()).sum()
}

/// Resident memory of this process in MB; 0 if /proc does not exist.
pub(super) fn resident_mb() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kib.unwrap_or(0.0) * 1024.0 / 1e6
}
