//! Raw TCP peers, so that tests can send and return arbitrary bytes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The maximum time to wait for an expected event.
pub(crate) const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// What a raw server does with a connection after it has read a request.
#[derive(Clone, Debug)]
pub(crate) enum RawAnswer {
    /// Sends these bytes and closes the connection.
    Bytes(String),
    /// Sends these bytes and keeps the connection open.
    BytesThenStall(String),
    /// Sends `text` again and again with pauses between, then `last`, and closes the
    /// connection.
    Paced {
        head: String,
        text: String,
        pause: Duration,
        count: u32,
        last: String,
    },
    /// Sends these bytes while the request is still being written, and resets the connection
    /// after a pause.
    ResetAfter(String, Duration),
    /// Closes the connection.
    Close,
}

/// Starts a server that responds to each connection in the same way.
pub(crate) async fn raw_server(answer: RawAnswer) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, answer.clone()));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, answer: RawAnswer) {
    let mut request = [0; 16 * 1024];
    let _ = stream.read(&mut request).await;
    match answer {
        RawAnswer::Bytes(text) => {
            let _ = stream.write_all(text.as_bytes()).await;
            let _ = stream.shutdown().await;
        }
        RawAnswer::BytesThenStall(text) => {
            let _ = stream.write_all(text.as_bytes()).await;
            std::future::pending::<()>().await;
        }
        RawAnswer::Paced {
            head,
            text,
            pause,
            count,
            last,
        } => {
            let _ = stream.write_all(head.as_bytes()).await;
            for _ in 0..count {
                tokio::time::sleep(pause).await;
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
            }
            let _ = stream.write_all(last.as_bytes()).await;
        }
        RawAnswer::ResetAfter(text, pause) => {
            let _ = tokio::time::timeout(pause, stream.write_all(text.as_bytes())).await;
            tokio::time::sleep(pause).await;
            let _ = stream.set_zero_linger();
        }
        RawAnswer::Close => {}
    }
}

/// Responds to the requests on a connection in turn with `responses`, and to all further ones
/// with the last of them. Returns the address and the number of requests by connection.
pub(crate) async fn scripted_server(responses: Vec<String>) -> (SocketAddr, RequestCounts) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let counts = RequestCounts::default();
    let shared = counts.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond_in_turn(stream, responses.clone(), shared.clone()));
        }
    });
    (address, counts)
}

/// The number of requests on each connection that has carried one.
pub(crate) type RequestCounts = Arc<Mutex<Vec<usize>>>;

async fn respond_in_turn(mut stream: TcpStream, responses: Vec<String>, counts: RequestCounts) {
    let mut connection = None;
    let mut turns = responses
        .iter()
        .chain(std::iter::repeat(&responses[responses.len() - 1]));
    let mut request = [0; 16 * 1024];
    while stream
        .read(&mut request)
        .await
        .is_ok_and(|length| length > 0)
    {
        {
            let mut counts = counts.lock().unwrap();
            let connection = *connection.get_or_insert_with(|| {
                counts.push(0);
                counts.len() - 1
            });
            counts[connection] += 1;
        }
        let response = turns.next().unwrap();
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Returns an address that refuses connections.
pub(crate) async fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// Sends bytes and returns everything received until the peer closes the
/// connection.
pub(crate) async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The peer may close the connection before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut response = Vec::new();
    let reading = stream.read_to_end(&mut response);
    let _ = tokio::time::timeout(EVENT_TIMEOUT, reading).await.unwrap();
    String::from_utf8_lossy(&response).into_owned()
}
