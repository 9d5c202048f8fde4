//! Clients outside the limits at the processes of a fleet: what they hold and leave open.

use crate::client::Call;
use crate::crowd::{
    ClientCrowd, CrowdBounds, CrowdTraffic, CrowdTurn, check_process, request_head,
};
use crate::world::{ProcessFleet, Role};
use hyper::Method;
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// `memory_mb` and `descriptors` of the process under test.
const MACHINE: (u64, u64) = (110, 72);

/// What the process keeps to.
const BOUNDS: CrowdBounds = CrowdBounds {
    memory_bytes: 110_000_000,
    descriptors: 72,
};

/// `memory_mb` and `descriptors` of a control host of a large fleet.
const LARGE_MACHINE: (u64, u64) = (256, 4_096);

/// What such a host keeps to.
const LARGE_BOUNDS: CrowdBounds = CrowdBounds {
    memory_bytes: 256_000_000,
    descriptors: 4_096,
};

/// The idle connections of a large fleet: 3,000 servers keep one each, hosts and operators some.
const IDLE_CONNECTIONS: usize = 3_500;

/// The wait for the answer to one ordinary request.
const ANSWER_WAIT: Duration = Duration::from_secs(60);

/// A body that stops just short of the limit of plans, 4 MiB.
const LARGE_BODY_BYTES: usize = 4 * 1024 * 1024 - 1024;

/// A body in chunks of one byte; each is 6 bytes of traffic.
const TINY_CHUNKS_BYTES: usize = 1024 * 1024;

/// The size of heads without an end.
const SHORT_HEAD_BYTES: usize = 15 * 1024;

fn caller_head(path: &str) -> String {
    let fields = [
        ("host", "walks.example"),
        ("authorization", "Bearer k1"),
        ("x-request-id", "crowd"),
        ("x-deadline-ms", "5000"),
    ];
    request_head("POST", path, &fields)
}

/// Starts a fleet with one process that has the limits of the test, and routes that give a body
/// more time than the crowd takes.
async fn start_limited(role: Role, machine: (u64, u64)) -> (ProcessFleet, String) {
    let mut fleet = ProcessFleet::start().await;
    let mut plan = fleet.next_plan(&["k1"]);
    for route in plan["routes"].as_array_mut().expect("a list") {
        route["timeout-ms"] = json!(30_000);
    }
    fleet.apply_plan(&plan).await;
    let name = fleet.host_names(role)[0].clone();
    fleet.restart_with_machine(&name, machine);
    (fleet, name)
}

/// Waits for the answer to one ordinary request at an entry host.
async fn wait_for_answer(fleet: &ProcessFleet, entry: &str) {
    let started = Instant::now();
    loop {
        let call = fleet.caller_request(entry, "/ping/1", "ordinary");
        let answer = call.send().await;
        if answer.is_some_and(|answer| answer.status.is_success() && answer.complete) {
            return;
        }
        assert!(
            started.elapsed() < ANSWER_WAIT,
            "{entry} answers no ordinary request"
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Waits for the plan from the operators' port of a host.
async fn wait_for_plan(address: SocketAddr) {
    let started = Instant::now();
    loop {
        let answer = Call::new(address, Method::GET, "/config/get").send().await;
        if answer.is_some_and(|answer| answer.status.is_success()) {
            return;
        }
        assert!(
            started.elapsed() < ANSWER_WAIT,
            "{address} answers no ordinary call"
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

async fn check_entry(traffic: CrowdTraffic) {
    let _turn = CrowdTurn::wait();
    let (fleet, entry) = start_limited(Role::Entry, MACHINE).await;
    wait_for_answer(&fleet, &entry).await;
    let process = fleet.process_id(&entry);
    let _crowd = ClientCrowd::send(fleet.callers_address(&entry), traffic).await;
    check_process(&entry, process, BOUNDS);
    wait_for_answer(&fleet, &entry).await;
    check_process(&entry, process, BOUNDS);
}

async fn check_control_port(role: Role, traffic: CrowdTraffic) {
    let _turn = CrowdTurn::wait();
    let (fleet, name) = start_limited(role, MACHINE).await;
    let address = fleet.control_address(&name);
    wait_for_plan(address).await;
    let process = fleet.process_id(&name);
    let _crowd = ClientCrowd::send(address, traffic).await;
    check_process(&name, process, BOUNDS);
    wait_for_plan(address).await;
    check_process(&name, process, BOUNDS);
}

/// Guards against chunks of one byte that each cost a buffer and an entry of a list.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_host_bears_bodies_in_chunks_of_one_byte() {
    check_entry(CrowdTraffic::TinyChunks {
        head: caller_head("/ping/1"),
        bytes: TINY_CHUNKS_BYTES,
    })
    .await;
}

/// Guards against bodies of a legitimate size whose sum exceeds the memory.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_host_bears_bodies_that_stop_short_of_their_end() {
    check_entry(CrowdTraffic::LargeChunks {
        head: caller_head("/ping/1"),
        bytes: LARGE_BODY_BYTES,
    })
    .await;
}

/// Guards against bodies of jobs that stop short, which no other test of this file sends.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_host_bears_jobs_that_stop_short_of_their_end() {
    check_entry(CrowdTraffic::LargeChunks {
        head: caller_head("/digest/submit"),
        bytes: LARGE_BODY_BYTES,
    })
    .await;
}

/// Guards against bodies without end that are read as far as the limit at once.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_host_bears_bodies_without_end() {
    check_entry(CrowdTraffic::EndlessBody {
        head: caller_head("/ping/1"),
    })
    .await;
}

/// Guards against requests that are read ahead of the answers of earlier ones.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_host_bears_pipelined_requests_with_unread_answers() {
    check_entry(CrowdTraffic::Pipelined {
        head: caller_head("/ping/1"),
    })
    .await;
}

/// Guards against connections that hold a descriptor each for as long as they like.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_host_bears_heads_without_end() {
    check_entry(CrowdTraffic::ShortHead {
        head: caller_head("/ping/1"),
        bytes: SHORT_HEAD_BYTES,
    })
    .await;
}

/// Guards against plans that stop short, of which the control hosts read 16 MiB each.
#[tokio::test(flavor = "multi_thread")]
async fn a_control_host_bears_plans_that_stop_short_of_their_end() {
    check_control_port(
        Role::Control,
        CrowdTraffic::LargeChunks {
            head: request_head("POST", "/config/replace", &[("host", "control")]),
            bytes: LARGE_BODY_BYTES,
        },
    )
    .await;
}

/// Guards against check-ins in chunks of one byte at the control port of a store host.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_host_bears_calls_in_chunks_of_one_byte() {
    check_control_port(
        Role::Store,
        CrowdTraffic::TinyChunks {
            head: request_head("POST", "/config/replace", &[("host", "control")]),
            bytes: TINY_CHUNKS_BYTES,
        },
    )
    .await;
}

/// A message between hosts that is longer than most, and within the limit of their protocol.
const LARGE_FRAME_BYTES: usize = 16 * 1024 * 1024;

async fn check_peers_port(role: Role, traffic: CrowdTraffic) {
    let _turn = CrowdTurn::wait();
    let (fleet, name) = start_limited(role, MACHINE).await;
    let entry = fleet.host_names(Role::Entry)[0].clone();
    wait_for_answer(&fleet, &entry).await;
    let process = fleet.process_id(&name);
    let _crowd = ClientCrowd::send(fleet.peers_address(&name), traffic).await;
    check_process(&name, process, BOUNDS);
    wait_for_answer(&fleet, &entry).await;
    check_process(&name, process, BOUNDS);
}

/// Guards against connections to the port for hosts that never identify themselves and send what
/// a host may send.
#[tokio::test(flavor = "multi_thread")]
async fn a_control_host_bears_connections_that_do_not_identify_themselves() {
    let traffic = CrowdTraffic::ShortFrame {
        is_greeted: false,
        bytes: LARGE_FRAME_BYTES,
    };
    check_peers_port(Role::Control, traffic).await;
}

/// Guards against large messages of hosts that stop short, whose sum exceeds the memory.
#[tokio::test(flavor = "multi_thread")]
async fn a_control_host_bears_messages_that_stop_short_of_their_end() {
    let traffic = CrowdTraffic::ShortFrame {
        is_greeted: true,
        bytes: LARGE_FRAME_BYTES,
    };
    check_peers_port(Role::Control, traffic).await;
}

/// Guards against large messages at an entry host, whose port also opens tunnels.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_host_bears_messages_that_stop_short_of_their_end() {
    let traffic = CrowdTraffic::ShortFrame {
        is_greeted: true,
        bytes: LARGE_FRAME_BYTES,
    };
    check_peers_port(Role::Entry, traffic).await;
}

/// Opens a connection, sends one ordinary call and reads the answer. The connection stays open.
async fn open_idle(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("a connection; this process needs 4,000 descriptors");
    let request = request_head("GET", "/config/get", &[("host", "control")]) + "\r\n";
    stream
        .write_all(request.as_bytes())
        .await
        .expect("an open connection");
    let mut answer = Vec::new();
    while !is_whole(&answer) {
        let count = stream.read_buf(&mut answer).await.expect("an answer");
        assert!(count > 0, "the connection was closed before its answer");
    }
    assert!(answer.starts_with(b"HTTP/1.1 200 "));
    stream
}

/// Whether an answer has as many bytes as it declares.
fn is_whole(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer).to_ascii_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let length: usize = length.expect("a length").parse().expect("a number");
    body.len() >= length
}

fn is_open(stream: &TcpStream) -> bool {
    let waits = |error: io::Error| error.kind() == io::ErrorKind::WouldBlock;
    stream.try_read(&mut [0]).is_err_and(waits)
}

/// Guards against bounds that a sound fleet meets, so that idle connections of its servers are
/// closed and opened again all the time.
#[tokio::test(flavor = "multi_thread")]
async fn a_control_host_keeps_the_idle_connections_of_a_large_fleet() {
    let _turn = CrowdTurn::wait();
    let (fleet, name) = start_limited(Role::Control, LARGE_MACHINE).await;
    let address = fleet.control_address(&name);
    wait_for_plan(address).await;
    let process = fleet.process_id(&name);
    check_process(&name, process, LARGE_BOUNDS);
    let mut idle = Vec::with_capacity(IDLE_CONNECTIONS);
    for _ in 0..IDLE_CONNECTIONS {
        idle.push(open_idle(address).await);
    }
    check_process(&name, process, LARGE_BOUNDS);
    wait_for_plan(address).await;
    let open = idle.iter().filter(|stream| is_open(stream)).count();
    assert_eq!(open, IDLE_CONNECTIONS, "idle connections were closed");
    check_process(&name, process, LARGE_BOUNDS);
}
