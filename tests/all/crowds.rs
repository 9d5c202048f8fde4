//! Clients outside the limits at an all-in-one daemon: what they hold and leave open.

use crate::crowd::{
    ClientCrowd, CrowdBounds, CrowdTraffic, CrowdTurn, check_process, request_head,
};
use crate::fixture::{DOCUMENT, HttpRequest, free_address, send};
use chicoryladder_standin::{PlainHandle, PlainOptions, PlainServer};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tempfile::TempDir;

const DAEMON: &str = env!("CARGO_BIN_EXE_chicoryladderd");

const OPERATOR_TOKEN: &str = "operator-token-of-crowds";

/// `memory_mb` and `descriptors` of the daemon.
const MACHINE: (u64, u64) = (160, 76);

/// What the daemon keeps to.
const BOUNDS: CrowdBounds = CrowdBounds {
    memory_bytes: 160_000_000,
    descriptors: 76,
};

/// The wait for the answer to one ordinary request.
const ANSWER_WAIT: Duration = Duration::from_secs(60);

/// The largest body that the settings of the test allow.
const BODY_MAX_BYTES: usize = 8 * 1024 * 1024;

/// A body that stops just short of the limit of most callers, 4 MiB.
const LARGE_BODY_BYTES: usize = 4 * 1024 * 1024 - 1024;

/// A body in chunks of one byte; each is 6 bytes of traffic.
const TINY_CHUNKS_BYTES: usize = 1024 * 1024;

/// A message between hosts within the limit of their protocol.
const LARGE_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// The size of heads without an end.
const SHORT_HEAD_BYTES: usize = 15 * 1024;

/// A daemon process with one plain service.
struct DaemonProcess {
    _folder: TempDir,
    child: Child,
    callers: SocketAddr,
    operators: SocketAddr,
    tunnels: SocketAddr,
    key: String,
    _server: PlainHandle,
}

impl DaemonProcess {
    async fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let write = |name: &str, text: &str| {
            let path = folder.path().join(name);
            std::fs::write(&path, text).unwrap();
            path
        };
        write("token", OPERATOR_TOKEN);
        write("secret", "a secret of a single host");
        let (callers, servers) = (free_address(), free_address());
        let (operators, peers) = (free_address(), free_address());
        let tunnels = free_address();
        let (memory, descriptors) = MACHINE;
        let settings = format!(
            "[host]\nname = host-0\nzone = zone-a\n\
             [listen]\ncallers = {callers}\nservers = {servers}\noperators = {operators}\n\
             peers = {peers}\ntunnels = {tunnels}\n\
             [operators]\ntoken_file = token\n\
             [peers]\nsecret_file = secret\n\
             [voters]\n1 = {peers}\n\
             [data]\nfolder = data\nseat = 1\n\
             [callers]\nbody_max_bytes = {BODY_MAX_BYTES}\n\
             [limits]\nmemory_mb = {memory}\ndescriptors = {descriptors}\n"
        );
        let settings = write("host.ini", &settings);
        let child = Command::new(DAEMON)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let options = PlainOptions {
            entry_hosts: vec![servers],
            announce_period: Duration::from_millis(100),
            ..PlainOptions::new(
                "rules-1".try_into().unwrap(),
                "zone-a".try_into().unwrap(),
                "park-rules".try_into().unwrap(),
            )
        };
        let server = PlainServer::start(options).await.unwrap();
        let mut daemon = Self {
            _folder: folder,
            child,
            callers,
            operators,
            tunnels,
            key: String::new(),
            _server: server,
        };
        let document = json!({
            "document": DOCUMENT, "expected_revision": 0, "operation_id": "first-document",
        });
        daemon.change("PUT", "fleet", &document).await;
        let grant = json!({"team": "curepipe", "operation_id": "grant"});
        let granted = daemon.change("POST", "keys", &grant).await;
        granted["key"].as_str().unwrap().clone_into(&mut daemon.key);
        daemon.wait_for_answer().await;
        daemon
    }

    /// Repeats an operator's change until the daemon acknowledges it.
    async fn change(&self, method: &str, path: &str, body: &Value) -> Value {
        let started = Instant::now();
        loop {
            let path = format!("/admin/v1/{path}");
            let request = HttpRequest::new(self.operators, method, &path)
                .with_key(OPERATOR_TOKEN)
                .with_body(body.to_string());
            if let Ok(answer) = send(request).await
                && answer.status == 200
            {
                return answer.json();
            }
            assert!(started.elapsed() < ANSWER_WAIT, "no answer to {path}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Waits for the answer to one ordinary request.
    async fn wait_for_answer(&self) {
        let started = Instant::now();
        loop {
            let request = HttpRequest::get(self.callers, "/services/park-rules");
            let answer = tokio::time::timeout(Duration::from_secs(10), send(request)).await;
            if answer.is_ok_and(|answer| answer.is_ok_and(|answer| answer.status == 200)) {
                return;
            }
            assert!(
                started.elapsed() < ANSWER_WAIT,
                "the daemon answers no ordinary request"
            );
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Waits for the answer to one ordinary call of an operator.
    async fn wait_for_operators(&self) {
        let started = Instant::now();
        loop {
            let request =
                HttpRequest::get(self.operators, "/admin/v1/servers").with_key(OPERATOR_TOKEN);
            let answer = tokio::time::timeout(Duration::from_secs(10), send(request)).await;
            if answer.is_ok_and(|answer| answer.is_ok_and(|answer| answer.status == 200)) {
                return;
            }
            assert!(
                started.elapsed() < ANSWER_WAIT,
                "the daemon answers no operator"
            );
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    fn head(&self, method: &str, path: &str) -> String {
        let key = format!("Bearer {}", self.key);
        request_head(method, path, &[("host", "crowd"), ("authorization", &key)])
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // The process may have exited by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

async fn check_callers(traffic: impl FnOnce(&DaemonProcess) -> CrowdTraffic) {
    let _turn = CrowdTurn::wait();
    let daemon = DaemonProcess::start().await;
    let traffic = traffic(&daemon);
    let process = daemon.child.id();
    let _crowd = ClientCrowd::send(daemon.callers, traffic).await;
    check_process("daemon", process, BOUNDS);
    daemon.wait_for_answer().await;
    check_process("daemon", process, BOUNDS);
}

/// Guards against chunks of one byte that each cost a buffer and an entry of a list.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_bears_bodies_in_chunks_of_one_byte() {
    check_callers(|daemon| CrowdTraffic::TinyChunks {
        head: daemon.head("POST", "/services/rent-ledger"),
        bytes: TINY_CHUNKS_BYTES,
    })
    .await;
}

/// Guards against bodies of a legitimate size whose sum exceeds the memory.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_bears_bodies_that_stop_short_of_their_end() {
    check_callers(|daemon| CrowdTraffic::LargeChunks {
        head: daemon.head("POST", "/services/rent-ledger"),
        bytes: LARGE_BODY_BYTES,
    })
    .await;
}

/// Guards against bodies of jobs, which are read by another part of the gateway.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_bears_jobs_that_stop_short_of_their_end() {
    check_callers(|daemon| CrowdTraffic::LargeChunks {
        head: daemon.head("POST", "/v1/batches"),
        bytes: LARGE_BODY_BYTES,
    })
    .await;
}

/// Guards against bodies without end that are read as far as the limit at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_bears_bodies_without_end() {
    check_callers(|daemon| CrowdTraffic::EndlessBody {
        head: daemon.head("POST", "/services/rent-ledger"),
    })
    .await;
}

/// Guards against requests that are read ahead of the answers of earlier ones.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_bears_pipelined_requests_with_unread_answers() {
    check_callers(|daemon| CrowdTraffic::Pipelined {
        head: daemon.head("GET", "/services/park-rules"),
    })
    .await;
}

/// Guards against connections that hold a descriptor each for as long as they like.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_bears_heads_without_end() {
    check_callers(|daemon| CrowdTraffic::ShortHead {
        head: daemon.head("GET", "/services/park-rules"),
        bytes: SHORT_HEAD_BYTES,
    })
    .await;
}

/// Guards against operators' calls with large bodies, each within its own limit.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_bears_operators_calls_that_stop_short_of_their_end() {
    let _turn = CrowdTurn::wait();
    let daemon = DaemonProcess::start().await;
    let token = format!("Bearer {OPERATOR_TOKEN}");
    let fields = [("host", "crowd"), ("authorization", token.as_str())];
    let traffic = CrowdTraffic::LargeChunks {
        head: request_head("PUT", "/admin/v1/fleet", &fields),
        bytes: LARGE_BODY_BYTES,
    };
    let process = daemon.child.id();
    let _crowd = ClientCrowd::send(daemon.operators, traffic).await;
    check_process("daemon", process, BOUNDS);
    daemon.wait_for_operators().await;
    daemon.wait_for_answer().await;
    check_process("daemon", process, BOUNDS);
}

async fn check_tunnels(is_greeted: bool) {
    let _turn = CrowdTurn::wait();
    let daemon = DaemonProcess::start().await;
    let traffic = CrowdTraffic::ShortFrame {
        is_greeted,
        bytes: LARGE_FRAME_BYTES,
    };
    let process = daemon.child.id();
    let _crowd = ClientCrowd::send(daemon.tunnels, traffic).await;
    check_process("daemon", process, BOUNDS);
    daemon.wait_for_answer().await;
    check_process("daemon", process, BOUNDS);
}

/// Guards against connections to the port for tunnels that never identify themselves.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_bears_connections_that_do_not_identify_themselves() {
    check_tunnels(false).await;
}

/// Guards against large messages of other hosts that stop short.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_bears_messages_that_stop_short_of_their_end() {
    check_tunnels(true).await;
}
