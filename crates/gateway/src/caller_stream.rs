//! The TCP stream of a client's connection, which can end with a reset, and ends when its
//! client stops in a head or leaves an answer unread.
//!
//! To a caller that does not know chunks, the end of the connection is the end of the body.
//! A body that fails must therefore end with a reset, which no caller takes for its end.

use crate::client_connection::ConnectionPhase;
use crate::machine_bounds::ClientConnection;
use crate::memory_account::{HolderSize, MemoryCharge};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

/// The most bytes of one read. The read buffers of hyper grow with what one read returns, to
/// twice this figure.
const READ_MAX_BYTES: usize = 16 * 1024;

/// The first read buffer of hyper, which is part of the cost of an idle connection.
const FIRST_BUFFER_BYTES: usize = 8 * 1024;

/// The time for the rest of a head after its first byte. Callers inside the limits take 3 s.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The time for which a client may leave an answer unread. Clients pause for up to 12 s.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(30);

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
    connection: ClientConnection,
    head: HeadBytes,
    /// What the read buffer has grown by, charged while the connection is idle.
    buffer_charge: Option<MemoryCharge>,
    head_timer: StallTimer,
    unread_timer: StallTimer,
}

/// The bytes of the head that arrives, or of the request that is served: its fields refer to
/// the read buffer.
#[derive(Default)]
struct HeadBytes {
    count: usize,
    charges: Option<MemoryCharge>,
}

/// A timer that runs while a client stalls.
#[derive(Default)]
struct StallTimer(Option<Pin<Box<Sleep>>>);

impl StallTimer {
    fn stop(&mut self) {
        self.0 = None;
    }

    /// Starts the timer unless it runs; an error once it has run for `timeout`.
    fn poll_stalled(&mut self, timeout: Duration, context: &mut Context<'_>) -> io::Result<()> {
        let start = || Box::pin(tokio::time::sleep_until(Instant::now() + timeout));
        let timer = self.0.get_or_insert_with(start);
        match timer.as_mut().poll(context) {
            Poll::Ready(()) => Err(io::ErrorKind::TimedOut.into()),
            Poll::Pending => Ok(()),
        }
    }
}

impl CallerStream {
    pub(crate) fn new(
        stream: TcpStream,
        switch: ResetSwitch,
        connection: ClientConnection,
    ) -> Self {
        Self {
            stream,
            switch,
            connection,
            head: HeadBytes::default(),
            buffer_charge: None,
            head_timer: StallTimer::default(),
            unread_timer: StallTimer::default(),
        }
    }

    /// Takes account of `count` bytes that were read.
    fn note_read(&mut self, count: usize) -> io::Result<()> {
        match self.connection.state.phase() {
            ConnectionPhase::Idle => {
                self.connection.enter(ConnectionPhase::Head);
                self.head = HeadBytes::default();
            }
            ConnectionPhase::Head => self.connection.note_progress(),
            // The reader of a body takes account of it. What follows a request is left in the
            // socket, but for one read.
            ConnectionPhase::Body | ConnectionPhase::Answer => return Ok(()),
        }
        self.head.count += count;
        if self.head.count > FIRST_BUFFER_BYTES {
            let bounds = &self.connection.bounds;
            let charge = bounds.try_charge(count, HolderSize::Small);
            let charge = charge.ok_or(io::ErrorKind::OutOfMemory)?;
            match &mut self.head.charges {
                Some(charges) => charges.merge(charge),
                charges => *charges = Some(charge),
            }
        }
        Ok(())
    }

    /// Charges what an empty read buffer of `capacity` bytes has grown by. It keeps its size after
    /// a large head or body.
    fn note_idle_buffer(&mut self, capacity: usize) -> io::Result<()> {
        let growth = capacity.saturating_sub(FIRST_BUFFER_BYTES);
        let charged = self.buffer_charge.as_ref().map_or(0, MemoryCharge::bytes);
        if growth > charged {
            let bounds = &self.connection.bounds;
            let charge = bounds.try_charge(growth - charged, HolderSize::Small);
            let charge = charge.ok_or(io::ErrorKind::OutOfMemory)?;
            match &mut self.buffer_charge {
                Some(buffer) => buffer.merge(charge),
                buffer => *buffer = Some(charge),
            }
        } else if let Some(charge) = &mut self.buffer_charge {
            charge.shrink_to(growth);
        }
        Ok(())
    }

    /// Takes account of a write of `count` bytes, or of one that waits for the client.
    fn note_write(
        &mut self,
        written: Poll<io::Result<usize>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        match written {
            Poll::Ready(result) => {
                self.unread_timer.stop();
                self.connection.note_progress();
                Poll::Ready(result)
            }
            Poll::Pending => match self.unread_timer.poll_stalled(UNREAD_TIMEOUT, context) {
                Ok(()) => Poll::Pending,
                Err(error) => Poll::Ready(Err(error)),
            },
        }
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
        let stream = &mut *self;
        if stream.connection.state.phase() == ConnectionPhase::Head {
            let in_time = stream.head_timer.poll_stalled(HEAD_TIMEOUT, context);
            if let Err(error) = in_time {
                return Poll::Ready(Err(error));
            }
        } else {
            stream.head_timer.stop();
        }
        if stream.connection.state.phase() == ConnectionPhase::Idle {
            stream.note_idle_buffer(buffer.remaining())?;
        }
        let room = buffer.remaining().min(READ_MAX_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(room));
        ready!(Pin::new(&mut stream.stream).poll_read(context, &mut part))?;
        let count = part.filled().len();
        buffer.advance(count);
        if count > 0 {
            stream.note_read(count)?;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note_write(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.note_write(written, context)
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
