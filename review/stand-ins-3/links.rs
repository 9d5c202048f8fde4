//! A proxy before the peer ports of core and storage machines, which cuts one machine off from
//! them.
//!
//! A cut is silent: bytes are held up, and arrive after it. The sender repeats them like TCP does:
//! 0.2 s after they were sent for the first time, and then after twice as long each time. So what
//! was sent during a cut arrives with the first repetition after its end, while a new connection
//! is opened at once. A connection that is opened during a cut fails.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The first interval of repetition, the least one of TCP on Linux.
const FIRST_REPEAT: Duration = Duration::from_millis(200);

/// The machine whose links are cut, and from when to when.
#[derive(Clone, Debug)]
struct Cut {
    machine: String,
    from: Instant,
    until: Instant,
}

#[derive(Default)]
pub struct Links {
    cut: Mutex<Option<Cut>>,
}

impl Links {
    /// Cuts a machine off from all core and storage machines.
    pub fn cut(&self, machine: &str, from: Instant, until: Instant) {
        let machine = machine.to_owned();
        *self.cut.lock().expect("no writer panicked") = Some(Cut { machine, from, until });
    }

    fn is_cut(&self, ends: &[String; 2], at: Instant) -> bool {
        let cut = self.cut.lock().expect("no writer panicked");
        let cut = cut.as_ref().filter(|cut| cut.from <= at && at < cut.until);
        cut.is_some_and(|cut| ends.contains(&cut.machine))
    }

    /// Starts a proxy before the peer port of a machine.
    pub fn listen(self: &Arc<Self>, name: &str, listen: SocketAddrV4, target: SocketAddrV4) {
        let name = name.to_owned();
        let listener = TcpListener::bind(listen).expect("the address of the proxy is free");
        let links = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (links, name) = (links.clone(), name.clone());
                thread::spawn(move || links.pass(&name, stream, target));
            }
        });
    }

    /// Passes a connection to a machine on. The first message names the one that opened it.
    fn pass(self: Arc<Self>, opened_to: &str, mut client: TcpStream, target: SocketAddrV4) {
        let opened = Instant::now();
        let mut first = vec![0; 64 * 1024];
        let Ok(count) = client.read(&mut first) else { return };
        first.truncate(count);
        let text = String::from_utf8_lossy(&first);
        let names = ["edge", "core", "storage"];
        let names = names.iter().flat_map(|role| (1..=9).map(move |n| format!("{role}-{n}")));
        let found = names.filter_map(|name| text.find(name.as_str()).map(|at| (at, name)));
        let opened_by = found.min().map(|(_, name)| name).unwrap_or_default();
        let ends = Arc::new([opened_by, opened_to.to_owned()]);
        if self.is_cut(&*ends, opened) {
            while self.is_cut(&*ends, Instant::now()) {
                thread::sleep(Duration::from_millis(5));
            }
            return;
        }
        let Ok(server) = TcpStream::connect(target) else { return };
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let (Ok(from_server), Ok(to_client)) = (server.try_clone(), client.try_clone()) else {
            return;
        };
        let (links, same_ends) = (self.clone(), ends.clone());
        thread::spawn(move || links.forward(&same_ends, from_server, to_client, Vec::new()));
        self.forward(&ends, client, server, first);
    }

    fn forward(&self, ends: &[String; 2], mut from: TcpStream, mut to: TcpStream, first: Vec<u8>) {
        let mut bytes = first;
        loop {
            if !bytes.is_empty() {
                self.wait_for_repeat(ends);
                if to.write_all(&bytes).is_err() {
                    break;
                }
            }
            bytes.resize(64 * 1024, 0);
            match from.read(&mut bytes) {
                Ok(count) if count > 0 => bytes.truncate(count),
                _ => break,
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    }

    /// Returns once bytes arrive that are sent now.
    fn wait_for_repeat(&self, ends: &[String; 2]) {
        let mut interval = FIRST_REPEAT;
        while self.is_cut(ends, Instant::now()) {
            thread::sleep(interval);
            interval *= 2;
        }
    }
}
