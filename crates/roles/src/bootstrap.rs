//! How the control group comes into being, and how hosts find it later.
//!
//! Settings name a few hosts that take control calls. Each of them is a control
//! host, or a store host that passes calls on. At the first start control hosts
//! ask which is which before they found their group. Store hosts keep the addresses
//! of control hosts on disk, so that they can point to them after any restart.

use crate::leader_client::LeaderClient;
use crate::message::{BootstrapAnswer, BootstrapCall, Call, HostRole, encode};
use crate::process::{ProcessBase, RETRY_PAUSE};
use chicoryladder_group::{
    AddressFile, BootstrapMembers, BootstrapStep, plan_bootstrap, sole_bootstrap_member,
};
use futures_util::future::join_all;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The time for one question to a seed.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// The file of the control host that founds the group alone.
const SOLE_MEMBER_FILE: &str = "control-founder";

/// The file of the control hosts that were heard of last.
const HOSTS_FILE: &str = "control-hosts";

/// Asks the seeds until it is decided which hosts found the control group; none of
/// them is this host if it has to join.
pub(crate) async fn decide_bootstrap_members(
    base: &ProcessBase,
    client: &LeaderClient,
) -> BootstrapMembers {
    let own = base.rpc.identity().address;
    let seeds: BTreeSet<SocketAddr> = base.control_seeds().into_iter().collect();
    let mut holds_seat = BTreeMap::from([(own, true)]);
    loop {
        let unanswered = seeds.iter().filter(|seed| !holds_seat.contains_key(*seed));
        let queries = join_all(unanswered.map(|seed| async move {
            match query_seed(base, *seed, &BootstrapCall::Role).await {
                Some(BootstrapAnswer::Role(role)) => Some((*seed, role == HostRole::Control)),
                _ => None,
            }
        }));
        let answers = queries.await;
        holds_seat.extend(answers.into_iter().flatten());
        match plan_bootstrap(own, &seeds, &holds_seat) {
            BootstrapStep::Bootstrap(members) => return members,
            BootstrapStep::Join => return BootstrapMembers::new(),
            BootstrapStep::QuerySeed(seed) => {
                if let Some(BootstrapAnswer::SoleMember(Some(sole_member))) =
                    query_seed(base, seed, &BootstrapCall::SoleMember).await
                {
                    client.add_hosts(&[sole_member]);
                    return if sole_member == own {
                        sole_bootstrap_member(own)
                    } else {
                        BootstrapMembers::new()
                    };
                }
            }
            BootstrapStep::Wait => {}
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// A seed that does not answer is asked again.
async fn query_seed(
    base: &ProcessBase,
    seed: SocketAddr,
    call: &BootstrapCall,
) -> Option<BootstrapAnswer> {
    let payload = encode("founding", &Call::Bootstrap(*call))?;
    let answer = base.rpc.call(seed, payload, QUERY_TIMEOUT).await.ok()?;
    match postcard::from_bytes(&answer) {
        Ok(answer) => Some(answer),
        Err(error) => {
            log::warn!("founding: {seed} answered what cannot be read: {error}.");
            None
        }
    }
}

/// What a store host keeps of the control hosts.
pub(crate) struct ControlAddresses {
    sole_member_file: AddressFile,
    sole_member: Mutex<Option<SocketAddr>>,
    hosts_file: AddressFile,
    hosts: Mutex<BTreeSet<SocketAddr>>,
    is_writing: AtomicBool,
}

impl ControlAddresses {
    /// Reads what is kept in a data folder.
    ///
    /// # Errors
    ///
    /// Fails if a file is damaged or cannot be read.
    pub(crate) fn open(folder: &Path) -> io::Result<Self> {
        let sole_member_file = AddressFile::new(folder, SOLE_MEMBER_FILE);
        let hosts_file = AddressFile::new(folder, HOSTS_FILE);
        Ok(Self {
            sole_member: Mutex::new(sole_member_file.read()?.first().copied()),
            sole_member_file,
            hosts: Mutex::new(hosts_file.read()?.into_iter().collect()),
            hosts_file,
            is_writing: AtomicBool::new(false),
        })
    }

    /// Where control hosts were last.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        let sole_member = *lock(&self.sole_member);
        lock(&self.hosts)
            .iter()
            .copied()
            .chain(sole_member)
            .collect()
    }

    /// The control host that founds the group alone: the first that asked. Blocks on
    /// the disk.
    ///
    /// # Errors
    ///
    /// Fails if the choice cannot be made durable; it may be another one then.
    pub(crate) fn appoint(&self, candidate: SocketAddr) -> io::Result<SocketAddr> {
        let mut sole_member = lock(&self.sole_member);
        if let Some(sole_member) = *sole_member {
            return Ok(sole_member);
        }
        self.sole_member_file.write(&[candidate])?;
        *sole_member = Some(candidate);
        Ok(candidate)
    }

    /// Keeps the addresses of control hosts, if they are news, on a thread that may
    /// wait for the disk.
    pub(crate) fn save_hosts(self: &Arc<Self>, hosts: &[SocketAddr]) {
        let hosts: BTreeSet<SocketAddr> = hosts.iter().copied().collect();
        if hosts.is_empty() || *lock(&self.hosts) == hosts {
            return;
        }
        if self.is_writing.swap(true, Ordering::Relaxed) {
            // What is heard next is compared with what this write kept.
            return;
        }
        let shared = self.clone();
        tokio::task::spawn_blocking(move || {
            let addresses: Vec<SocketAddr> = hosts.iter().copied().collect();
            match shared.hosts_file.write(&addresses) {
                Ok(()) => *lock(&shared.hosts) = hosts,
                Err(error) => log::warn!("store: the control hosts cannot be kept: {error}."),
            }
            shared.is_writing.store(false, Ordering::Relaxed);
        });
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
