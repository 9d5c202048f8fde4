//! A loopback TCP proxy in front of each process, which injects faults into the links
//! between hosts.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// The interval at which a connection checks for the end of a cut and for a reset.
const FAULT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The offset of the connecting host's name (a length byte and the text) in the first
/// bytes that it sends: after the length, the kind and the number of the frame.
const NAME_OFFSET: usize = 13;

#[derive(Debug, Default)]
struct LinkRules {
    /// Directions (from, to) in which no bytes are forwarded.
    cut: HashSet<(String, String)>,
    /// How long each chunk that is read from a connection is held before it is forwarded.
    delay: Duration,
    /// The names of the hosts whose connections were reset, one entry for each reset.
    resets: Vec<String>,
}

/// The faults injected into the links; clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkFaults {
    rules: Arc<Mutex<LinkRules>>,
}

impl LinkFaults {
    fn rules(&self) -> std::sync::MutexGuard<'_, LinkRules> {
        self.rules.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Blocks all bytes from one host to another.
    pub(crate) fn cut(&self, from: &str, to: &str) {
        self.rules().cut.insert((from.to_owned(), to.to_owned()));
    }

    /// Sets the delay of every chunk on every link.
    pub(crate) fn delay(&self, delay: Duration) {
        self.rules().delay = delay;
    }

    /// Closes the open connections to and from a host.
    pub(crate) fn reset(&self, host: &str) {
        self.rules().resets.push(host.to_owned());
    }

    /// Removes all cuts and the delay.
    pub(crate) fn heal(&self) {
        let mut rules = self.rules();
        rules.cut.clear();
        rules.delay = Duration::ZERO;
    }

    fn is_cut(&self, from: &str, to: &str) -> bool {
        let rules = self.rules();
        rules.cut.contains(&(from.to_owned(), to.to_owned()))
    }

    fn reset_count(&self, a: &str, b: &str) -> usize {
        let rules = self.rules();
        rules
            .resets
            .iter()
            .filter(|host| *host == a || *host == b)
            .count()
    }
}

/// Accepts connections at `listen` and forwards them to a host at `target`, subject to
/// `faults`.
pub(crate) async fn run_proxy(
    host: String,
    listen: SocketAddr,
    target: SocketAddr,
    faults: LinkFaults,
) {
    let listener = TcpListener::bind(listen)
        .await
        .expect("the address is free");
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(forward_connection(
                host.clone(),
                stream,
                target,
                faults.clone(),
            ));
        }
    }
}

async fn forward_connection(host: String, peer: TcpStream, target: SocketAddr, faults: LinkFaults) {
    let Ok(host_side) = TcpStream::connect(target).await else {
        return;
    };
    // Without Nagle's algorithm, the proxy adds no delay to small writes.
    let _ = (peer.set_nodelay(true), host_side.set_nodelay(true));
    let (mut from_peer, to_peer) = peer.into_split();
    let (from_host, mut to_host) = host_side.into_split();
    let mut first_bytes = vec![0; 1024];
    let Ok(count) = from_peer.read(&mut first_bytes).await else {
        return;
    };
    first_bytes.truncate(count);
    let name = read_peer_name(&first_bytes).unwrap_or_default();
    if to_host.write_all(&first_bytes).await.is_err() {
        return;
    }
    let resets = faults.reset_count(&name, &host);
    let to_host_bytes = forward_bytes(from_peer, to_host, (&name, &host), &faults);
    let to_peer_bytes = forward_bytes(from_host, to_peer, (&host, &name), &faults);
    let reset = async {
        while faults.reset_count(&name, &host) == resets {
            tokio::time::sleep(FAULT_POLL_INTERVAL).await;
        }
    };
    tokio::select! {
        () = to_host_bytes => {}
        () = to_peer_bytes => {}
        () = reset => {}
    }
}

fn read_peer_name(first_bytes: &[u8]) -> Option<String> {
    let length = usize::from(*first_bytes.get(NAME_OFFSET)?);
    let name = first_bytes.get(NAME_OFFSET + 1..NAME_OFFSET + 1 + length)?;
    String::from_utf8(name.to_vec()).ok()
}

async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: (&str, &str),
    faults: &LinkFaults,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(count) = from.read(&mut buffer).await else {
            return;
        };
        if count == 0 {
            return;
        }
        while faults.is_cut(direction.0, direction.1) {
            tokio::time::sleep(FAULT_POLL_INTERVAL).await;
        }
        let delay = faults.rules().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
