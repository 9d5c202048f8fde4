//! Which servers a host reaches itself, and which only through tunnels of other hosts.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The first pause after which a host tries its own path to a server again; it doubles with
/// each futile try.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// The longest such pause.
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(4);

/// The time after which a detour that was not used is forgotten.
const DETOUR_EXPIRY: Duration = Duration::from_secs(30);

/// The number of servers without an own path from which a host is cut off, and opens no tunnels
/// for others.
const CUT_OFF_SERVERS: usize = 2;

/// The time for which a tunnel host that failed is tried after the others.
const HOST_FAILURE_PERIOD: Duration = Duration::from_secs(1);

/// The maximum number of tunnel hosts that are tried for one connection.
const HOSTS_PER_CONNECTION: usize = 3;

/// The time for which a host keeps asking for tunnel hosts after it needed one.
const NEED_PERIOD: Duration = Duration::from_secs(5);

/// The path by which to open a connection first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstPath {
    /// The host's own path.
    Direct,
    /// A tunnel through another host.
    Tunnel,
}

#[derive(Debug)]
struct ServerDetour {
    retry_at: Instant,
    pause: Duration,
    used_at: Instant,
}

/// The paths of a host to servers.
#[derive(Debug, Default)]
pub struct ServerPaths {
    /// The servers that are reached through tunnels only.
    detours: HashMap<SocketAddr, ServerDetour>,
    /// The servers that the host failed to reach itself since it last reached one, up to
    /// [`CUT_OFF_SERVERS`]. They may be lost as well.
    unreached: HashSet<SocketAddr>,
    /// The servers among them that a tunnel reached, with the same bound.
    bypassed: HashSet<SocketAddr>,
    failed_hosts: HashMap<SocketAddr, Instant>,
    /// When a tunnel host was last needed.
    needed_at: Option<Instant>,
    /// The number of connections for which tunnel hosts were chosen.
    choices: usize,
}

impl ServerPaths {
    /// The path to try first for a connection to a server. One connection at a time tries
    /// the host's own path again.
    pub fn first_path(&mut self, server: SocketAddr, now: Instant) -> FirstPath {
        let Some(detour) = self.detours.get_mut(&server) else {
            return FirstPath::Direct;
        };
        detour.used_at = now;
        if now < detour.retry_at {
            return FirstPath::Tunnel;
        }
        detour.retry_at = now + detour.pause;
        detour.pause = (detour.pause * 2).min(RETRY_PAUSE_MAX);
        FirstPath::Direct
    }

    /// Records that the host reached a server itself. Returns whether that ends a detour.
    pub fn record_direct(&mut self, server: SocketAddr) -> bool {
        self.unreached.clear();
        self.bypassed.clear();
        self.detours.remove(&server).is_some()
    }

    /// Records that the host did not reach a server itself.
    pub fn record_unreached(&mut self, server: SocketAddr) {
        if self.unreached.len() < CUT_OFF_SERVERS {
            self.unreached.insert(server);
        }
    }

    /// Records that a server was reached through a tunnel while the host's own path failed.
    /// Returns whether that begins a detour.
    pub fn record_detour(&mut self, server: SocketAddr, now: Instant) -> bool {
        if self.bypassed.len() < CUT_OFF_SERVERS {
            self.bypassed.insert(server);
        }
        let is_used =
            |detour: &ServerDetour| now.saturating_duration_since(detour.used_at) < DETOUR_EXPIRY;
        self.detours.retain(|_, detour| is_used(detour));
        if self.detours.contains_key(&server) {
            return false;
        }
        let detour = ServerDetour {
            retry_at: now + RETRY_PAUSE,
            pause: RETRY_PAUSE * 2,
            used_at: now,
        };
        self.detours.insert(server, detour);
        true
    }

    /// Whether a server is reached through tunnels only.
    #[must_use]
    pub fn is_detoured(&self, server: SocketAddr) -> bool {
        self.detours.contains_key(&server)
    }

    /// The number of servers that are reached through tunnels only.
    #[must_use]
    pub fn detours(&self) -> usize {
        self.detours.len()
    }

    /// Whether the host reached no server itself lately, while tunnels reached several.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.bypassed.len() >= CUT_OFF_SERVERS
    }

    /// Whether the host reaches servers itself, so that it can open tunnels for others. If
    /// nobody has reached the servers for it, it may be cut off all the same.
    #[must_use]
    pub fn offers_tunnels(&self) -> bool {
        !self.is_cut_off() && self.unreached.len() < CUT_OFF_SERVERS
    }

    /// Records that a tunnel host is needed.
    pub fn record_need(&mut self, now: Instant) {
        self.needed_at = Some(now);
    }

    /// Whether the host needed a tunnel recently.
    #[must_use]
    pub fn needs_tunnels(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < NEED_PERIOD;
        self.needed_at.is_some_and(is_recent)
    }

    /// Records that a tunnel host could not be reached, or was lost.
    pub fn record_host_failure(&mut self, host: SocketAddr, now: Instant) {
        self.failed_hosts.insert(host, now);
    }

    /// The hosts through which to try to open a connection, in order: one of each of the groups
    /// in turn, since all hosts of a zone may be cut off at once, and those that failed lately
    /// last.
    pub fn choose_hosts(&mut self, groups: &[&[SocketAddr]], now: Instant) -> Vec<SocketAddr> {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < HOST_FAILURE_PERIOD;
        self.failed_hosts.retain(|_, at| is_recent(at));
        self.choices = self.choices.wrapping_add(1);
        let mut hosts = Vec::new();
        let longest = groups.iter().map(|group| group.len()).max();
        for position in 0..longest.unwrap_or_default() {
            let in_turn = |group: &&[SocketAddr]| {
                let is_within = position < group.len();
                is_within.then(|| group[(self.choices + position) % group.len()])
            };
            hosts.extend(groups.iter().filter_map(in_turn));
        }
        hosts.sort_by_key(|host| self.failed_hosts.contains_key(host));
        hosts.truncate(HOSTS_PER_CONNECTION);
        hosts
    }
}
