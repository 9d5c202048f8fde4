//! Reading of a server's response at the server's pace, while its caller may read slowly.
//!
//! Servers cut off a response that stays unread for some seconds. A task therefore reads ahead
//! of the caller into a bounded buffer. Once the buffer is full, the server waits for the caller.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use std::sync::Arc;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::AbortHandle;

/// The size of the buffer of one response, in bytes: seconds of a generated text, and little
/// beside the responses that are buffered in whole.
const READ_AHEAD_BYTES: u32 = 256 * 1024;

/// What a buffered chunk costs beside its bytes, so that many small chunks are bounded too.
const CHUNK_OVERHEAD_BYTES: u32 = 128;

/// The body of a server's response.
pub(super) enum AnswerReader {
    /// Read when the caller reads.
    Direct(Incoming),
    /// Read ahead of the caller.
    Ahead(ReadAhead<hyper::Error>),
}

impl AnswerReader {
    pub(super) fn new(body: Incoming, reads_ahead: bool) -> Self {
        if reads_ahead {
            Self::Ahead(ReadAhead::start(body))
        } else {
            Self::Direct(body)
        }
    }

    /// The next frame; `None` at the end of the body. A call that is dropped loses no frame.
    pub(super) async fn frame(&mut self) -> Option<Result<Frame<Bytes>, hyper::Error>> {
        match self {
            Self::Direct(body) => body.frame().await,
            Self::Ahead(buffer) => buffer.frame().await,
        }
    }
}

/// A frame in the buffer, and the room that it occupies.
type BufferedFrame<E> = (Result<Frame<Bytes>, E>, u32);

/// The buffer of a body that a task reads. Dropping it drops the body.
pub(super) struct ReadAhead<E> {
    frames: mpsc::UnboundedReceiver<BufferedFrame<E>>,
    room: Arc<Semaphore>,
    reader: AbortHandle,
}

impl<E: Send + 'static> ReadAhead<E> {
    fn start(body: impl Body<Data = Bytes, Error = E> + Send + Unpin + 'static) -> Self {
        let capacity = usize::try_from(READ_AHEAD_BYTES).unwrap_or(Semaphore::MAX_PERMITS);
        let room = Arc::new(Semaphore::new(capacity));
        // The room bounds the channel.
        let (sender, frames) = mpsc::unbounded_channel();
        let reader = tokio::spawn(read_frames(body, sender, room.clone())).abort_handle();
        Self {
            frames,
            room,
            reader,
        }
    }

    async fn frame(&mut self) -> Option<Result<Frame<Bytes>, E>> {
        let (frame, cost) = self.frames.recv().await?;
        self.room
            .add_permits(usize::try_from(cost).unwrap_or_default());
        Some(frame)
    }
}

impl<E> Drop for ReadAhead<E> {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

async fn read_frames<E>(
    mut body: impl Body<Data = Bytes, Error = E> + Unpin,
    sender: mpsc::UnboundedSender<BufferedFrame<E>>,
    room: Arc<Semaphore>,
) {
    while let Some(frame) = body.frame().await {
        let data = frame.as_ref().ok().and_then(Frame::data_ref);
        let length = data.map_or(0, |data| u32::try_from(data.len()).unwrap_or(u32::MAX));
        // A chunk that is longer than the buffer occupies all of it.
        let cost = length
            .saturating_add(CHUNK_OVERHEAD_BYTES)
            .min(READ_AHEAD_BYTES);
        let Ok(permit) = room.acquire_many(cost).await else {
            return;
        };
        permit.forget();
        if sender.send((frame, cost)).is_err() {
            return;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use futures_util::StreamExt;
    use futures_util::stream::iter;
    use http_body_util::StreamBody;
    use std::io;
    use std::sync::atomic::{AtomicUsize, Ordering};
    use std::time::Duration;

    /// A body of chunks that counts how many were read.
    fn counted_body(
        chunks: usize,
        length: usize,
    ) -> (
        impl Body<Data = Bytes, Error = io::Error> + Send + Unpin,
        Arc<AtomicUsize>,
    ) {
        let count = Arc::new(AtomicUsize::new(0));
        let counter = count.clone();
        let frames = iter(0..chunks).map(move |number| {
            counter.fetch_add(1, Ordering::Relaxed);
            let byte = u8::try_from(number % 256).unwrap_or_default();
            Ok(Frame::data(Bytes::from(vec![byte; length])))
        });
        (StreamBody::new(frames), count)
    }

    async fn settle() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }

    /// A server whose response is not read although its caller is slow would cut it off.
    #[tokio::test]
    async fn a_response_is_read_while_its_caller_is_not() {
        let (body, count) = counted_body(100, 1_000);
        let mut buffer = ReadAhead::start(body);
        settle().await;
        assert_eq!(count.load(Ordering::Relaxed), 100);
        let mut frames = 0;
        while let Some(frame) = buffer.frame().await {
            let data = frame.expect("it is whole").into_data().expect("it is data");
            assert_eq!(usize::from(data[0]), frames);
            frames += 1;
        }
        assert_eq!(frames, 100);
    }

    /// Callers that never read must not make the host keep endless responses, in large chunks
    /// or in small ones.
    #[tokio::test]
    async fn unread_responses_are_bounded() {
        for (length, chunks_max) in [(64 * 1024, 5), (1, 2_100), (1024 * 1024, 2)] {
            let (body, count) = counted_body(10_000, length);
            let buffer = ReadAhead::start(body);
            settle().await;
            let read = count.load(Ordering::Relaxed);
            assert!(read <= chunks_max, "{read} chunks of {length} bytes");
            drop(buffer);
        }
    }

    /// A response that broke off must not look complete to its caller.
    #[tokio::test]
    async fn an_error_follows_the_frames_before_it() {
        let frames = vec![
            Ok(Frame::data(Bytes::from_static(b"data: 1\n\n"))),
            Err(io::Error::other("the server broke off")),
        ];
        let mut buffer = ReadAhead::start(StreamBody::new(iter(frames)));
        settle().await;
        assert!(buffer.frame().await.is_some_and(|frame| frame.is_ok()));
        assert!(buffer.frame().await.is_some_and(|frame| frame.is_err()));
        assert!(buffer.frame().await.is_none());
    }
}
