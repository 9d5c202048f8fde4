//! Connections on lost and sound paths, over loopback. From an address that the machine does not
//! have, no connection can be opened.

use chicoryladder_dialer::{
    HostFilter, PathLoss, PathObserver, ServerDialer, ServerStream, TunnelHosts,
};
use chicoryladder_rpc::{
    PeerIdentity, RpcClient, RpcHandler, RpcServer, TunnelRequest, UncountedBounds,
};
use chicoryladder_types::SystemClock;
use chicoryladder_types::prelude::*;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use tokio::net::{TcpListener, TcpStream};

const FOREIGN_ADDRESS: IpAddr = IpAddr::V4(Ipv4Addr::new(192, 0, 2, 1));

/// A tunnel host that counts the requests it gets.
#[derive(Default)]
struct TunnelHost {
    requests: AtomicUsize,
}

impl RpcHandler for TunnelHost {
    fn connect_tunnel(
        &self,
        _: Arc<PeerIdentity>,
        request: TunnelRequest,
    ) -> BoxFuture<'static, Option<TcpStream>> {
        self.requests.fetch_add(1, Ordering::Relaxed);
        async move { TcpStream::connect(request.target).await.ok() }.boxed()
    }
}

struct Hosts(Vec<SocketAddr>);

impl TunnelHosts for Hosts {
    fn zones(&self) -> BoxFuture<'_, Vec<Vec<SocketAddr>>> {
        std::future::ready(vec![self.0.clone()]).boxed()
    }
}

#[derive(Default)]
struct Losses(Mutex<Vec<SocketAddr>>);

impl PathObserver for Losses {
    fn path_lost(&self, loss: &PathLoss<'_>) {
        self.0.lock().expect("no panic").push(loss.server);
    }

    fn path_restored(&self, _: SocketAddr) {}
}

struct Fixture {
    dialer: ServerDialer,
    host: Arc<TunnelHost>,
    losses: Arc<Losses>,
    servers: Vec<TcpListener>,
    _peer: RpcServer,
}

impl Fixture {
    /// Two servers, a host that opens tunnels and one that is gone, and a dialer.
    async fn start(source: Option<IpAddr>) -> Self {
        let host = Arc::new(TunnelHost::default());
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let peer = RpcServer::start(any_port, host.clone(), Arc::new(UncountedBounds)).await;
        let peer = peer.expect("a free port");
        let identity = PeerIdentity {
            host: HostName::try_from("entry-1").expect("it is valid"),
            zone: ZoneName::try_from("zone-a").expect("it is valid"),
            address: any_port,
            incarnation: 1,
        };
        let clock: Arc<dyn ClockSource> = Arc::new(SystemClock);
        let rpc = RpcClient::new(identity, clock.clone());
        let hosts = Arc::new(Hosts(vec![closed_address().await, peer.address]));
        let losses = Arc::new(Losses::default());
        let mut servers = Vec::new();
        for _ in 0..2 {
            servers.push(TcpListener::bind(any_port).await.expect("a free port"));
        }
        Self {
            dialer: ServerDialer::new(rpc, clock, source, hosts, losses.clone()),
            host,
            losses,
            servers,
            _peer: peer,
        }
    }

    fn server(&self, number: usize) -> SocketAddr {
        self.servers[number].local_addr().expect("an address")
    }

    fn tunnel_requests(&self) -> usize {
        self.host.requests.load(Ordering::Relaxed)
    }

    fn losses(&self) -> Vec<SocketAddr> {
        self.losses.0.lock().expect("no panic").clone()
    }
}

async fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    listener.local_addr().expect("an address")
}

#[tokio::test]
async fn a_sound_path_is_used_without_any_tunnel() {
    let fixture = Fixture::start(None).await;
    for _ in 0..5 {
        let opened = fixture.dialer.open(fixture.server(0)).await;
        assert!(matches!(opened, Ok(ServerStream::Direct(_))), "{opened:?}");
    }
    assert_eq!(fixture.tunnel_requests(), 0);
}

/// Guards against a host whose own path to a server is lost and that gives up.
#[tokio::test]
async fn a_server_is_reached_through_a_tunnel_while_the_own_path_is_lost() {
    let fixture = Fixture::start(Some(FOREIGN_ADDRESS)).await;
    for number in [0, 1, 0, 1] {
        let opened = fixture.dialer.open(fixture.server(number)).await;
        assert!(matches!(opened, Ok(ServerStream::Tunnel(..))), "{opened:?}");
    }
    assert_eq!(fixture.losses(), [fixture.server(0), fixture.server(1)]);
    assert!(!fixture.dialer.paths().offers_tunnels());
    // What it does not reach itself, it does not open for others either.
    let for_peer = fixture.dialer.connect_for_peer(fixture.server(0));
    assert!(for_peer.await.is_none());
}

/// Guards against a lost server that is taken for a lost path.
#[tokio::test]
async fn a_server_that_no_host_reaches_is_no_lost_path() {
    let fixture = Fixture::start(None).await;
    let opened = fixture.dialer.open(closed_address().await).await;
    assert!(opened.is_err(), "{opened:?}");
    assert_eq!(fixture.tunnel_requests(), 1);
    assert!(fixture.losses().is_empty());
}

struct NoHosts;

impl HostFilter for NoHosts {
    fn allows(&self, _: SocketAddr) -> bool {
        false
    }
}

/// Guards against the body of a request with homes that passes through a host of another area.
#[tokio::test]
async fn no_tunnel_leads_through_a_host_that_the_filter_excludes() {
    let fixture = Fixture::start(Some(FOREIGN_ADDRESS)).await;
    // The second time, the path is known to be lost, and a tunnel is tried first.
    for _ in 0..2 {
        let dialer = &fixture.dialer;
        let opened = dialer.open_through(fixture.server(0), Some(&NoHosts)).await;
        assert!(opened.is_err(), "{opened:?}");
        assert_eq!(fixture.tunnel_requests(), 0);
        dialer
            .paths()
            .record_detour(fixture.server(0), std::time::Instant::now());
    }
}
