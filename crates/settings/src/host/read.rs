//! Parses host settings.

use super::{
    CallerLimits, DataSettings, HostIdentity, HostSettings, KeySettings, ListenAddresses,
    OperatorSettings, PeerSettings, ShutdownSettings,
};
use crate::fault::SettingsReport;
use crate::ini::{SectionReader, SectionTable, split_sections};
use crate::machine::MachineLimits;
use crate::value::{MillisValue, SettingValue, ValueList, WholeNumber};
use chicoryladder_types::SeatId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The default notice of a shutdown: more than two probes of a load balancer, one a second.
const DEFAULT_NOTICE: Duration = Duration::from_millis(2_500);

const DEFAULT_BODY_MAX_BYTES: u64 = 64 * 1024 * 1024;
const DEFAULT_HEADER_MAX_BYTES: u64 = 32 * 1024;
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_KEY_LEASE: Duration = Duration::from_secs(5);

/// A size limit in bytes, from 1 KiB to 1 TiB.
type ByteLimit = WholeNumber<1024, { 1 << 40 }>;

type SeatNumber = WholeNumber<1, { u64::MAX }>;

const SECTIONS: &[&str] = &[
    "host",
    "listen",
    "peers",
    "voters",
    "data",
    "operators",
    "callers",
    "shutdown",
    "keys",
    "limits",
];

impl HostSettings {
    /// Parses settings; `name` identifies `text` in reports.
    ///
    /// # Errors
    ///
    /// Fails with all faults in the text.
    pub fn parse(name: &str, text: &str) -> Result<Self, SettingsReport> {
        let mut faults = Vec::new();
        let sections = split_sections(text, &mut faults);
        let mut reader = HostReader {
            sections: SectionTable::new(&sections, SECTIONS, &mut faults),
        };
        let settings = reader.settings();
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(SettingsReport::new(name, text, faults)),
        }
    }
}

/// Reports addresses that occur twice. Port 0 is exempt, since it selects a free
/// port.
fn report_shared_addresses(
    section: &mut SectionReader<'_>,
    addresses: &[(&'static str, Option<SocketAddr>)],
) {
    for (index, (key, address)) in addresses.iter().enumerate() {
        let Some(address) = address.filter(|address| address.port() != 0) else {
            continue;
        };
        let earlier = &addresses[..index];
        if let Some((other, _)) = earlier.iter().find(|(_, known)| *known == Some(address)) {
            let problem = format!("`{key}` has the same address as `{other}`");
            section.fault_at(key, problem, "give each its own port");
        }
    }
}

struct HostReader<'a> {
    sections: SectionTable<'a>,
}

impl HostReader<'_> {
    fn settings(&mut self) -> Option<HostSettings> {
        // All sections are read before a missing one ends the function, so that
        // the report is complete.
        let host = self.host();
        let listen = self.listen();
        let peers = self.peers();
        let voters = self.voters();
        let data = self.data();
        let operators = self.operators();
        let callers = self.callers();
        let shutdown = self.shutdown();
        let keys = self.keys();
        let machine = MachineLimits::read(&mut self.sections);
        Some(HostSettings {
            host: host?,
            listen: listen?,
            peers: peers?,
            voters: voters?,
            data,
            operators: operators?,
            callers,
            shutdown,
            keys,
            machine,
        })
    }

    fn host(&mut self) -> Option<HostIdentity> {
        let mut section = self.sections.required("host")?;
        let name = section.required("name");
        let zone = section.required("zone");
        let log_level = section.or_default("log_level", log::LevelFilter::Info);
        section.finish();
        Some(HostIdentity {
            name: name?,
            zone: zone?,
            log_level,
        })
    }

    fn listen(&mut self) -> Option<ListenAddresses> {
        let mut section = self.sections.required("listen")?;
        let callers = section.required("callers");
        let servers = section.required("servers");
        let operators = section.required("operators");
        let peers = section.required("peers");
        let tunnels = section.optional("tunnels");
        let servers_from = section.optional("servers_from");
        report_shared_addresses(
            &mut section,
            &[
                ("callers", callers),
                ("servers", servers),
                ("operators", operators),
                ("peers", peers),
                ("tunnels", tunnels),
            ],
        );
        section.finish();
        Some(ListenAddresses {
            callers: callers?,
            servers: servers?,
            operators: operators?,
            peers: peers?,
            tunnels,
            servers_from,
        })
    }

    fn peers(&mut self) -> Option<PeerSettings> {
        let mut section = self.sections.required("peers")?;
        let secret_file = section.required("secret_file");
        let seeds = section.optional::<ValueList<SocketAddr>>("seeds");
        let tunnels = section.optional::<ValueList<SocketAddr>>("tunnels");
        section.finish();
        Some(PeerSettings {
            secret_file: secret_file?,
            seeds: seeds.map(|list| list.0).unwrap_or_default(),
            tunnels: tunnels.map(|list| list.0).unwrap_or_default(),
        })
    }

    fn voters(&mut self) -> Option<BTreeMap<SeatId, SocketAddr>> {
        let section = self.sections.required("voters")?;
        let location = section.location();
        let mut voters = BTreeMap::new();
        let entries = self.sections.raw("voters")?;
        for entry in &entries.entries {
            let seat = SeatNumber::parse(&entry.key);
            let address = SocketAddr::parse(&entry.value);
            match (seat, address) {
                (Ok(seat), Ok(address)) => {
                    voters.insert(SeatId(seat.0), address);
                }
                (Err(problem), _) | (_, Err(problem)) => {
                    let remedy = "write `SEAT = IP:PORT`, such as `1 = 10.0.0.1:7104`";
                    self.sections.report(entry.location.fault(problem, remedy));
                }
            }
        }
        if entries.entries.is_empty() {
            let remedy = "add the initial voters, one `SEAT = IP:PORT` per line";
            self.sections
                .report(location.fault("no voters are listed", remedy));
        }
        Some(voters)
    }

    /// Reads the data folder and the seat. The seat need not be that of an initial
    /// voter, since a host with a replaced disk joins later.
    fn data(&mut self) -> Option<DataSettings> {
        let mut section = self.sections.optional("data")?;
        let folder = section.required("folder");
        let seat = section.required::<SeatNumber>("seat");
        section.finish();
        Some(DataSettings {
            folder: folder?,
            seat: SeatId(seat?.0),
        })
    }

    fn operators(&mut self) -> Option<OperatorSettings> {
        let mut section = self.sections.required("operators")?;
        let token_file = section.required("token_file");
        section.finish();
        Some(OperatorSettings {
            token_file: token_file?,
        })
    }

    fn callers(&mut self) -> CallerLimits {
        let mut limits = CallerLimits {
            body_max_bytes: DEFAULT_BODY_MAX_BYTES,
            header_max_bytes: DEFAULT_HEADER_MAX_BYTES,
            body_timeout: DEFAULT_BODY_TIMEOUT,
        };
        if let Some(mut section) = self.sections.optional("callers") {
            let body = section
                .or_default::<ByteLimit>("body_max_bytes", WholeNumber(DEFAULT_BODY_MAX_BYTES));
            let header = section
                .or_default::<ByteLimit>("header_max_bytes", WholeNumber(DEFAULT_HEADER_MAX_BYTES));
            let timeout = section.or_default("body_timeout_ms", MillisValue(DEFAULT_BODY_TIMEOUT));
            limits.body_max_bytes = body.0;
            limits.header_max_bytes = header.0;
            limits.body_timeout = timeout.0;
            section.finish();
        }
        limits
    }

    fn shutdown(&mut self) -> ShutdownSettings {
        let mut notice = DEFAULT_NOTICE;
        let mut drain_timeout = DEFAULT_DRAIN_TIMEOUT;
        if let Some(mut section) = self.sections.optional("shutdown") {
            notice = section
                .or_default("notice_ms", MillisValue(DEFAULT_NOTICE))
                .0;
            drain_timeout = section
                .or_default("drain_timeout_ms", MillisValue(DEFAULT_DRAIN_TIMEOUT))
                .0;
            section.finish();
        }
        ShutdownSettings {
            notice,
            drain_timeout,
        }
    }

    fn keys(&mut self) -> KeySettings {
        let mut lease = DEFAULT_KEY_LEASE;
        if let Some(mut section) = self.sections.optional("keys") {
            lease = section
                .or_default("lease_ms", MillisValue(DEFAULT_KEY_LEASE))
                .0;
            section.finish();
        }
        KeySettings { lease }
    }
}
