//! Server selection on a host that cannot reach the broker.
//!
//! Such a host uses the last server directory that it received, its own runs, the
//! servers that it recently failed to reach, and those that told it that they leave.
//! When the broker is unreachable, other zones may be as well, so servers of the host's
//! own zone are preferred while one of them has a free slot.

use crate::cold_servers::ColdServerView;
use crate::departures::LeavingServers;
use crate::directory::{ServerCheckIn, ServerPhase};
use crate::homes::ZoneAreas;
use crate::request::SlotRequest;
use crate::roster::ZoneRoster;
use crate::server_limits::NamedLimits;
use crate::streams::StreamPart;
use crate::versions::VersionList;
use chicoryladder_types::ServiceName;
use chicoryladder_types::prelude::*;
use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Instant;

/// The number of servers up to which all hosts know every server of a service.
const SMALL_SERVICE_SERVERS: usize = 16;

/// The part of a server's limit that the hosts of its zone share without the broker. The
/// hosts of all other zones together have as much at most, so that all stay within the limit.
const BROKERLESS_LIMIT_SHARE: f64 = 0.5;

/// The servers that the hosts of a zone need to choose by themselves: those of small
/// services, those in the zone, and all of a service that has none there.
#[must_use]
pub fn servers_for_zone(servers: &[ServerCheckIn], zone: &ZoneName) -> Vec<ServerCheckIn> {
    let mut counts: HashMap<&ServiceName, (usize, usize)> = HashMap::new();
    for server in servers {
        let (all, in_zone) = counts.entry(&server.service).or_default();
        *all += 1;
        *in_zone += usize::from(server.zone == *zone);
    }
    let is_needed = |server: &&ServerCheckIn| {
        let (all, in_zone) = counts[&server.service];
        server.zone == *zone || all <= SMALL_SERVICE_SERVERS || in_zone == 0
    };
    servers.iter().filter(is_needed).cloned().collect()
}

/// What a host knows of the memory of a service's servers, which its own runs share.
#[derive(Clone, Debug, Default)]
pub struct EngineMemory {
    /// The tokens that fit into the memory of a server; `None` if this does not count.
    pub tokens_max: Option<u64>,
    /// The tokens of this host's active runs on each server.
    pub own_tokens: HashMap<ServerName, u64>,
}

impl EngineMemory {
    fn fits(&self, server: &ServerName, tokens: u64) -> bool {
        let used = self.own_tokens.get(server).copied().unwrap_or_default();
        self.tokens_max
            .is_none_or(|max| used.saturating_add(tokens) <= max)
    }
}

/// The local state from which a host selects a server without the broker.
#[derive(Clone, Copy, Debug)]
pub struct BrokerlessView<'a> {
    /// The servers as of the last directory update.
    pub servers: &'a [ServerCheckIn],
    /// The number of active runs of this host on each server.
    pub own_runs: &'a HashMap<ServerName, u32>,
    /// The memory of the requested service's servers.
    pub memory: &'a EngineMemory,
    /// The servers to which a connection recently failed.
    pub unreachable: &'a HashSet<ServerName>,
    /// The versions of the servers; `None` if the broker did not list them.
    pub versions: Option<&'a VersionList>,
    /// The servers that said in their responses that they leave.
    pub leaving: &'a LeavingServers,
    /// The limits that servers named in their responses.
    pub limits: &'a NamedLimits,
    /// What this host knows of cold servers of the requested service.
    pub cold: ColdServerView<'a>,
    /// The areas of zones, for requests with homes.
    pub areas: &'a ZoneAreas,
    /// The entry hosts of this host's zone.
    pub roster: &'a ZoneRoster,
    /// The time of the choice.
    pub now: Instant,
}

impl<'a> BrokerlessView<'a> {
    /// Selects a server with a free slot for a request.
    #[must_use]
    pub fn choose(&self, request: &SlotRequest) -> Option<&'a ServerCheckIn> {
        let usable = self
            .servers
            .iter()
            .filter(|server| self.is_usable(server, request));
        usable.min_by_key(|server| {
            let is_remote = server.zone != request.zone;
            (
                is_remote,
                self.runs_at(server),
                tie_break_hash(request.ticket, server.name.as_str()),
            )
        })
    }

    fn is_allowed_home(&self, server: &ServerCheckIn, request: &SlotRequest) -> bool {
        self.areas
            .allows_server(request.homes.as_ref(), &server.zone)
    }

    fn is_usable(&self, server: &ServerCheckIn, request: &SlotRequest) -> bool {
        server.service == request.service
            && server.phase == ServerPhase::Ready
            && request
                .required_version()
                .is_none_or(|version| *version == server.version)
            && self.may_begin(server, request)
            && self.is_allowed_home(server, request)
            && !request.avoid.contains(&server.name)
            && !self.unreachable.contains(&server.name)
            && !self.leaving.is_leaving(&server.name, server.incarnation)
            && self.is_within_limit(server, request)
            && self.is_within_cold_rate(server, request)
            && self.runs_at(server) < server.slots
            && self.memory.fits(&server.name, request.tokens)
    }

    /// Whether the request is not for the beginning of a stream, or it may begin at the version
    /// of the server.
    fn may_begin(&self, server: &ServerCheckIn, request: &SlotRequest) -> bool {
        let is_beginning = matches!(request.stream, Some(StreamPart::Beginning(_)));
        let may_begin = |list: &VersionList| list.may_begin(&server.service, &server.version);
        !is_beginning || self.versions.is_none_or(may_begin)
    }

    fn is_within_limit(&self, server: &ServerCheckIn, request: &SlotRequest) -> bool {
        let hosts = if server.zone == request.zone {
            u32::try_from(self.roster.hosts.len()).unwrap_or(u32::MAX)
        } else {
            self.roster.fleet_hosts
        };
        let share = BROKERLESS_LIMIT_SHARE / f64::from(hosts.max(1));
        self.limits
            .admits_alone(&server.name, server.incarnation, share, self.now)
    }

    fn is_within_cold_rate(&self, server: &ServerCheckIn, request: &SlotRequest) -> bool {
        let age_max = self.cold.answer_age_max();
        let limit = self
            .limits
            .recent_limit(&server.name, server.incarnation, age_max, self.now);
        let in_zone = server.zone == request.zone;
        self.cold
            .admits(server, limit, self.roster, in_zone, self.now)
    }

    fn runs_at(&self, server: &ServerCheckIn) -> u32 {
        self.own_runs.get(&server.name).copied().unwrap_or_default()
    }
}

/// Orders equally loaded servers differently for each ticket, so that requests are
/// distributed over them.
fn tie_break_hash(ticket: u64, name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (ticket, name).hash(&mut hasher);
    hasher.finish()
}
