//! The bounds of a process on what its clients may occupy: memory and connections.

use crate::client_connection::{ConnectionPhase, ConnectionState};
use crate::held_answer::{HeldAnswer, HeldPart};
use crate::memory_account::{HolderSize, MemoryAccount, MemoryCharge};
use crate::peer_holder::PeerHolder;
use bytes::Bytes;
use chicoryladder_settings::MachineLimits;
use chicoryladder_types::prelude::*;
use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The memory of a machine whose settings do not tell it. It has room for several jobs of the
/// largest size, 512 MiB.
const DEFAULT_MEMORY_BYTES: u64 = 8_000_000_000;

/// The descriptors of a machine whose settings do not tell them.
const DEFAULT_DESCRIPTORS: u64 = 65_536;

/// The memory that the process needs for itself: program, runtime, plan and directory. Idle
/// role processes take 24 MB in debug builds.
const PROCESS_MEMORY_BYTES: u64 = 48_000_000;

/// The divisor for what the allocator and copies of bodies take beyond the charged bytes.
const OVERHEAD_DIVISOR: usize = 2;

/// The descriptors that the process needs for itself: files, listeners and other hosts. Idle
/// role processes have 20.
const PROCESS_DESCRIPTORS: u64 = 40;

/// The resident memory of an idle connection: two buffers of 8 KiB in hyper, the task, and what
/// the allocator adds. Measured in debug builds: 18,700 bytes after a first request and 25,000
/// after four on 7 threads (`examples/connection_cost.rs`), 21,800 in a control process with
/// 3,500 of them.
const IDLE_RESIDENT_BYTES: usize = 25_600;

/// What is charged for an idle connection. Its resident memory includes the overhead for which
/// the account has only a part of the memory, so that is taken off.
pub(crate) const IDLE_CONNECTION_BYTES: usize = IDLE_RESIDENT_BYTES / OVERHEAD_DIVISOR;

/// What a request that is served is charged beyond its connection: the fields of its head and
/// the tasks that serve it.
pub(crate) const SERVED_REQUEST_BYTES: usize = 24 * 1024 - IDLE_CONNECTION_BYTES;

/// What a connection takes of the descriptors, in halves of one: its own.
const IDLE_HALF_DESCRIPTORS: usize = 2;

/// A request that is served takes a descriptor for its server, too. Connections to servers are
/// shared over time, so half of one is counted.
const SERVED_HALF_DESCRIPTORS: usize = 1;

/// The divisor of the part of the connections that is kept for the ports of probes and metrics,
/// and of the part that is kept for other addresses than the busiest.
const RESERVED_DIVISOR: usize = 8;

/// The largest such part. Probes and metrics take a few connections, however large the machine is.
const RESERVED_MAX: usize = 48;

/// The divisor of the part of the account that other hosts always find, whatever clients hold:
/// 7.7 MB with 110 MB. Their largest messages are bodies and jobs of 4 MiB; parts of snapshots
/// have 256 KiB.
const PEER_PART_DIVISOR: usize = 4;

/// The largest charge for which other hosts may use the last quarter of the account, too: requests
/// between hosts are short, and each step of a long message is larger.
const PEER_SMALL_MAX_BYTES: usize = 16 * 1024;

/// The bounds of the connections of other hosts that have not identified themselves. All hosts of
/// a fleet may connect at once.
const UNIDENTIFIED_MIN: usize = 16;
const UNIDENTIFIED_MAX: usize = 512;

/// What hyper may hold of a body beside its buffer: the read buffer, and a chunk that waits for
/// the reader. A body cannot have more there than it has sent.
pub(crate) const READ_AHEAD_BYTES: usize = 64 * 1024;

/// The least time without progress after which a connection may be given up for another one.
/// It exceeds the time in which TCP repeats a lost packet once or twice.
const EVICTION_STALL: Duration = Duration::from_millis(500);

/// The least time for which nothing of an answer has been read before it is given up while the
/// account is full. Clients that read slowly take a part each second or two.
const UNREAD_STALL: Duration = Duration::from_secs(5);

/// The interval between two log lines about clients outside the bounds.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The bounds of a process on what its clients may occupy. Clones share them.
#[derive(Clone)]
pub struct MachineBounds {
    memory: Arc<MemoryAccount>,
    table: Arc<ConnectionTable>,
    peers: Arc<PeerTotals>,
    is_reserved: bool,
}

/// What other hosts occupy.
pub(crate) struct PeerTotals {
    bytes: AtomicUsize,
    closed: AtomicU64,
    unidentified_max: usize,
}

impl PeerTotals {
    pub(crate) fn release(&self, bytes: usize) {
        self.bytes.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// The connections of clients at all ports of a process.
struct ConnectionTable {
    clock: Arc<dyn ClockSource>,
    started_at: Instant,
    max: usize,
    /// The maximum for the ports that are not reserved.
    max_shared: usize,
    /// The maximum of one address at these ports.
    max_per_address: usize,
    /// What connections and the requests that are served may take of the descriptors.
    half_descriptors: usize,
    open: Mutex<OpenConnections>,
    /// The requests that are served.
    served: AtomicUsize,
    counts: BoundCounts,
    last_log_ms: AtomicU64,
    unlogged: AtomicU64,
}

#[derive(Default)]
struct OpenConnections {
    next_id: u64,
    by_id: HashMap<u64, Arc<ConnectionState>>,
    by_address: HashMap<IpAddr, usize>,
}

#[derive(Default)]
struct BoundCounts {
    connections_refused: AtomicU64,
    connections_evicted: AtomicU64,
    requests_refused: AtomicU64,
    bodies_evicted: AtomicU64,
}

/// Which connections may be given up for another one.
#[derive(Clone, Copy)]
enum EvictionScope {
    /// Those of one address.
    Address(IpAddr),
    /// Those of the address that has most.
    BusiestAddress,
    /// Those that wait for a request.
    Idle,
    /// Those whose bodies arrive.
    Bodies,
    /// Those whose answers are unread.
    UnreadAnswers,
}

impl MachineBounds {
    /// Derives the bounds from the limits of the machine.
    #[must_use]
    pub fn new(machine: MachineLimits, clock: Arc<dyn ClockSource>) -> Self {
        let memory = machine.memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES);
        let own = PROCESS_MEMORY_BYTES.min(memory / 2);
        let capacity = as_size(memory - own) / OVERHEAD_DIVISOR;
        let descriptors = machine.descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        let spare = as_size(descriptors.saturating_sub(PROCESS_DESCRIPTORS));
        // What idle connections leave is for connections to servers and to other hosts.
        let by_descriptors = spare - spare / 9;
        let by_memory = capacity / 2 / IDLE_CONNECTION_BYTES;
        let max = by_descriptors.min(by_memory).max(1);
        let max_shared = max - reserved_part(max);
        // A load balancer may bring all callers from one address.
        let max_per_address = max_shared - reserved_part(max_shared);
        let table = ConnectionTable {
            started_at: clock.now(),
            clock,
            max,
            max_shared,
            max_per_address,
            half_descriptors: spare * IDLE_HALF_DESCRIPTORS,
            served: AtomicUsize::new(0),
            open: Mutex::default(),
            counts: BoundCounts::default(),
            last_log_ms: AtomicU64::new(0),
            unlogged: AtomicU64::new(0),
        };
        Self {
            memory: MemoryAccount::new(capacity),
            table: Arc::new(table),
            peers: Arc::new(PeerTotals {
                bytes: AtomicUsize::new(0),
                closed: AtomicU64::new(0),
                unidentified_max: (spare / 8).clamp(UNIDENTIFIED_MIN, UNIDENTIFIED_MAX),
            }),
            is_reserved: false,
        }
    }

    /// The same bounds for a port of probes or metrics, whose connections may use the part that
    /// those of other ports leave.
    #[must_use]
    pub fn reserved(&self) -> Self {
        Self {
            is_reserved: true,
            ..self.clone()
        }
    }

    /// The account of bytes.
    #[must_use]
    pub fn memory(&self) -> &Arc<MemoryAccount> {
        &self.memory
    }

    /// Charges a part of an answer that is kept until its caller reads it, until the last
    /// reference to it is dropped.
    #[must_use]
    pub fn charge_part(&self, part: Bytes) -> Bytes {
        Bytes::from_owner(HeldPart {
            _charge: self.charge_answer(part.len()),
            part,
        })
    }

    /// A buffer for an answer that is read before it is passed on.
    #[must_use]
    pub fn hold_answer(&self) -> HeldAnswer {
        HeldAnswer::new(self.clone())
    }

    /// The size of the largest body that fits into the account while it is empty.
    pub(crate) fn body_max_bytes(&self) -> usize {
        let room = self.memory.large_max_bytes();
        room.saturating_sub(IDLE_CONNECTION_BYTES + SERVED_REQUEST_BYTES + READ_AHEAD_BYTES)
    }

    /// Whether requests without a body are refused too, since answers fill more than the
    /// account.
    pub(crate) fn refuses_requests(&self) -> bool {
        !self.is_reserved && self.memory.is_overdrawn()
    }

    /// The levels for metrics, by name.
    #[must_use]
    pub fn levels(&self) -> Vec<(&'static str, f64)> {
        let counts = &self.table.counts;
        let open = self.table.open().by_id.len();
        let size = |size: usize| f64::from(u32::try_from(size).unwrap_or(u32::MAX));
        let count = |count: &AtomicU64| {
            let count = count.load(Ordering::Relaxed);
            f64::from(u32::try_from(count).unwrap_or(u32::MAX))
        };
        vec![
            ("client_bytes", size(self.memory.used())),
            ("client_bytes_max", size(self.memory.capacity())),
            ("client_connections", size(open)),
            ("client_connections_max", size(self.table.max)),
            (
                "client_requests_served",
                size(self.table.served.load(Ordering::Relaxed)),
            ),
            (
                "client_connections_refused",
                count(&counts.connections_refused),
            ),
            (
                "client_connections_evicted",
                count(&counts.connections_evicted),
            ),
            ("client_requests_refused", count(&counts.requests_refused)),
            ("client_bodies_evicted", count(&counts.bodies_evicted)),
            ("peer_bytes", size(self.peers.bytes.load(Ordering::Relaxed))),
            ("peer_connections_closed", count(&self.peers.closed)),
        ]
    }

    /// Admits a connection, for which a stalled one may be closed; `None` if there is no room.
    pub(crate) fn admit(&self, address: IpAddr) -> Option<ClientConnection> {
        let table = &self.table;
        let scope = {
            let open = table.open();
            let of_address = open.by_address.get(&address).copied().unwrap_or_default();
            if self.is_reserved {
                let is_full = open.by_id.len() >= table.max;
                is_full.then_some(EvictionScope::BusiestAddress)
            } else if of_address >= table.max_per_address {
                Some(EvictionScope::Address(address))
            } else if open.by_id.len() >= table.max_shared
                || table.descriptors_lack(open.by_id.len() + 1, 0)
            {
                Some(EvictionScope::BusiestAddress)
            } else {
                None
            }
        };
        if let Some(scope) = scope
            && !self.evict(scope)
        {
            let refused = &table.counts.connections_refused;
            refused.fetch_add(1, Ordering::Relaxed);
            self.log(
                "refused a connection",
                address,
                "all connections are in use",
            );
            return None;
        }
        let charge = if self.is_reserved {
            Some(self.memory.charge_always(IDLE_CONNECTION_BYTES))
        } else {
            self.try_charge(IDLE_CONNECTION_BYTES, HolderSize::Small)
        };
        let Some(charge) = charge else {
            let refused = &table.counts.connections_refused;
            refused.fetch_add(1, Ordering::Relaxed);
            self.log("refused a connection", address, "the memory is in use");
            return None;
        };
        let state = Arc::new(ConnectionState::new(address, self.now_ms()));
        let id = table.open().insert(state.clone());
        Some(ClientConnection {
            bounds: self.clone(),
            state,
            entry: Arc::new(TableEntry {
                table: table.clone(),
                id,
                _charge: charge,
            }),
        })
    }

    /// Charges a request that is about to be served, for which an idle connection may be closed;
    /// `None` if there is no room.
    pub(crate) fn begin_request(&self) -> Option<ServedRequest> {
        let table = &self.table;
        let charge = if self.is_reserved {
            self.memory.charge_always(SERVED_REQUEST_BYTES)
        } else {
            let open = table.open().by_id.len();
            if table.descriptors_lack(open, 1) && !self.evict(EvictionScope::Idle) {
                return None;
            }
            self.try_charge(SERVED_REQUEST_BYTES, HolderSize::Small)?
        };
        table.served.fetch_add(1, Ordering::Relaxed);
        Some(ServedRequest {
            table: table.clone(),
            _charge: charge,
        })
    }

    /// Charges bytes, for which stalled bodies may be given up; `None` if they do not fit.
    pub(crate) fn try_charge(&self, bytes: usize, size: HolderSize) -> Option<MemoryCharge> {
        loop {
            if let Some(charge) = self.memory.try_charge(bytes, size) {
                return Some(charge);
            }
            if bytes > self.memory.capacity() {
                return None;
            }
            if !self.evict(EvictionScope::Bodies) {
                // The bytes of an answer are released only once its connection has ended, so
                // this makes room for a later charge.
                self.evict(EvictionScope::UnreadAnswers);
                return None;
            }
        }
    }

    /// Charges the bytes of an answer. If that exceeds the capacity, a stalled body is given up, or
    /// an answer that has been unread for long.
    pub(crate) fn charge_answer(&self, bytes: usize) -> MemoryCharge {
        let charge = self.memory.charge_always(bytes);
        if self.memory.is_overdrawn() && !self.evict(EvictionScope::Bodies) {
            self.evict(EvictionScope::UnreadAnswers);
        }
        charge
    }

    /// Charges bytes of other hosts. A part of the account is theirs in any case, so that messages
    /// between hosts arrive while clients fill it; beyond that they compete with clients.
    pub(crate) fn charge_peer(&self, bytes: usize) -> Option<PeerHolder> {
        let part = self.memory.capacity() / PEER_PART_DIVISOR;
        let charge = if self.peers.bytes.load(Ordering::Relaxed) + bytes <= part {
            self.charge_answer(bytes)
        } else {
            let size = if bytes <= PEER_SMALL_MAX_BYTES {
                HolderSize::Small
            } else {
                HolderSize::Large
            };
            self.try_charge(bytes, size)?
        };
        self.peers.bytes.fetch_add(bytes, Ordering::Relaxed);
        Some(PeerHolder {
            totals: self.peers.clone(),
            bytes,
            _charge: charge,
        })
    }

    pub(crate) fn unidentified_peers_max(&self) -> usize {
        self.peers.unidentified_max
    }

    /// Counts and logs a connection of another host that was closed because of the bounds.
    pub(crate) fn note_closed(&self, address: IpAddr, why: &str) {
        self.peers.closed.fetch_add(1, Ordering::Relaxed);
        self.log("closed a connection to the port for hosts", address, why);
    }

    /// Counts and logs a request that found no room.
    pub(crate) fn note_refused_request(&self, address: IpAddr) {
        let refused = &self.table.counts.requests_refused;
        refused.fetch_add(1, Ordering::Relaxed);
        self.log("refused a request", address, "the memory is in use");
    }

    pub(crate) fn now_ms(&self) -> u64 {
        let elapsed = self.table.clock.now();
        let elapsed = elapsed.saturating_duration_since(self.table.started_at);
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }

    /// Gives up the connection in scope that has been stalled for the longest time; false if
    /// none has been for long enough.
    fn evict(&self, scope: EvictionScope) -> bool {
        let now = self.now_ms();
        let Some(victim) = self.table.open().most_stalled(scope, now) else {
            return false;
        };
        let counts = &self.table.counts;
        if matches!(scope, EvictionScope::Bodies) {
            if !victim.evict_body() {
                return false;
            }
            counts.bodies_evicted.fetch_add(1, Ordering::Relaxed);
            self.log("gave up a body", victim.address, "it stalled");
            return true;
        }
        victim.close();
        counts.connections_evicted.fetch_add(1, Ordering::Relaxed);
        self.log("closed a connection", victim.address, "it stalled");
        true
    }

    /// Logs what was done to a client, at most once in `LOG_INTERVAL`.
    fn log(&self, what: &str, address: IpAddr, why: &str) {
        let table = &self.table;
        let now = self.now_ms();
        let last = table.last_log_ms.load(Ordering::Relaxed);
        let is_due = last == 0 || u128::from(now - last.min(now)) >= LOG_INTERVAL.as_millis();
        if !is_due {
            table.unlogged.fetch_add(1, Ordering::Relaxed);
            return;
        }
        table.last_log_ms.store(now.max(1), Ordering::Relaxed);
        let unlogged = table.unlogged.swap(0, Ordering::Relaxed);
        let open = table.open().by_id.len();
        log::warn!(
            "listener: {what} of {address}, since {why}; {} of {} bytes and {open} of {} \
             connections are in use, {unlogged} more such events since the last line.",
            self.memory.used(),
            self.memory.capacity(),
            table.max,
        );
    }
}

impl ConnectionTable {
    /// Whether the descriptors do not suffice for `open` connections and `more` requests beyond
    /// those that are served.
    fn descriptors_lack(&self, open: usize, more: usize) -> bool {
        let served = self.served.load(Ordering::Relaxed) + more;
        let taken = open * IDLE_HALF_DESCRIPTORS + served * SERVED_HALF_DESCRIPTORS;
        taken > self.half_descriptors
    }

    fn open(&self) -> MutexGuard<'_, OpenConnections> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OpenConnections {
    fn insert(&mut self, state: Arc<ConnectionState>) -> u64 {
        self.next_id += 1;
        *self.by_address.entry(state.address).or_default() += 1;
        self.by_id.insert(self.next_id, state);
        self.next_id
    }

    fn remove(&mut self, id: u64) {
        let Some(state) = self.by_id.remove(&id) else {
            return;
        };
        if let Some(count) = self.by_address.get_mut(&state.address) {
            *count -= 1;
            if *count == 0 {
                self.by_address.remove(&state.address);
            }
        }
    }

    fn most_stalled(&self, scope: EvictionScope, now_ms: u64) -> Option<Arc<ConnectionState>> {
        let busiest = self.by_address.iter().max_by_key(|(_, count)| **count);
        let in_scope = |state: &ConnectionState| match (scope, state.phase()) {
            // Work under way is not aborted for a new connection.
            (
                EvictionScope::Address(_) | EvictionScope::BusiestAddress,
                ConnectionPhase::Answer,
            ) => false,
            (EvictionScope::Address(address), _) => state.address == address,
            (EvictionScope::BusiestAddress, _) => {
                busiest.is_some_and(|(address, _)| *address == state.address)
            }
            (EvictionScope::Idle, phase) => phase == ConnectionPhase::Idle,
            (EvictionScope::Bodies, phase) => {
                phase == ConnectionPhase::Body && state.body().is_some()
            }
            (EvictionScope::UnreadAnswers, _) => {
                state.has_unread() && state.stalled_for(now_ms) >= UNREAD_STALL
            }
        };
        let stalled = |state: &&Arc<ConnectionState>| {
            !state.is_evicted() && state.stalled_for(now_ms) >= EVICTION_STALL && in_scope(state)
        };
        let longest = |state: &&Arc<ConnectionState>| state.stalled_for(now_ms);
        let victim = self.by_id.values().filter(stalled).max_by_key(longest);
        victim.cloned()
    }
}

/// A request that is served, charged until this is dropped.
pub(crate) struct ServedRequest {
    table: Arc<ConnectionTable>,
    _charge: MemoryCharge,
}

impl Drop for ServedRequest {
    fn drop(&mut self) {
        self.table.served.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Keeps a connection in the table until its last clone is dropped.
struct TableEntry {
    table: Arc<ConnectionTable>,
    id: u64,
    _charge: MemoryCharge,
}

impl Drop for TableEntry {
    fn drop(&mut self) {
        self.table.open().remove(self.id);
    }
}

/// A client's connection with the bounds that it counts towards. Clones refer to the same
/// connection.
#[derive(Clone)]
pub(crate) struct ClientConnection {
    pub(crate) bounds: MachineBounds,
    pub(crate) state: Arc<ConnectionState>,
    // Dropping the last clone takes the connection out of the table.
    #[expect(dead_code, reason = "held for its drop")]
    entry: Arc<TableEntry>,
}

impl ClientConnection {
    pub(crate) fn enter(&self, phase: ConnectionPhase) {
        self.state.enter(phase, self.bounds.now_ms());
    }

    pub(crate) fn note_progress(&self) {
        self.state.note_progress(self.bounds.now_ms());
    }
}

/// The part of `connections` that is kept for other uses than most.
fn reserved_part(connections: usize) -> usize {
    (connections / RESERVED_DIVISOR).min(RESERVED_MAX)
}

fn as_size(bytes: u64) -> usize {
    usize::try_from(bytes).unwrap_or(usize::MAX)
}
