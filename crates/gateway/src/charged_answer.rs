//! Answers whose unread bytes are charged to the account of the process.

use crate::body::{AnswerBody, BodyError};
use crate::client_connection::ConnectionPhase;
use crate::machine_bounds::{ClientConnection, ServedRequest};
use crate::memory_account::MemoryCharge;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// The body of an answer, of which each part is charged from the moment in which it is handed
/// to the connection until it has been written.
pub(crate) struct ChargedAnswer {
    body: AnswerBody,
    connection: ClientConnection,
    /// What the request is charged beyond its connection; `None` if it was refused.
    _served: Option<ServedRequest>,
}

impl ChargedAnswer {
    pub(crate) fn wrap(
        body: AnswerBody,
        connection: ClientConnection,
        served: Option<ServedRequest>,
    ) -> AnswerBody {
        Self {
            body,
            connection,
            _served: served,
        }
        .boxed_unsync()
    }
}

impl Body for ChargedAnswer {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        let connection = &self.connection;
        let charged = |bytes: Bytes| {
            if bytes.is_empty() {
                return bytes;
            }
            Bytes::from_owner(UnreadBytes::new(bytes, connection.clone()))
        };
        Poll::Ready(frame.map(|frame| frame.map(|frame| frame.map_data(charged))))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ChargedAnswer {
    fn drop(&mut self) {
        // The next bytes that arrive are those of another request.
        self.connection.enter(ConnectionPhase::Idle);
    }
}

/// A part of an answer that the client has not read.
struct UnreadBytes {
    bytes: Bytes,
    connection: ClientConnection,
    _charge: MemoryCharge,
}

impl UnreadBytes {
    fn new(bytes: Bytes, connection: ClientConnection) -> Self {
        let charge = connection.bounds.charge_answer(bytes.len());
        if !connection.state.has_unread() {
            // The client has had no part to read so far.
            connection.note_progress();
        }
        connection.state.add_unread(bytes.len());
        Self {
            bytes,
            connection,
            _charge: charge,
        }
    }
}

impl AsRef<[u8]> for UnreadBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for UnreadBytes {
    fn drop(&mut self) {
        self.connection.state.remove_unread(self.bytes.len());
    }
}
