//! Processor time and memory of a process, read from `/proc`.

use std::fs;

/// Processor time of all threads of a process, including ended ones, in seconds.
pub fn cpu_seconds(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<_> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    // Linux reports these values in ticks of 10 ms.
    (ticks(11) + ticks(12)) / 100.0
}

/// Processor time of the threads with this name, in seconds.
pub fn thread_cpu_seconds(pid: u32, name: &str) -> f64 {
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    let named = tasks.filter(|task| {
        fs::read_to_string(task.path().join("comm")).is_ok_and(|comm| comm.trim_end() == name)
    });
    named.map(|task| read_schedstat(&task.path().join("schedstat"))).sum()
}

/// Processor time of the main thread, which serves requests, in seconds.
pub fn serving_cpu_seconds(pid: u32) -> f64 {
    read_schedstat(format!("/proc/{pid}/task/{pid}/schedstat").as_ref())
}

fn read_schedstat(path: &std::path::Path) -> f64 {
    let text = fs::read_to_string(path).unwrap_or_default();
    text.split(' ').next().and_then(|ns| ns.parse::<f64>().ok()).unwrap_or(0.0) / 1e9
}

/// Resets the recorded peak of resident memory.
pub fn reset_peak_memory(pid: u32) {
    let _ = fs::write(format!("/proc/{pid}/clear_refs"), "5");
}
