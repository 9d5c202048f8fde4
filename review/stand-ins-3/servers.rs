//! Stand-in servers: replicas that check in, answer with streams of events, and record their
//! runs.

use crate::http::{call, field, read_head};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A run of a request at a server.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub server: String,
    pub id: String,
    pub path: String,
    pub head: String,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// How a server answers.
pub struct Terms {
    pub events: u64,
    pub pause: Duration,
}

pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddrV4,
    pub born: u128,
    pub slots: u32,
    pub terms: Terms,
    pub runs: Runs,
    /// Whether check-ins are sent.
    checks_in: AtomicBool,
    is_running: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    sequence: AtomicU64,
}

impl Server {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        address: SocketAddrV4,
        terms: Terms,
        runs: Runs,
        control: Vec<SocketAddrV4>,
    ) -> Arc<Self> {
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            born: crate::fleet::unix_ms(),
            slots: 8,
            terms,
            runs,
            checks_in: AtomicBool::new(true),
            is_running: AtomicBool::new(true),
            connections: Mutex::default(),
            sequence: AtomicU64::new(1),
        });
        let listener = TcpListener::bind(address).expect("the server's address is free");
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !serving.is_running.load(Ordering::Relaxed) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    serving.connections.lock().expect("no writer panicked").push(copy);
                }
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        let beating = server.clone();
        thread::spawn(move || beating.beat(&control));
        server
    }

    pub fn check_in_body(&self, state: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"{state}\",\"cold-remaining-ms\":0,\"stage\":\"mixed\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":{},\
             \"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.slots,
            self.sequence.fetch_add(1, Ordering::Relaxed),
            self.born,
        )
    }

    /// Deregisters: at the given node first, and at the next ones until one acknowledges it within
    /// a second. No check-ins follow. The pages show no body.
    pub fn deregister(&self, nodes: &[SocketAddrV4]) -> Vec<Option<u16>> {
        self.checks_in.store(false, Ordering::Relaxed);
        let path = format!("/instances/{}/deregister", self.id);
        let mut answers = Vec::new();
        for node in nodes {
            let reply = call(*node, "POST", &path, &[], "", Duration::from_secs(1));
            answers.push(reply.map(|reply| reply.status));
            if answers.last().is_some_and(|status| status.is_some_and(|status| status < 300)) {
                break;
            }
        }
        answers
    }

    /// Ends the server with its connections.
    pub fn stop(&self) {
        self.is_running.store(false, Ordering::Relaxed);
        self.checks_in.store(false, Ordering::Relaxed);
        for connection in self.connections.lock().expect("no writer panicked").drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        // The listener closes with the next connection.
        let _ = TcpStream::connect(self.address);
    }

    /// Checks in about every 1.2 s; without an acknowledgement within a second, at the next node.
    fn beat(&self, control: &[SocketAddrV4]) {
        let path = format!("/instances/{}/heartbeat", self.id);
        let mut node = 0;
        while self.is_running.load(Ordering::Relaxed) {
            if self.checks_in.load(Ordering::Relaxed) {
                for _ in 0..control.len() {
                    let address = control[node % control.len()];
                    let body = self.check_in_body("ready");
                    let reply = call(address, "POST", &path, &[], &body, Duration::from_secs(1));
                    if reply.is_some_and(|reply| reply.status < 300) {
                        break;
                    }
                    node += 1;
                }
            }
            thread::sleep(Duration::from_millis(1_200));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Some(head) = read_head(&mut reader) {
            let length = field(&head, "content-length").and_then(|text| text.parse().ok());
            let mut body = vec![0; length.unwrap_or(0)];
            if reader.read_exact(&mut body).is_err() || self.answer(&stream, &head).is_none() {
                return;
            }
        }
    }

    fn answer(&self, mut stream: &TcpStream, head: &str) -> Option<()> {
        let mut words = head.split(' ');
        let method = words.next()?;
        let path = words.next()?.to_owned();
        let mut write = |text: String| stream.write_all(text.as_bytes()).ok();
        let whole = |status: &str, fields: &str, body: &str| {
            format!(
                "HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        if method == "GET" && path == "/report" {
            let body = format!(
                "{{\"stage\":\"mixed\",\"models\":[{{\"name\":\"m\",\"version\":1,\
                 \"adapters\":[]}}],\"busy\":false,\"sequence\":1,\"waiting\":0,\"running\":0,\
                 \"kv-used\":0,\"kv-total\":90000,\"handles\":0,\"born\":{}}}",
                self.born
            );
            return write(whole("200 OK", "Content-Type: application/json\r\n", &body));
        }
        let own = format!("X-Instance-Id: {}\r\n", self.id);
        if method == "GET" && path == "/healthz" {
            return write(whole("200 OK", &own, ""));
        }
        let id = field(head, "x-request-id").unwrap_or_default();
        if field(head, "x-expect-instance").is_some_and(|expected| expected != self.id) {
            return write(whole("421 Misdirected Request", &own, ""));
        }
        self.runs.lock().expect("no writer panicked").push(Run {
            at: Instant::now(),
            server: self.id.clone(),
            id: id.clone(),
            path,
            head: head.to_owned(),
        });
        let signed = format!(
            "X-Request-Id: {id}\r\nX-Server-Stamp: {}.{id}\r\nX-Server-Load: 1,0,{}\r\n",
            self.id, self.slots
        );
        write(format!(
            "HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        ))?;
        let after = field(head, "last-event-id").and_then(|text| text.parse::<u64>().ok());
        for number in after.map_or(0, |after| after + 1)..self.terms.events {
            thread::sleep(self.terms.pause);
            let event = format!("id: {number}\ndata: {}\n\n", event_data(&id, number));
            write(format!("{:x}\r\n{event}\r\n", event.len()))?;
        }
        write("0\r\n\r\n".to_owned())
    }
}

pub fn event_data(id: &str, number: u64) -> String {
    format!("{id}-{number}")
}

/// The whole output of an item.
pub fn item_text(id: &str, events: u64) -> String {
    let events = (0..events).map(|number| event_data(id, number));
    events.collect::<Vec<_>>().join("\\n")
}
