//! Reads request bodies with limits on size and time, charged to the account of the process.

use crate::arriving_body::ArrivingBody;
use crate::client_connection::ConnectionPhase;
use crate::machine_bounds::{ClientConnection, READ_AHEAD_BYTES};
use crate::memory_account::{HolderSize, MemoryCharge};
use crate::overload::overloaded;
use bytes::Bytes;
use chicoryladder_types::prelude::*;
use futures_util::FutureExt;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::http::Extensions;
use std::time::Duration;
use tokio::time::{Instant, Sleep};

/// The time within which some bytes of a body have to arrive. Clients that keep their
/// connections idle do so for up to 12 s, but not within a body; a lost packet is repeated in
/// less.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(10);

/// The time before the pace of a body counts.
const PACE_GRACE: Duration = Duration::from_secs(10);

/// The minimum pace of a body after that, in bytes a second. Modems send twice as much.
const PACE_MIN: u32 = 2 * 1024;

/// The limits on one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// The maximum size, in bytes.
    pub max_bytes: usize,
    /// The maximum time for the whole body to arrive.
    pub timeout: Duration,
}

/// Reads a complete body. Its bytes are charged to the account of the process until the last
/// reference to them is dropped. `extensions` are those of the request that a listener passed
/// to its service.
///
/// # Errors
///
/// Refuses a body that is too large, arrives too slowly, ends early or finds no room.
pub async fn read_body(
    extensions: &Extensions,
    body: Incoming,
    limits: BodyLimits,
) -> Result<Bytes, RequestRefusal> {
    let Some(connection) = extensions.get::<ClientConnection>() else {
        let detail = "the request came from no listener";
        return Err(RequestRefusal::not_run(RefusalReason::BadRequest, detail));
    };
    let limits = BodyLimits {
        // What never fits is no matter of a later time.
        max_bytes: limits.max_bytes.min(connection.bounds.body_max_bytes()),
        ..limits
    };
    let hint = body.size_hint();
    if hint.lower() > limits.max_bytes as u64 {
        return Err(too_large(limits.max_bytes));
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let declared = hint.exact().and_then(|size| usize::try_from(size).ok());
    let reader = BodyReader::start(connection, declared, limits);
    reader.read(body).await
}

/// A body that arrives, in the connection's state, from where it may be evicted.
struct BodyReader<'a> {
    connection: &'a ClientConnection,
    declared: Option<usize>,
    limits: BodyLimits,
    length: usize,
    capacity: usize,
    started: Instant,
    progress: Instant,
}

impl<'a> BodyReader<'a> {
    fn start(
        connection: &'a ClientConnection,
        declared: Option<usize>,
        limits: BodyLimits,
    ) -> Self {
        let now = Instant::now();
        let reader = Self {
            connection,
            declared,
            limits,
            length: 0,
            capacity: 0,
            started: now,
            progress: now,
        };
        // An eviction that an earlier body of the connection did not notice is not meant for this
        // one.
        let _ = connection.state.body_evicted.notified().now_or_never();
        connection.enter(ConnectionPhase::Body);
        let account = connection.bounds.memory().clone();
        *connection.state.body() = Some(ArrivingBody::new(account));
        reader
    }

    async fn read(mut self, mut body: Incoming) -> Result<Bytes, RequestRefusal> {
        let mut timer = Box::pin(tokio::time::sleep_until(self.deadline()));
        let connection = self.connection;
        loop {
            let frame = tokio::select! {
                biased;
                () = connection.state.body_evicted.notified() => return Err(overloaded()),
                frame = body.frame() => frame,
                () = timer.as_mut() => {
                    self.check_time(timer.as_mut())?;
                    continue;
                }
            };
            match frame {
                None => return self.finish(),
                Some(Err(error)) => {
                    return Err(RequestRefusal::not_run(
                        RefusalReason::BadRequest,
                        format!("the body ended early: {error}"),
                    ));
                }
                Some(Ok(frame)) => {
                    if let Ok(chunk) = frame.into_data() {
                        self.append(&chunk)?;
                    }
                }
            }
        }
    }

    /// The time at which the body is refused unless more of it arrives before.
    fn deadline(&self) -> Instant {
        let length = u32::try_from(self.length).unwrap_or(u32::MAX);
        let paced = Duration::from_secs(1) * length / PACE_MIN;
        let whole = self.started + self.limits.timeout;
        let by_pace = self.started + PACE_GRACE + paced;
        whole.min(by_pace).min(self.progress + PROGRESS_TIMEOUT)
    }

    /// Refuses a body that is late, or sets the timer for the next check.
    fn check_time(&self, timer: std::pin::Pin<&mut Sleep>) -> Result<(), RequestRefusal> {
        let deadline = self.deadline();
        if deadline > Instant::now() {
            timer.reset(deadline);
            return Ok(());
        }
        let limit = self.limits.timeout.as_millis();
        let detail = format!(
            "the body did not arrive within {limit} ms, stopped for {} s or was slower than \
             {PACE_MIN} bytes a second",
            PROGRESS_TIMEOUT.as_secs()
        );
        Err(RequestRefusal::not_run(RefusalReason::SlowBody, detail))
    }

    fn append(&mut self, chunk: &[u8]) -> Result<(), RequestRefusal> {
        let length = self.length + chunk.len();
        if length > self.limits.max_bytes {
            return Err(too_large(self.limits.max_bytes));
        }
        let most = self.declared.unwrap_or(self.limits.max_bytes);
        let capacity = ArrivingBody::capacity_for(length, most);
        let added = (capacity > self.capacity).then(|| self.charge(capacity));
        let added = added.transpose()?;
        let mut body = self.connection.state.body();
        let Some(body) = body.as_mut() else {
            return Err(overloaded());
        };
        if let Some(added) = added {
            body.add_charge(added);
            self.capacity = capacity;
        }
        body.append(chunk, self.capacity);
        self.length = length;
        self.progress = Instant::now();
        self.connection.note_progress();
        Ok(())
    }

    /// Charges the growth from the present capacity to another.
    fn charge(&self, capacity: usize) -> Result<MemoryCharge, RequestRefusal> {
        let cost = |capacity: usize| capacity + capacity.min(READ_AHEAD_BYTES);
        let bytes = cost(capacity) - cost(self.capacity);
        let size = HolderSize::of(capacity);
        let bounds = &self.connection.bounds;
        bounds.try_charge(bytes, size).ok_or_else(|| {
            bounds.note_refused_request(self.connection.state.address);
            overloaded()
        })
    }

    fn finish(self) -> Result<Bytes, RequestRefusal> {
        let body = self.connection.state.body().take();
        body.map(ArrivingBody::into_bytes).ok_or_else(overloaded)
    }
}

impl Drop for BodyReader<'_> {
    fn drop(&mut self) {
        // A body that was refused releases its bytes before its connection ends.
        drop(self.connection.state.body().take());
        self.connection.enter(ConnectionPhase::Answer);
    }
}

fn too_large(max_bytes: usize) -> RequestRefusal {
    RequestRefusal::not_run(
        RefusalReason::BodyTooLarge,
        format!("a body has at most {max_bytes} bytes"),
    )
}
