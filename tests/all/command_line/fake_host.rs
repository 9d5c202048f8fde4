//! A fake host that sends prepared responses, one per connection.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// The received requests, as text.
type SeenRequests = Arc<Mutex<Vec<String>>>;

/// Listens on a free port and answers one request per prepared response.
pub(crate) struct FakeHost {
    pub(crate) address: String,
    seen: SeenRequests,
}

impl FakeHost {
    pub(crate) fn start(answers: Vec<(u16, &str)>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let seen = SeenRequests::default();
        let seen_by_host = Arc::clone(&seen);
        let answers: Vec<(u16, String)> = answers
            .into_iter()
            .map(|(status, body)| (status, body.to_owned()))
            .collect();
        std::thread::spawn(move || {
            for (status, body) in answers {
                let Ok((stream, _)) = listener.accept() else {
                    return;
                };
                serve(stream, status, &body, &seen_by_host);
            }
        });
        Self { address, seen }
    }

    pub(crate) fn requests(&self) -> Vec<String> {
        self.seen.lock().expect("no panic while held").clone()
    }
}

fn serve(mut stream: TcpStream, status: u16, body: &str, seen: &SeenRequests) {
    let request = read_request(&mut stream);
    seen.lock().expect("no panic while held").push(request);
    let length = body.len();
    let answer = format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n{body}");
    stream
        .write_all(answer.as_bytes())
        .expect("the response is sent");
}

/// Reads the header section and a body of the length that it declares.
fn read_request(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n")
            && body.len() >= content_length(head)
        {
            return text;
        }
        let count = stream.read(&mut chunk).expect("the request arrives");
        assert!(count > 0, "the request ended early: {text}");
        bytes.extend_from_slice(&chunk[..count]);
    }
}

fn content_length(head: &str) -> usize {
    head.lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .map_or(0, |length| length.parse().expect("a number"))
}
