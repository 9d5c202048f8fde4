//! A small HTTP/1.1 client, and the reading of messages for the stand-in replicas.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Clients allow a new channel one second to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest head that is read.
const HEAD_MAX_BYTES: usize = 64 * 1024;

/// A message with its first line split at spaces.
pub struct Message {
    pub first_line: Vec<String>,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.first_line
            .get(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A request of a client.
pub struct Request<'a> {
    pub address: SocketAddr,
    pub method: &'a str,
    pub path: &'a str,
    pub fields: &'a [(&'a str, &'a str)],
    pub body: &'a [u8],
    pub timeout: Duration,
}

/// Sends a request on a new channel and reads the whole answer.
pub fn send(request: &Request<'_>) -> io::Result<Message> {
    let deadline = Instant::now() + request.timeout;
    let mut stream = TcpStream::connect_timeout(&request.address, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(request.timeout))?;
    let mut head = format!("{} {} HTTP/1.1\r\n", request.method, request.path);
    for (name, value) in request.fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n", request.body.len()));
    stream.write_all(head.as_bytes())?;
    stream.write_all(request.body)?;
    let mut reader = MessageReader::new(stream, Some(deadline));
    let answer = reader.read(true)?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Reads the messages of a channel.
pub struct MessageReader {
    stream: TcpStream,
    deadline: Option<Instant>,
    buffer: Vec<u8>,
}

impl MessageReader {
    pub fn new(stream: TcpStream, deadline: Option<Instant>) -> Self {
        Self {
            stream,
            deadline,
            buffer: Vec::new(),
        }
    }

    /// Reads the next message; `None` if the channel ends before it.
    pub fn read(&mut self, is_answer: bool) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end;
            }
            if self.buffer.len() > HEAD_MAX_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if !self.fill()? {
                let is_clean = self.buffer.is_empty();
                let cut = || Err(io::ErrorKind::UnexpectedEof.into());
                return if is_clean { Ok(None) } else { cut() };
            }
        };
        let rest = self.buffer.split_off(end + 4);
        let head = std::mem::replace(&mut self.buffer, rest);
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or_default();
        let first_line = first_line.split(' ').map(str::to_owned).collect();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields = fields.map(|(name, value)| {
            let name = name.trim().to_ascii_lowercase();
            (name, value.trim().to_owned())
        });
        let mut message = Message {
            first_line,
            fields: fields.collect(),
            body: Vec::new(),
        };
        message.body = self.read_body(&message, is_answer)?;
        Ok(Some(message))
    }

    fn read_body(&mut self, message: &Message, is_answer: bool) -> io::Result<Vec<u8>> {
        if message.field("transfer-encoding").is_some() {
            return self.read_chunks();
        }
        if let Some(length) = message.field("content-length") {
            let length = length.parse().map_err(io::Error::other)?;
            return self.take(length);
        }
        if !is_answer {
            return Ok(Vec::new());
        }
        while self.fill()? {}
        Ok(std::mem::take(&mut self.buffer))
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.take_line()?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
            body.extend(self.take(size)?);
            self.take_line()?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = self.take(end + 2)?;
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        let rest = self.buffer.split_off(length);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    /// Reads more bytes; false at the end of the channel.
    fn fill(&mut self) -> io::Result<bool> {
        if let Some(deadline) = self.deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            self.stream.set_read_timeout(Some(left))?;
        }
        let mut part = [0; 64 * 1024];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count > 0)
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|part| part == pattern)
}

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for position in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * position) & 63) as usize];
            let is_padding = position > group.len();
            text.push(if is_padding { '=' } else { char::from(digit) });
        }
    }
    text
}
