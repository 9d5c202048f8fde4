//! Calls and notices between the processes of the system over TCP.
//!
//! A process keeps one connection to each peer that it talks to. A call gets an
//! answer or an error within its timeout; a notice is sent once and may be lost.
//!
//! This is not built on the nng link of `chicoryladder-link`: its dialer has no
//! bound on the time to connect to a host that went dark, and each message
//! crosses the threads of nng, which costs more than the message itself on a
//! host with a quarter of a core.
//!
//! A connection can go silent for good while new ones work. So a connection
//! that is in use is probed, and replaced when a probe stays unanswered.

mod client;
mod connection;
mod frame;
mod identity;
mod server;

pub use client::{RpcClient, RpcError};
pub use identity::PeerIdentity;
pub use server::{RpcHandler, RpcServer};
