//! The TCP stream of a caller's connection, which can end with a reset.
//!
//! To a caller that does not know chunks, the end of the connection is the end of the body.
//! A body that fails must therefore end with a reset, which no caller takes for its end.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Requests that a connection ends with a reset; clones refer to the same connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResetSwitch(Arc<AtomicBool>);

impl ResetSwitch {
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A TCP stream that closes with a reset once its switch is set.
pub(crate) struct CallerStream {
    stream: TcpStream,
    switch: ResetSwitch,
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream, switch: ResetSwitch) -> Self {
        Self { stream, switch }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if self.switch.is_set()
            && let Err(error) = self.stream.set_zero_linger()
        {
            log::warn!("listener: a broken connection ends without a reset: {error}.");
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.switch.is_set() {
            // An orderly end would reach the caller before the reset.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
