//! A minimal HTTP/1.1 client and the parsing that the stand-in replicas share with it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Header fields in the order of their arrival; names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Fields(pub Vec<(String, String)>);

impl Fields {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.0.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// What a client sees of one attempt.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    /// The body, as far as it arrived.
    pub body: String,
}

/// One request on a new connection.
#[derive(Clone, Debug)]
pub struct Call {
    pub address: SocketAddr,
    pub method: &'static str,
    pub path: String,
    pub fields: Vec<(String, String)>,
    pub body: String,
    pub timeout: Duration,
}

impl Call {
    pub fn new(address: SocketAddr, method: &'static str, path: &str) -> Self {
        Self {
            address,
            method,
            path: path.to_owned(),
            fields: Vec::new(),
            body: String::new(),
            timeout: Duration::from_secs(1),
        }
    }

    pub fn field(mut self, name: &str, value: &str) -> Self {
        self.fields.push((name.to_owned(), value.to_owned()));
        self
    }

    pub fn body(mut self, body: &str) -> Self {
        self.body = body.to_owned();
        self
    }

    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends the request; `None` if no head of an answer arrives in time.
    pub fn send(&self) -> Option<Answer> {
        let deadline = Instant::now() + self.timeout;
        let mut stream = TcpStream::connect_timeout(&self.address, self.timeout).ok()?;
        stream.set_nodelay(true).ok()?;
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        if !self
            .fields
            .iter()
            .any(|(name, _)| name.eq_ignore_ascii_case("host"))
        {
            head.push_str(&format!("Host: {}\r\n", self.address));
        }
        for (name, value) in &self.fields {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        stream.write_all(head.as_bytes()).ok()?;
        stream.write_all(self.body.as_bytes()).ok()?;
        let mut reader = BufReader::new(TimedStream { stream, deadline });
        let (first, fields) = read_head(&mut reader)?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        let mut body = Vec::new();
        read_body(&mut reader, &fields, true, &mut body);
        Some(Answer {
            status,
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }
}

/// A stream whose reads end at a deadline.
struct TimedStream {
    stream: TcpStream,
    deadline: Instant,
}

impl Read for TimedStream {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(std::io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(buffer)
    }
}

/// Reads the first line and the header fields; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> Option<(String, Fields)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut fields = Fields::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), fields));
        }
        let (name, value) = line.split_once(':')?;
        fields
            .0
            .push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads a body and returns whether it is complete. Without a length or chunks, a body of an
/// answer ends with its connection, and a request has none.
pub fn read_body(
    reader: &mut impl BufRead,
    fields: &Fields,
    is_answer: bool,
    body: &mut Vec<u8>,
) -> bool {
    let chunked = fields
        .get("transfer-encoding")
        .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    if chunked {
        return read_chunks(reader, body).is_some();
    }
    let length = fields.get("content-length").and_then(|l| l.parse().ok());
    match length {
        Some(length) => {
            let mut part = reader.take(length);
            part.read_to_end(body).is_ok() && body.len() as u64 == length
        }
        None if is_answer => reader.read_to_end(body).is_ok(),
        None => true,
    }
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let size = line.trim_end().split(';').next()?.trim();
        let size = u64::from_str_radix(size, 16).ok()?;
        let before = body.len() as u64;
        reader.take(size).read_to_end(body).ok()?;
        if body.len() as u64 - before != size {
            return None;
        }
        let mut end = String::new();
        reader.read_line(&mut end).ok()?;
        if size == 0 {
            return Some(());
        }
    }
}
