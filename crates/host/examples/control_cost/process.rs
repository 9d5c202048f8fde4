//! CPU time and memory of this process, from Linux `/proc`.

/// Clock ticks per second in `/proc/self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// The index of the user time among the fields after the program name.
const USER_TICKS_FIELD: usize = 11;

/// The resource usage of the process.
#[derive(Clone, Copy)]
pub(crate) struct ProcessUsage {
    pub(crate) core_seconds: f64,
    pub(crate) resident_mib: f64,
}

impl ProcessUsage {
    pub(crate) fn now() -> Result<Self, Box<dyn std::error::Error>> {
        let statistics = std::fs::read_to_string("/proc/self/stat")?;
        let fields = statistics.rsplit(") ").next().unwrap_or_default();
        let fields: Vec<&str> = fields.split(' ').collect();
        let user: f64 = fields[USER_TICKS_FIELD].parse()?;
        let system: f64 = fields[USER_TICKS_FIELD + 1].parse()?;
        let status = std::fs::read_to_string("/proc/self/status")?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.and_then(|text| text.split_whitespace().next());
        let resident_kib: f64 = resident.unwrap_or_default().parse()?;
        Ok(Self {
            core_seconds: (user + system) / TICKS_PER_SECOND,
            resident_mib: resident_kib / 1024.0,
        })
    }
}
