//! A small HTTP/1.1 client and the parts of messages.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

#[derive(Debug, Clone)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends one request on a new connection; `None` without a complete response in time.
pub fn call(
    address: SocketAddrV4,
    method: &str,
    path: &str,
    fields: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<Reply> {
    let stream = TcpStream::connect_timeout(&address.into(), timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    send(&stream, address, method, path, fields, body)?;
    read_reply(&mut BufReader::new(stream))
}

pub fn send(
    mut stream: &TcpStream,
    address: SocketAddrV4,
    method: &str,
    path: &str,
    fields: &[(&str, &str)],
    body: &str,
) -> Option<()> {
    let mut message = format!("{method} {path} HTTP/1.1\r\n");
    if !fields.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        message += &format!("Host: {address}\r\n");
    }
    for (name, value) in fields {
        message += &format!("{name}: {value}\r\n");
    }
    if method == "POST" {
        message += &format!("Content-Length: {}\r\n", body.len());
    }
    message += "\r\n";
    message += body;
    stream.write_all(message.as_bytes()).ok()
}

pub fn read_head(reader: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line == "\r\n" || line == "\n" {
            if head.is_empty() {
                continue;
            }
            return Some(head);
        }
        head += &line;
    }
}

pub fn field(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.trim().eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}

pub fn read_reply(reader: &mut impl BufRead) -> Option<Reply> {
    let head = read_head(reader)?;
    let status = head.split(' ').nth(1)?.trim().parse().ok()?;
    let mut body = Vec::new();
    let chunked = field(&head, "transfer-encoding").is_some_and(|value| value.contains("chunked"));
    if chunked {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let length = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk).ok()?;
            if length == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..length]);
        }
    } else if let Some(length) = field(&head, "content-length") {
        body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
    }
    Some(Reply { status, head, body })
}
