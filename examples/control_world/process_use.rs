//! Processor time and memory of a process, from procfs.

use std::time::Duration;

/// Use of a process so far.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUse {
    pub cpu: Duration,
    pub resident_bytes: u64,
}

/// Reads the use of a process; none when it has ended.
pub fn read(pid: u32) -> Option<ProcessUse> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The second field may contain spaces; fields are counted after its closing bracket.
    let fields = stat.rsplit(')').next()?.split_whitespace().skip(11).take(2);
    let ticks: u64 = fields.flat_map(str::parse::<u64>).sum();
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    // The kernel counts in hundredths of a second on all common platforms.
    Some(ProcessUse { cpu: Duration::from_millis(10 * ticks), resident_bytes: kilobytes << 10 })
}
