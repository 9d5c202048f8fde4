//! Reading of a server's response at the server's pace, while its caller may read slowly.
//!
//! Servers cut off a response that stays unread for some seconds. A task therefore reads ahead
//! of the caller into a bounded buffer. Once the buffer is full, the server waits for the caller.
//! Once the response is read to its end, an observer can release the slot, although the caller
//! still reads.

use bytes::Bytes;
use chicoryladder_gateway::MachineBounds;
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

/// Follows a body while it is read ahead.
pub(super) trait ReadObserver: Send + 'static {
    /// Called for each chunk as it is read. Returns whether the server is known to have started
    /// again by then.
    fn observe_chunk(&mut self, chunk: &Bytes) -> bool;

    /// Called if the body was read to its end.
    fn observe_end(self);
}

/// A frame of a body.
pub(super) struct ReadFrame {
    pub(super) frame: Frame<Bytes>,
    /// Whether the server was known to have started again when the frame was read.
    pub(super) follows_restart: bool,
}

/// Why the next frame of a body cannot be read.
#[derive(Debug)]
pub(super) enum ReadError<E> {
    Body(E),
    /// The task that read the body is gone. The rest of the body is unknown.
    ReaderLost,
}

/// The next frame of a body; `None` at its end.
pub(super) type FrameResult<E> = Option<Result<ReadFrame, ReadError<E>>>;

impl AnswerReader {
    /// Reads ahead if there is an observer. What is read ahead is charged to the account of the
    /// process.
    pub(super) fn new(
        body: Incoming,
        observer: Option<impl ReadObserver>,
        bounds: &MachineBounds,
    ) -> Self {
        let bounds = bounds.clone();
        let charge = move |frame: Frame<Bytes>| frame.map_data(|data| bounds.charge_part(data));
        match observer {
            Some(observer) => Self::Ahead(ReadAhead::start(body.map_frame(charge), observer)),
            None => Self::Direct(body),
        }
    }

    /// The next frame; `None` at the end of the body. A call that is dropped loses no frame.
    pub(super) async fn frame(&mut self) -> FrameResult<hyper::Error> {
        match self {
            Self::Direct(body) => {
                let frame = body.frame().await?;
                let read = frame.map(|frame| ReadFrame {
                    frame,
                    follows_restart: true,
                });
                Some(read.map_err(ReadError::Body))
            }
            Self::Ahead(buffer) => buffer.frame().await,
        }
    }
}

/// An entry of the buffer.
enum BufferedRead<E> {
    /// A frame, and the room that it occupies.
    Frame(ReadFrame, u32),
    Failed(E),
    End,
}

/// The buffer of a body that a task reads. Dropping it drops the body.
pub(super) struct ReadAhead<E> {
    frames: mpsc::UnboundedReceiver<BufferedRead<E>>,
    room: Arc<Semaphore>,
    reader: AbortHandle,
}

impl<E: Send + 'static> ReadAhead<E> {
    fn start(
        body: impl Body<Data = Bytes, Error = E> + Send + Unpin + 'static,
        observer: impl ReadObserver,
    ) -> Self {
        let capacity = usize::try_from(READ_AHEAD_BYTES).unwrap_or(Semaphore::MAX_PERMITS);
        let room = Arc::new(Semaphore::new(capacity));
        // The room bounds the channel.
        let (sender, frames) = mpsc::unbounded_channel();
        let reader = tokio::spawn(read_frames(body, sender, room.clone(), observer)).abort_handle();
        Self {
            frames,
            room,
            reader,
        }
    }

    async fn frame(&mut self) -> FrameResult<E> {
        match self.frames.recv().await {
            Some(BufferedRead::Frame(frame, cost)) => {
                self.room
                    .add_permits(usize::try_from(cost).unwrap_or_default());
                Some(Ok(frame))
            }
            Some(BufferedRead::Failed(error)) => Some(Err(ReadError::Body(error))),
            Some(BufferedRead::End) => None,
            // Without its end, a body must not look complete.
            None => Some(Err(ReadError::ReaderLost)),
        }
    }
}

impl<E> Drop for ReadAhead<E> {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

async fn read_frames<E>(
    mut body: impl Body<Data = Bytes, Error = E> + Unpin,
    sender: mpsc::UnboundedSender<BufferedRead<E>>,
    room: Arc<Semaphore>,
    mut observer: impl ReadObserver,
) {
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => {
                // The receiver is gone only if the caller is.
                let _ = sender.send(BufferedRead::Failed(error));
                return;
            }
        };
        let data = frame.data_ref();
        let follows_restart = data.is_some_and(|chunk| observer.observe_chunk(chunk));
        let length = data.map_or(0, |data| u32::try_from(data.len()).unwrap_or(u32::MAX));
        // A chunk that is longer than the buffer occupies all of it.
        let cost = length
            .saturating_add(CHUNK_OVERHEAD_BYTES)
            .min(READ_AHEAD_BYTES);
        let Ok(permit) = room.acquire_many(cost).await else {
            return;
        };
        permit.forget();
        let frame = ReadFrame {
            frame,
            follows_restart,
        };
        if sender.send(BufferedRead::Frame(frame, cost)).is_err() {
            return;
        }
    }
    observer.observe_end();
    let _ = sender.send(BufferedRead::End);
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

    /// Counts the chunks, and notes whether the body ended.
    #[derive(Clone, Default)]
    struct Observed {
        chunks: Arc<AtomicUsize>,
        ends: Arc<AtomicUsize>,
    }

    impl ReadObserver for Observed {
        fn observe_chunk(&mut self, _chunk: &Bytes) -> bool {
            self.chunks.fetch_add(1, Ordering::Relaxed) > 0
        }

        fn observe_end(self) {
            self.ends.fetch_add(1, Ordering::Relaxed);
        }
    }

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
        let mut buffer = ReadAhead::start(body, Observed::default());
        settle().await;
        assert_eq!(count.load(Ordering::Relaxed), 100);
        let mut frames = 0;
        while let Some(frame) = buffer.frame().await {
            let frame = frame.expect("it is whole").frame;
            let data = frame.into_data().expect("it is data");
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
            let buffer = ReadAhead::start(body, Observed::default());
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
        let observed = Observed::default();
        let mut buffer = ReadAhead::start(StreamBody::new(iter(frames)), observed.clone());
        settle().await;
        assert!(buffer.frame().await.is_some_and(|frame| frame.is_ok()));
        assert!(buffer.frame().await.is_some_and(|frame| frame.is_err()));
        // It stays broken off, and its slot is not released as that of a complete one.
        assert!(buffer.frame().await.is_some_and(|frame| frame.is_err()));
        assert_eq!(observed.ends.load(Ordering::Relaxed), 0);
    }

    /// A response whose reader is gone, as when the runtime shuts down, must not look complete.
    #[tokio::test]
    async fn a_lost_reader_is_no_end() {
        let (body, _) = counted_body(10_000, 64 * 1024);
        let mut buffer = ReadAhead::start(body, Observed::default());
        settle().await;
        buffer.reader.abort();
        settle().await;
        for _ in 0..10 {
            assert!(buffer.frame().await.is_some());
        }
        let last = buffer.frame().await;
        assert!(matches!(last, Some(Err(ReadError::ReaderLost))));
    }

    /// A caller that leaves must end the run on the server, whether its reader waits for the server
    /// or for room in the buffer: the connection closes once the body is dropped.
    #[tokio::test]
    async fn a_dropped_buffer_drops_the_body() {
        for is_endless in [false, true] {
            let kept = Arc::new(());
            let held = kept.clone();
            let chunk = || Ok::<_, io::Error>(Frame::data(Bytes::from(vec![0; 64 * 1024])));
            let frames = futures_util::stream::repeat_with(chunk);
            let frames = frames.take(if is_endless { 10_000 } else { 1 });
            let frames = frames.chain(futures_util::stream::pending());
            let body = StreamBody::new(frames.inspect(move |_| {
                let _ = &held;
            }));
            let observed = Observed::default();
            let buffer = ReadAhead::start(body, observed.clone());
            settle().await;
            assert_eq!(Arc::strong_count(&kept), 2);
            drop(buffer);
            settle().await;
            assert_eq!(Arc::strong_count(&kept), 1);
            assert_eq!(observed.ends.load(Ordering::Relaxed), 0);
        }
    }

    /// A slot must not stay occupied by a run that its server has completed because the caller
    /// reads slowly, and not be released while the server still writes.
    #[tokio::test]
    async fn the_end_is_observed_before_the_caller_has_read() {
        for (chunks, ends) in [(100, 1), (1_000, 0)] {
            let (body, _) = counted_body(chunks, 1_000);
            let observed = Observed::default();
            let mut buffer = ReadAhead::start(body, observed.clone());
            settle().await;
            assert_eq!(observed.ends.load(Ordering::Relaxed), ends);
            // What is known of the server is that of the time of the read.
            let first = buffer.frame().await.and_then(Result::ok);
            assert!(first.is_some_and(|first| !first.follows_restart));
            let second = buffer.frame().await.and_then(Result::ok);
            assert!(second.is_some_and(|second| second.follows_restart));
        }
    }
}
