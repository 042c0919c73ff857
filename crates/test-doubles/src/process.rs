//! CPU time and memory of a process on this machine (`proc(5)`).

use std::fs;

/// Unit of CPU times in `/proc` (`sysconf(_SC_CLK_TCK)`; 100 on Linux).
const TICKS_PER_S: f64 = 100.0;

/// CPU seconds of all threads of a process, to 10 ms (`stat`, fields 14 and 15); `None` if the process is gone.
pub fn cpu_seconds(pid: u32) -> Option<f64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The process name may contain any character; it ends at the last parenthesis.
    let mut fields = stat.rsplit_once(')')?.1.split_whitespace().skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_S)
}

/// Resident memory of a process in bytes (`status`, `VmRSS`); `None` if the process is gone.
pub fn memory_bytes(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes * 1024)
}
