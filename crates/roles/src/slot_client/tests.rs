//! Slots that a stand-in leader grants.

use super::*;
use crate::event_log::EventLog;
use crate::message::GroupReply;
use crate::metrics::RoleMetrics;
use bytes::Bytes;
use chicoryladder_policy::quarantine::RequestFingerprint;
use chicoryladder_rpc::{PeerIdentity, RpcHandler, RpcServer, UncountedBounds};
use chicoryladder_settings::ProcessSettings;
use chicoryladder_types::{RouteName, SystemClock};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use std::net::Ipv4Addr;

/// A leader that grants each request a slot in zone `b`.
#[derive(Default)]
struct GrantingLeader {
    /// The homes that it was told.
    homes: Mutex<Vec<Option<BTreeSet<AreaName>>>>,
    released: Mutex<Vec<RunReport>>,
}

impl RpcHandler for GrantingLeader {
    fn call(&self, _: Arc<PeerIdentity>, payload: Bytes) -> BoxFuture<'static, Option<Bytes>> {
        let call = postcard::from_bytes(&payload).expect("it decodes");
        let Call::Control(ControlCall::RequestSlot(call)) = call else {
            return std::future::ready(None).boxed();
        };
        self.homes.lock().expect("no panic").push(call.homes.0);
        let decision = SlotDecision::Granted {
            server: ServerName::try_from("s1").expect("it is valid"),
            incarnation: 1,
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
            zone: ZoneName::try_from("b").expect("it is valid"),
            version: SoftwareVersion::from("v1"),
            limit: None,
            expected: Tail(None),
        };
        let reply = GroupReply::Answer(ControlAnswer::Slot(decision));
        let reply = postcard::to_stdvec(&reply).expect("it encodes");
        std::future::ready(Some(reply.into())).boxed()
    }

    fn notice(&self, _: &PeerIdentity, payload: Bytes) {
        if let Ok(Notice::Release { report, .. }) = postcard::from_bytes(&payload) {
            self.released.lock().expect("no panic").push(report);
        }
    }
}

/// A client in zone `a` of the north; zone `b` is in the south.
fn client(leader: SocketAddr) -> SlotClient {
    let settings = "[host]\nname = entry-1\nzone = a\n[listen]\npeers = 127.0.0.1:7700\n\
                    [control]\nseeds = 127.0.0.1:7703\n[zones]\nareas = a:north, b:south\n";
    let settings = ProcessSettings::parse("entry.ini", settings).expect("it is valid");
    let clock: Arc<dyn ClockSource> = Arc::new(SystemClock);
    let base = ProcessBase::new(settings, clock.clone()).expect("random bytes");
    let log = EventLog::start("test").expect("a log");
    let marks = ServerMarks::new(
        clock.clone(),
        log,
        Arc::new(RoleMetrics::new().expect("metrics")),
    );
    let leader = LeaderClient::new(base.rpc.clone(), clock, vec![leader]);
    SlotClient::new(base, leader, FleetView::new(), marks)
}

fn slot_request(ticket: u64, homes: Option<&str>) -> SlotRequest {
    let route = RouteName::try_from("chat").expect("it is valid");
    let area = |name| AreaName::try_from(name).expect("it is valid");
    SlotRequest {
        ticket,
        service: ServiceName::try_from("app").expect("it is valid"),
        kind: WorkKind::Online,
        rank: 0,
        zone: ZoneName::try_from("a").expect("it is valid"),
        charged_team: None,
        prompt: Vec::new(),
        fingerprint: RequestFingerprint::new(None, &route, "/chat", b"body"),
        tokens: 1,
        stream: None,
        avoid: Vec::new(),
        first_answer_within: Duration::from_secs(1),
        wait_max: Duration::from_secs(1),
        homes: homes.map(|name| BTreeSet::from([area(name)])),
    }
}

/// Guards against requests with homes that run in another area during an upgrade, when the
/// leader is of an earlier build and does not read the homes; and against slots that stay taken
/// at such a leader.
#[tokio::test]
async fn a_slot_outside_of_the_homes_is_given_back() {
    let handler = Arc::new(GrantingLeader::default());
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let leader = RpcServer::start(any_port, handler.clone(), Arc::new(UncountedBounds)).await;
    let leader = leader.expect("a free port");
    let client = client(leader.address);
    let call = async |ticket, homes| {
        let request = slot_request(ticket, homes);
        let calling = client.call_broker(leader.address, PlanVersion(1), &request, None);
        calling.await.expect("an answer")
    };
    let refused = call(1, Some("north")).await;
    assert!(matches!(
        refused,
        Err(SlotError::Refused {
            reason: SlotRefusalReason::NoHomeServer,
            retry_after,
        }) if !retry_after.is_zero()
    ));
    assert_eq!(client.active(), []);
    let allowed = call(2, Some("south")).await.expect("a slot");
    let unconfined = call(3, None).await.expect("a slot");
    assert_eq!(client.active().len(), 2);
    let released = async {
        while handler.released.lock().expect("no panic").is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let released = tokio::time::timeout(Duration::from_secs(5), released).await;
    released.expect("the slot is released");
    let reports = handler.released.lock().expect("no panic").clone();
    assert_eq!(reports, [stopped_report(1)]);
    assert!(reports[0].refund);
    let homes = handler.homes.lock().expect("no panic").clone();
    let expected = [Some("north"), Some("south"), None];
    let expected = expected.map(|name| slot_request(1, name).homes);
    assert_eq!(homes, expected);
    drop((allowed, unconfined));
}

/// Guards against a host without the broker that waits, or charges the team, for a request that
/// no server it knows may run.
#[tokio::test]
async fn a_host_without_the_broker_refuses_what_no_known_server_may_run() {
    let client = client(SocketAddr::from((Ipv4Addr::LOCALHOST, 1)));
    let reason_of = async |homes| {
        let chosen = client.choose(slot_request(1, homes)).await;
        match chosen {
            Err(SlotError::Refused { reason, .. }) => reason,
            Err(SlotError::StalePlan) | Ok(_) => panic!("it is not refused"),
        }
    };
    let no_home = reason_of(Some("south")).await;
    assert_eq!(no_home, SlotRefusalReason::NoHomeServer);
    let no_slot = reason_of(None).await;
    assert_eq!(no_slot, SlotRefusalReason::NoSlot(PoolLoad::default()));
}
