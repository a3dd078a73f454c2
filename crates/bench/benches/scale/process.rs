//! What a process costs, as the kernel tells.

use std::fs;

/// Processor time that a process has had with all its threads, those that have ended too, in seconds.
pub fn processor(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<_> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    // Hundredths of a second, on every Linux.
    (ticks(11) + ticks(12)) / 100.0
}

/// The same of its threads of this name, in seconds, to the nanosecond.
pub fn threads(pid: u32, name: &str) -> f64 {
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    let named = tasks.filter(|task| {
        fs::read_to_string(task.path().join("comm")).is_ok_and(|comm| comm.trim_end() == name)
    });
    named.map(|task| spent(&task.path().join("schedstat"))).sum()
}

/// The same of its first thread, which serves.
pub fn serving(pid: u32) -> f64 {
    spent(format!("/proc/{pid}/task/{pid}/schedstat").as_ref())
}

fn spent(path: &std::path::Path) -> f64 {
    let text = fs::read_to_string(path).unwrap_or_default();
    text.split(' ').next().and_then(|ns| ns.parse::<f64>().ok()).unwrap_or(0.0) / 1e9
}

/// From here on the peak of its memory is counted anew.
pub fn forget_peak(pid: u32) {
    let _ = fs::write(format!("/proc/{pid}/clear_refs"), "5");
}
