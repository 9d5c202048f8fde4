//! The options of a stand-in plain service.

use chicoryladder_types::{
    ServerAnnouncement, ServerGeneration, ServerLoad, ServerName, ServiceName, ZoneName,
};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// The default time between two announcements.
const DEFAULT_ANNOUNCE_PERIOD: Duration = Duration::from_secs(1);

/// The default maximum number of requests recorded for checks after a run.
const DEFAULT_RECORD_LIMIT: usize = 10_000;

/// The default number of concurrent requests to announce.
const DEFAULT_SLOTS: u32 = 64;

/// The options of a stand-in plain service.
#[derive(Clone, Debug)]
pub struct PlainOptions {
    /// The name in announcements.
    pub name: ServerName,
    /// The availability zone in announcements.
    pub zone: ZoneName,
    /// The services to announce.
    pub services: Vec<ServiceName>,
    /// The address to listen on; port 0 selects a free port.
    pub address: SocketAddr,
    /// The addresses of the entry hosts' server ports, which receive the
    /// announcements.
    pub entry_hosts: Vec<SocketAddr>,
    /// The time between two announcements.
    pub announce_period: Duration,
    /// The incarnation number announced at the start; it increases at each recovery.
    pub generation: ServerGeneration,
    /// The number of concurrent requests to announce; it is not enforced.
    pub slots: u32,
    /// The time that each request takes.
    pub service_time: Duration,
    /// The maximum number of requests recorded for checks after a run; further ones
    /// are served but not recorded.
    pub record_limit: usize,
}

impl PlainOptions {
    /// The default options of a service on a free loopback port, without entry
    /// hosts.
    #[must_use]
    pub fn new(name: ServerName, zone: ZoneName, service: ServiceName) -> Self {
        Self {
            name,
            zone,
            services: vec![service],
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            entry_hosts: Vec::new(),
            announce_period: DEFAULT_ANNOUNCE_PERIOD,
            generation: ServerGeneration(1),
            slots: DEFAULT_SLOTS,
            service_time: Duration::ZERO,
            record_limit: DEFAULT_RECORD_LIMIT,
        }
    }

    pub(super) fn announcement(&self, address: SocketAddr) -> ServerAnnouncement {
        ServerAnnouncement {
            name: self.name.clone(),
            zone: self.zone.clone(),
            address,
            generation: self.generation,
            slots: self.slots,
            models: Vec::new(),
            services: self.services.clone(),
            checks_fencing: false,
            leaving: false,
            load: ServerLoad::default(),
        }
    }
}
