//! Remote calls and one-way notices between processes over TCP.
//!
//! A process keeps one connection to each peer. A call returns a reply, or an
//! error after its timeout. A notice is sent at most once and may be lost.
//!
//! This crate does not use the nng link of `chicoryladder-link`: its dialer has no
//! timeout for connecting to an unreachable host, and each message passes through
//! nng's threads, which costs more than the message itself on a host with a
//! quarter of a core.
//!
//! An established connection can stop delivering data without being closed while
//! new connections still work. Connections in use are therefore probed, and
//! replaced when a probe is not answered in time.
//!
//! What arrives at a server is charged to the account of the process before it is kept, see
//! [`RpcServer::start`]. A connection that has not identified itself may send no more than its
//! greeting, and is closed if it takes too long or if too many others wait.
//!
//! A process may open connections to third addresses for its peers, see [`TunnelStream`].

mod client;
mod connection;
mod frame;
mod frame_reader;
mod identity;
mod server;
mod tunnel;
mod tunnel_request;
mod unidentified;

pub use client::{RpcClient, RpcError};
pub use identity::PeerIdentity;
pub use server::{RpcHandler, RpcServer, UncountedBounds};
pub use tunnel::{TunnelError, TunnelHealth, TunnelStream};
pub use tunnel_request::{TunnelRequest, TunnelSecret};
