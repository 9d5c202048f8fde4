//! A small crowd of clients outside the limits, and what a process must keep to beside it.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// The number of connections of a crowd.
pub(crate) const CROWD_SIZE: usize = 60;

/// How long a crowd sends; connections that are closed are opened again until then.
const SEND_TIME: Duration = Duration::from_secs(8);

/// The same for chunks of one byte, which take a process longer to read.
const TINY_SEND_TIME: Duration = Duration::from_secs(20);

/// The pause before a connection that was closed is opened again.
const REOPEN_PAUSE: Duration = Duration::from_millis(50);

/// The size of the writes of a crowd, in bytes.
const WRITE_BYTES: usize = 96 * 1024;

/// The chunk size of bodies in large chunks, in bytes.
const LARGE_CHUNK_BYTES: usize = 1024 * 1024;

/// The answers of a client's pipelined requests are not read; the requests go on.
const PIPELINED_REQUESTS: usize = 20_000;

/// The bounds of a process beside a crowd.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CrowdBounds {
    /// The peak of the resident memory, in bytes.
    pub(crate) memory_bytes: usize,
    /// The number of open descriptors.
    pub(crate) descriptors: usize,
}

/// What each connection of a crowd sends. The bodies belong to a request whose head is given
/// without its framing fields.
#[derive(Clone, Debug)]
pub(crate) enum CrowdTraffic {
    /// A body of the given size in chunks of one byte, without the last chunk.
    TinyChunks { head: String, bytes: usize },
    /// A body of the given size in chunks of a megabyte, without the last chunk.
    LargeChunks { head: String, bytes: usize },
    /// A body in large chunks that never ends.
    EndlessBody { head: String },
    /// Many whole requests without a body, on a few connections.
    Pipelined { head: String },
    /// A head without its end, of the given size.
    ShortHead { head: String, bytes: usize },
    /// A call of another host that stops just short of its end, after a greeting or without one.
    ShortFrame { is_greeted: bool, bytes: usize },
}

impl CrowdTraffic {
    /// The number of connections.
    fn connections(&self) -> usize {
        match self {
            Self::Pipelined { .. } => 4,
            // Hosts of the fleet are few beside clients.
            Self::ShortFrame {
                is_greeted: true, ..
            } => 24,
            _ => CROWD_SIZE,
        }
    }

    fn send_time(&self) -> Duration {
        match self {
            Self::TinyChunks { .. } => TINY_SEND_TIME,
            _ => SEND_TIME,
        }
    }

    async fn send(&self, stream: &mut TcpStream) -> io::Result<()> {
        match self {
            Self::TinyChunks { head, bytes } => {
                write_chunked_head(stream, head).await?;
                let per_write = WRITE_BYTES / 6;
                let block = "1\r\nx\r\n".repeat(per_write);
                let mut left = *bytes;
                while left > 0 {
                    let count = left.min(per_write);
                    stream.write_all(&block.as_bytes()[..count * 6]).await?;
                    left -= count;
                }
                Ok(())
            }
            Self::LargeChunks { head, bytes } => {
                write_chunked_head(stream, head).await?;
                let mut left = *bytes;
                while left > 0 {
                    let count = left.min(LARGE_CHUNK_BYTES);
                    write_chunk(stream, count).await?;
                    left -= count;
                }
                Ok(())
            }
            Self::EndlessBody { head } => {
                write_chunked_head(stream, head).await?;
                loop {
                    write_chunk(stream, LARGE_CHUNK_BYTES).await?;
                }
            }
            Self::Pipelined { head } => {
                let request = format!("{head}content-length: 0\r\n\r\n");
                for _ in 0..PIPELINED_REQUESTS {
                    stream.write_all(request.as_bytes()).await?;
                }
                Ok(())
            }
            Self::ShortHead { head, bytes } => {
                stream.write_all(head.as_bytes()).await?;
                let field = format!("x-filler: {}\r\n", "f".repeat(500));
                for _ in 0..bytes / field.len() {
                    stream.write_all(field.as_bytes()).await?;
                }
                Ok(())
            }
            Self::ShortFrame { is_greeted, bytes } => {
                if *is_greeted {
                    stream.write_all(&greeting_frame()).await?;
                }
                let head = frame_head(CALL_KIND, *bytes + SHORT_BY_BYTES);
                stream.write_all(&head).await?;
                let block = vec![b'x'; WRITE_BYTES];
                let mut left = *bytes;
                while left > 0 {
                    let count = left.min(block.len());
                    stream.write_all(&block[..count]).await?;
                    left -= count;
                }
                Ok(())
            }
        }
    }
}

/// The kinds of frames between hosts.
const GREETING_KIND: u8 = 0;
const CALL_KIND: u8 = 1;

/// What a frame stops short by, in bytes.
const SHORT_BY_BYTES: usize = 1024;

/// The length, the kind and the number of a frame with a payload of the given size.
fn frame_head(kind: u8, payload_bytes: usize) -> Vec<u8> {
    let number = 1_u64.to_be_bytes();
    let length = u32::try_from(1 + number.len() + payload_bytes).expect("a short frame");
    let mut head = length.to_be_bytes().to_vec();
    head.push(kind);
    head.extend(number);
    head
}

/// The greeting of a host `crowd` in `zone-a` at 127.0.0.1, port 1, in its first incarnation.
fn greeting_frame() -> Vec<u8> {
    let identity = b"\x05crowd\x06zone-a\x00\x7f\x00\x00\x01\x01\x01";
    let mut frame = frame_head(GREETING_KIND, identity.len());
    frame.extend(identity);
    frame
}

async fn write_chunked_head(stream: &mut TcpStream, head: &str) -> io::Result<()> {
    let head = format!("{head}transfer-encoding: chunked\r\n\r\n");
    stream.write_all(head.as_bytes()).await
}

async fn write_chunk(stream: &mut TcpStream, bytes: usize) -> io::Result<()> {
    let size = format!("{bytes:x}\r\n");
    stream.write_all(size.as_bytes()).await?;
    let block = vec![b'x'; WRITE_BYTES];
    let mut left = bytes;
    while left > 0 {
        let count = left.min(block.len());
        stream.write_all(&block[..count]).await?;
        left -= count;
    }
    stream.write_all(b"\r\n").await
}

/// The head of a request, without the fields of its framing and the empty line.
pub(crate) fn request_head(method: &str, path: &str, fields: &[(&str, &str)]) -> String {
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in fields {
        head.extend([*name, ": ", *value, "\r\n"]);
    }
    head
}

/// The connections of a crowd; they stay open until it is dropped.
pub(crate) struct ClientCrowd {
    _connections: JoinSet<()>,
}

impl ClientCrowd {
    /// Sends the traffic to an address, and returns after the time in which it is sent.
    pub(crate) async fn send(address: SocketAddr, traffic: CrowdTraffic) -> Self {
        let mut connections = JoinSet::new();
        let is_over = Arc::new(AtomicBool::new(false));
        let (sent, opened) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let traffic = Arc::new(traffic);
        for _ in 0..traffic.connections() {
            let (traffic, is_over) = (traffic.clone(), is_over.clone());
            let (sent, opened) = (sent.clone(), opened.clone());
            connections.spawn(async move {
                while !is_over.load(Ordering::Relaxed) {
                    if let Ok(mut stream) = TcpStream::connect(address).await {
                        opened.fetch_add(1, Ordering::Relaxed);
                        if traffic.send(&mut stream).await.is_ok() {
                            sent.fetch_add(1, Ordering::Relaxed);
                            wait_for_close(&stream).await;
                        }
                    }
                    tokio::time::sleep(REOPEN_PAUSE).await;
                }
            });
        }
        let started = Instant::now();
        tokio::time::sleep(traffic.send_time()).await;
        is_over.store(true, Ordering::Relaxed);
        println!(
            "crowd: {} connections opened, {} sent all, in {:?}",
            opened.load(Ordering::Relaxed),
            sent.load(Ordering::Relaxed),
            started.elapsed()
        );
        Self {
            _connections: connections,
        }
    }
}

/// Waits until the other side has closed a connection whose answers are not read.
async fn wait_for_close(stream: &TcpStream) {
    loop {
        let mut byte = [0];
        match stream.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            Ok(_) => tokio::time::sleep(REOPEN_PAUSE).await,
        }
        if stream.take_error().ok().flatten().is_some() {
            return;
        }
    }
}

/// Keeps crowds of all test processes apart; held until it is dropped.
pub(crate) struct CrowdTurn {
    _file: File,
}

impl CrowdTurn {
    /// Waits until no other crowd runs on this machine.
    pub(crate) fn wait() -> Self {
        let path = std::env::temp_dir().join("chicoryladder-crowds.lock");
        let file = File::options()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path)
            .expect("a file");
        file.lock().expect("a lock");
        Self { _file: file }
    }
}

/// Fails unless the process lives and has kept to the bounds.
pub(crate) fn check_process(what: &str, process: u32, bounds: CrowdBounds) {
    let folder = PathBuf::from(format!("/proc/{process}"));
    let status = std::fs::read_to_string(folder.join("status"));
    let status = status.unwrap_or_else(|error| panic!("{what}: no process: {error}"));
    // A process that has exited has no memory.
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak = peak.unwrap_or_else(|| panic!("{what}: the process has exited"));
    let kilobytes = peak.split_whitespace().next().expect("a figure");
    let bytes = kilobytes.parse::<usize>().expect("a number") * 1024;
    let descriptors = std::fs::read_dir(folder.join("fd")).expect("a folder");
    let descriptors = descriptors.count();
    println!("{what}: peak memory {bytes} bytes, {descriptors} descriptors");
    assert!(
        bytes < bounds.memory_bytes,
        "{what}: peak memory {bytes} bytes"
    );
    assert!(
        descriptors < bounds.descriptors,
        "{what}: {descriptors} descriptors"
    );
}
