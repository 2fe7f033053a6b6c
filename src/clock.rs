//! Readings of local clocks in milliseconds.

/// A point in time or a duration on a local clock, in milliseconds.
pub type Millis = u64;

/// Reads the boot-time clock, which leases and timeouts are measured on.
///
/// It goes on while the machine is suspended, so that no lease outlasts its time through a suspend.
#[must_use]
pub fn boot_millis() -> Millis {
    let ts = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let secs = u64::try_from(ts.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(ts.tv_nsec).unwrap_or(0);
    secs * 1000 + nanos / 1_000_000
}

/// Reads the wall clock as milliseconds since the Unix epoch. It may jump, so it is only for stored
/// times, reports, and to spread over time what instances do.
#[must_use]
pub fn wall_millis() -> Millis {
    let now = std::time::SystemTime::now();
    let since_epoch = now.duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
