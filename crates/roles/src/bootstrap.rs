//! Bootstrap of the control group, and discovery of control hosts after a restart.
//!
//! The settings name seeds: hosts that accept control calls. Each is a control host,
//! or a store host that relays the calls. At the first start, control hosts query the
//! roles of the seeds before they bootstrap their group. Store hosts save the addresses
//! of control hosts on disk, so that they can refer other hosts to them after a
//! restart.

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

/// The timeout of a query to one seed.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// The file with the control host that bootstraps the group as its only member.
const SOLE_MEMBER_FILE: &str = "control-founder";

/// The file with the control hosts that the last sync listed.
const HOSTS_FILE: &str = "control-hosts";

/// Queries the seeds until the bootstrap members of the control group are decided.
/// This host is not among them if it has to join; the result may be empty then.
pub(crate) async fn decide_bootstrap_members(
    base: &ProcessBase,
    client: &LeaderClient,
) -> BootstrapMembers {
    let own_address = base.rpc.identity().address;
    let seeds: BTreeSet<SocketAddr> = base.control_seeds().into_iter().collect();
    let mut holds_seat = BTreeMap::from([(own_address, true)]);
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
        match plan_bootstrap(own_address, &seeds, &holds_seat) {
            BootstrapStep::Bootstrap(members) => return members,
            BootstrapStep::Join => return BootstrapMembers::new(),
            BootstrapStep::QuerySeed(seed) => {
                if let Some(BootstrapAnswer::SoleMember(Some(sole_member))) =
                    query_seed(base, seed, &BootstrapCall::SoleMember).await
                {
                    client.add_seeds(&[sole_member]);
                    return if sole_member == own_address {
                        sole_bootstrap_member(own_address)
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

/// Queries one seed; the caller tries again after `None`.
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
            log::warn!("founding: failed to decode the reply of {seed}: {error}.");
            None
        }
    }
}

/// The addresses of control hosts that a store host keeps on disk.
pub(crate) struct ControlAddresses {
    sole_member_file: AddressFile,
    sole_member: Mutex<Option<SocketAddr>>,
    hosts_file: AddressFile,
    hosts: Mutex<BTreeSet<SocketAddr>>,
    is_writing: AtomicBool,
}

impl ControlAddresses {
    /// Reads the addresses saved in a data folder.
    ///
    /// # Errors
    ///
    /// Fails if a file is corrupt or cannot be read.
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

    /// The last known addresses of control hosts.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        let sole_member = *lock(&self.sole_member);
        lock(&self.hosts)
            .iter()
            .copied()
            .chain(sole_member)
            .collect()
    }

    /// Appoints the control host that bootstraps the group as its only member: the
    /// first that sent the query. Blocks on the disk.
    ///
    /// # Errors
    ///
    /// Fails if the choice cannot be made durable; a later call may choose another host
    /// then.
    pub(crate) fn appoint(&self, candidate: SocketAddr) -> io::Result<SocketAddr> {
        let mut sole_member = lock(&self.sole_member);
        if let Some(sole_member) = *sole_member {
            return Ok(sole_member);
        }
        self.sole_member_file.write(&[candidate])?;
        *sole_member = Some(candidate);
        Ok(candidate)
    }

    /// Saves the addresses of control hosts if they changed, on a thread that may block
    /// on the disk.
    pub(crate) fn save_hosts(self: &Arc<Self>, hosts: &[SocketAddr]) {
        let hosts: BTreeSet<SocketAddr> = hosts.iter().copied().collect();
        if hosts.is_empty() || *lock(&self.hosts) == hosts {
            return;
        }
        if self.is_writing.swap(true, Ordering::Relaxed) {
            // A later sync reports the hosts again and compares them with what that
            // write saved.
            return;
        }
        let shared = self.clone();
        tokio::task::spawn_blocking(move || {
            let addresses: Vec<SocketAddr> = hosts.iter().copied().collect();
            match shared.hosts_file.write(&addresses) {
                Ok(()) => *lock(&shared.hosts) = hosts,
                Err(error) => log::warn!("store: failed to save control hosts: {error}."),
            }
            shared.is_writing.store(false, Ordering::Relaxed);
        });
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
