//! Calls that are sent again since an earlier attempt got no reply.

use super::*;
use bytes::Bytes;
use chicoryladder_rpc::{PeerIdentity, RpcHandler, RpcServer, UncountedBounds};
use chicoryladder_settings::ProcessSettings;
use chicoryladder_types::SystemClock;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A leader that leaves the first call without a reply.
#[derive(Default)]
struct SilentLeader {
    calls: AtomicUsize,
}

impl RpcHandler for SilentLeader {
    fn call(&self, _: Arc<PeerIdentity>, _: Bytes) -> BoxFuture<'static, Option<Bytes>> {
        if self.calls.fetch_add(1, Ordering::Relaxed) == 0 {
            return std::future::pending().boxed();
        }
        let reply = postcard::to_stdvec(&GroupReply::Answer(7u32)).expect("it encodes");
        std::future::ready(Some(reply.into())).boxed()
    }

    fn notice(&self, _: &PeerIdentity, _: Bytes) {}
}

/// A refusal was passed on as certain although an earlier attempt of the same call was still on
/// its way to the leader.
#[tokio::test]
async fn a_reply_tells_whether_an_earlier_attempt_may_still_arrive() {
    let settings = "[host]\nname = entry-1\nzone = a\n[listen]\npeers = 127.0.0.1:7700\n\
                    [control]\nseeds = 127.0.0.1:7703\n";
    let settings = ProcessSettings::parse("entry.ini", settings).expect("it is valid");
    let clock: Arc<dyn ClockSource> = Arc::new(SystemClock);
    let base = crate::process::ProcessBase::new(settings, clock.clone()).expect("random bytes");
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let handler = Arc::new(SilentLeader::default());
    let leader = RpcServer::start(any_port, handler, Arc::new(UncountedBounds)).await;
    let leader = leader.expect("a free port");
    let client = LeaderClient::new(base.rpc.clone(), clock, vec![leader.address]);
    let call = async || {
        let (timeout, max_wait) = (Duration::from_millis(200), Duration::from_secs(10));
        let calling = client.call::<u32>(&"question", timeout, max_wait, true);
        calling.await.expect("a reply")
    };
    let repeated = call().await;
    assert!(repeated.is_repeated && repeated.answer == 7, "{repeated:?}");
    let only = call().await;
    assert!(!only.is_repeated && only.answer == 7, "{only:?}");
}
