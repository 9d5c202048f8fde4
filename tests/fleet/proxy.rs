//! A loopback proxy in front of each process, which harms the links between them.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// The pause between two looks at whether a direction is open again.
const BLOCKED_POLL: Duration = Duration::from_millis(10);

/// The place of the caller's name in what it sends first: behind the length of the
/// frame, its kind and its number.
const NAME_AT: usize = 13;

#[derive(Debug, Default)]
struct LinkRules {
    /// Directions in which nothing passes.
    cut: HashSet<(String, String)>,
    delay: Duration,
    /// Raised to reset every connection of a host.
    resets: Vec<String>,
}

/// What is wrong with the links; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkFaults {
    rules: Arc<Mutex<LinkRules>>,
}

impl LinkFaults {
    fn rules(&self) -> std::sync::MutexGuard<'_, LinkRules> {
        self.rules.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets nothing pass from one host to another.
    pub(crate) fn cut(&self, from: &str, to: &str) {
        self.rules().cut.insert((from.to_owned(), to.to_owned()));
    }

    pub(crate) fn delay(&self, delay: Duration) {
        self.rules().delay = delay;
    }

    /// Resets the connections to and from a host.
    pub(crate) fn reset(&self, host: &str) {
        self.rules().resets.push(host.to_owned());
    }

    /// Makes every link whole again.
    pub(crate) fn heal(&self) {
        let mut rules = self.rules();
        rules.cut.clear();
        rules.delay = Duration::ZERO;
    }

    fn is_cut(&self, from: &str, to: &str) -> bool {
        let rules = self.rules();
        rules.cut.contains(&(from.to_owned(), to.to_owned()))
    }

    fn resets_of(&self, a: &str, b: &str) -> usize {
        let rules = self.rules();
        rules
            .resets
            .iter()
            .filter(|host| *host == a || *host == b)
            .count()
    }
}

/// Passes connections to a host on, as long as its links are whole.
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
            tokio::spawn(pass(host.clone(), stream, target, faults.clone()));
        }
    }
}

async fn pass(host: String, caller: TcpStream, target: SocketAddr, faults: LinkFaults) {
    let Ok(host_side) = TcpStream::connect(target).await else {
        return;
    };
    // Neither end may wait for more bytes before it sends.
    let _ = (caller.set_nodelay(true), host_side.set_nodelay(true));
    let (mut from_caller, to_caller) = caller.into_split();
    let (from_host, mut to_host) = host_side.into_split();
    let mut first = vec![0; 1024];
    let Ok(count) = from_caller.read(&mut first).await else {
        return;
    };
    first.truncate(count);
    let name = name_in(&first).unwrap_or_default();
    if to_host.write_all(&first).await.is_err() {
        return;
    }
    let resets = faults.resets_of(&name, &host);
    let forth = copy(from_caller, to_host, (&name, &host), &faults);
    let back = copy(from_host, to_caller, (&host, &name), &faults);
    let reset = async {
        while faults.resets_of(&name, &host) == resets {
            tokio::time::sleep(BLOCKED_POLL).await;
        }
    };
    tokio::select! {
        () = forth => {}
        () = back => {}
        () = reset => {}
    }
}

fn name_in(first: &[u8]) -> Option<String> {
    let length = usize::from(*first.get(NAME_AT)?);
    let name = first.get(NAME_AT + 1..NAME_AT + 1 + length)?;
    String::from_utf8(name.to_vec()).ok()
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    ends: (&str, &str),
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
        while faults.is_cut(ends.0, ends.1) {
            tokio::time::sleep(BLOCKED_POLL).await;
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
