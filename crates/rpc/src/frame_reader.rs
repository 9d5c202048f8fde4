//! Reads frames from a connection, charged to the account of the process.
//!
//! The memory of a frame is charged in steps while it arrives, so that a declared length takes
//! no room. While there is no room, the connection is not read: its peer waits, and a frame is
//! refused only if that lasts. Until the connection has identified itself, no more is read
//! than a greeting needs.

use crate::frame::{FRAME_MAX_BYTES, HEADER_BYTES};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use chicoryladder_types::{PeerBounds, PeerCharge};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::Instant;

/// The length of the field that tells the length of a frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// The maximum length of a greeting, in bytes. Names have at most 64 bytes each.
const GREETING_MAX_BYTES: usize = 512;

/// The read buffer of a connection, and the length up to which frames are copied from it.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// What a connection costs while it is idle: the read buffer, the buffer of replies, and the task.
pub(crate) const CONNECTION_BYTES: usize = 2 * READ_BUFFER_BYTES + 4 * 1024;

/// What a frame costs beside its bytes: the task and the reply of a call.
const FRAME_BYTES: usize = 1024;

/// The first step in which the memory of a long frame is charged; each one doubles it.
const FIRST_STEP_BYTES: usize = 64 * 1024;

/// How long a connection may receive no frame before it is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);

/// How long a frame may make no progress, because its peer stalls or there is no room. Peers
/// give up a write after 1.5 s.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The interval between two looks for room.
const ROOM_INTERVAL: Duration = Duration::from_millis(10);

/// A frame and what is charged for it.
pub(crate) struct ChargedFrame {
    pub(crate) bytes: Bytes,
    pub(crate) charges: Vec<PeerCharge>,
}

/// The reading end of a connection.
pub(crate) struct FrameReader {
    stream: OwnedReadHalf,
    bounds: Arc<dyn PeerBounds>,
    buffer: BytesMut,
    /// What is charged for the frame that arrives.
    charges: Vec<PeerCharge>,
    charged_bytes: usize,
    /// When bytes arrived, or a frame was taken.
    progress: Instant,
}

impl FrameReader {
    pub(crate) fn new(stream: OwnedReadHalf, bounds: Arc<dyn PeerBounds>) -> Self {
        Self {
            stream,
            bounds,
            buffer: BytesMut::new(),
            charges: Vec::new(),
            charged_bytes: 0,
            progress: Instant::now(),
        }
    }

    /// Reads the first frame, and nothing beyond it; `None` if the connection ends before.
    pub(crate) async fn greeting(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            let length = self.frame_length(GREETING_MAX_BYTES)?;
            let whole = LENGTH_BYTES + length.unwrap_or(0);
            if length.is_some() && self.buffer.len() == whole {
                let bytes = Bytes::copy_from_slice(&self.buffer[LENGTH_BYTES..]);
                self.buffer.clear();
                return Ok(Some(bytes));
            }
            if !self.read(whole - self.buffer.len()).await? {
                return Ok(None);
            }
        }
    }

    /// Reads the next frame; `None` if the connection has ended. What has arrived stays if this
    /// is cancelled.
    ///
    /// # Errors
    ///
    /// Fails if the frame is malformed, makes no progress, or never finds room.
    pub(crate) async fn next(&mut self) -> io::Result<Option<ChargedFrame>> {
        loop {
            let timeout = if self.buffer.is_empty() {
                IDLE_TIMEOUT
            } else {
                STALL_TIMEOUT
            };
            let deadline = self.progress + timeout;
            match tokio::time::timeout_at(deadline, self.step()).await?? {
                ReadStep::Frame(frame) => return Ok(Some(frame)),
                ReadStep::More => {}
                ReadStep::End => return Ok(None),
            }
        }
    }

    /// The stream, and what was read beyond the last frame.
    pub(crate) fn into_parts(self) -> (OwnedReadHalf, BytesMut) {
        (self.stream, self.buffer)
    }

    async fn step(&mut self) -> io::Result<ReadStep> {
        let Some(length) = self.frame_length(FRAME_MAX_BYTES)? else {
            return self.read_more(READ_BUFFER_BYTES).await;
        };
        if length + FRAME_BYTES > self.bounds.message_max_bytes() {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        let whole = LENGTH_BYTES + length;
        if whole <= READ_BUFFER_BYTES {
            if self.buffer.len() < whole {
                return self.read_more(READ_BUFFER_BYTES).await;
            }
            self.charge_up_to(length + FRAME_BYTES).await;
            let bytes = Bytes::copy_from_slice(&self.buffer[LENGTH_BYTES..whole]);
            self.buffer.advance(whole);
            return Ok(ReadStep::Frame(self.take(bytes)));
        }
        if self.buffer.len() < whole {
            let arrived = self.buffer.len();
            let capacity = whole.min(FIRST_STEP_BYTES.max(arrived.next_power_of_two()));
            let capacity = if arrived == capacity {
                whole.min(capacity * 2)
            } else {
                capacity
            };
            self.charge_up_to(capacity + FRAME_BYTES).await;
            return self.read_more(capacity).await;
        }
        self.charge_up_to(whole + FRAME_BYTES).await;
        let mut bytes = self.buffer.split_to(whole);
        // What follows must not keep the memory of this frame.
        self.buffer = BytesMut::from(&self.buffer[..]);
        bytes.advance(LENGTH_BYTES);
        Ok(ReadStep::Frame(self.take(bytes.freeze())))
    }

    /// The length of the frame that arrives; `None` if it is not known yet.
    fn frame_length(&self, max: usize) -> io::Result<Option<usize>> {
        let Some(field) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = usize::try_from(u32::from_be_bytes(*field)).unwrap_or(usize::MAX);
        if (HEADER_BYTES..=max).contains(&length) {
            return Ok(Some(length));
        }
        Err(io::ErrorKind::InvalidData.into())
    }

    fn take(&mut self, bytes: Bytes) -> ChargedFrame {
        self.charged_bytes = 0;
        self.progress = Instant::now();
        ChargedFrame {
            bytes,
            charges: std::mem::take(&mut self.charges),
        }
    }

    /// Waits until `bytes` are charged for the frame that arrives.
    async fn charge_up_to(&mut self, bytes: usize) {
        while self.charged_bytes < bytes {
            let missing = bytes - self.charged_bytes;
            if let Some(charge) = self.bounds.try_charge_peer(missing) {
                self.charges.push(charge);
                self.charged_bytes = bytes;
            } else {
                tokio::time::sleep(ROOM_INTERVAL).await;
            }
        }
    }

    /// Reads into a buffer of `capacity` bytes.
    async fn read_more(&mut self, capacity: usize) -> io::Result<ReadStep> {
        let room = capacity - self.buffer.len();
        Ok(if self.read(room).await? {
            ReadStep::More
        } else {
            ReadStep::End
        })
    }

    /// Reads up to `room` bytes; false at the end of the stream.
    async fn read(&mut self, room: usize) -> io::Result<bool> {
        self.buffer.reserve(room);
        let count = self
            .stream
            .read_buf(&mut (&mut self.buffer).limit(room))
            .await?;
        if count > 0 {
            self.progress = Instant::now();
        }
        Ok(count > 0)
    }
}

/// What one step of reading brought.
enum ReadStep {
    /// A whole frame.
    Frame(ChargedFrame),
    /// A part of a frame.
    More,
    /// The end of the stream.
    End,
}
