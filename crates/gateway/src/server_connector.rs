//! How connections to backend servers are opened.

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use hyper::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tower_service::Service;

/// The maximum time to open a connection to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The bytes of a connection.
pub trait ServerBytes: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> ServerBytes for T {}

/// Opens connections to backend servers.
pub trait ServerConnector: Send + Sync {
    /// Opens a connection.
    fn connect(&self, server: SocketAddr) -> BoxFuture<'static, io::Result<Box<dyn ServerBytes>>>;

    /// Whether other hosts reach a server that this one does not reach itself.
    fn is_path_lost(&self, server: SocketAddr) -> bool;

    /// The number of connections so far on which no further request should be sent. While it
    /// is unchanged, all kept connections may be used.
    fn closing_connections(&self) -> usize;
}

/// Opens connections over TCP.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TcpConnector;

impl ServerConnector for TcpConnector {
    fn connect(&self, server: SocketAddr) -> BoxFuture<'static, io::Result<Box<dyn ServerBytes>>> {
        async move {
            let connecting = TcpStream::connect(server);
            let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await??;
            stream.set_nodelay(true)?;
            Ok(Box::new(stream) as Box<dyn ServerBytes>)
        }
        .boxed()
    }

    fn is_path_lost(&self, _: SocketAddr) -> bool {
        false
    }

    fn closing_connections(&self) -> usize {
        0
    }
}

/// Lets the HTTP client open its connections by a [`ServerConnector`].
#[derive(Clone)]
pub(crate) struct HyperConnector {
    connector: Arc<dyn ServerConnector>,
}

impl HyperConnector {
    pub(crate) fn new(connector: Arc<dyn ServerConnector>) -> Self {
        Self { connector }
    }
}

impl Service<Uri> for HyperConnector {
    type Response = TokioIo<HyperConnection>;
    type Error = io::Error;
    type Future = BoxFuture<'static, io::Result<Self::Response>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connector = self.connector.clone();
        async move {
            let authority = uri.authority().map(ToString::to_string);
            let server = authority.and_then(|authority| authority.parse().ok());
            let server = server.ok_or(io::ErrorKind::InvalidInput)?;
            let bytes = connector.connect(server).await?;
            let usage = ConnectionUsage::default();
            Ok(TokioIo::new(HyperConnection { bytes, usage }))
        }
        .boxed()
    }
}

/// Whether a connection has carried a response; each response has it as an extension.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionUsage {
    has_responded: Arc<AtomicBool>,
}

impl ConnectionUsage {
    /// Records a response and returns whether it is the first one on its connection.
    pub(crate) fn record_response(&self) -> bool {
        !self.has_responded.swap(true, Ordering::AcqRel)
    }
}

/// A connection of the HTTP client.
pub(crate) struct HyperConnection {
    bytes: Box<dyn ServerBytes>,
    usage: ConnectionUsage,
}

impl Connection for HyperConnection {
    fn connected(&self) -> Connected {
        Connected::new().extra(self.usage.clone())
    }
}

impl AsyncRead for HyperConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.bytes).poll_read(context, buffer)
    }
}

impl AsyncWrite for HyperConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.bytes).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.bytes).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.bytes).poll_shutdown(context)
    }
}
