//! Connections to backend servers: on a host's own path, or through a tunnel of another host if
//! that path is lost.
//!
//! [`ServerPaths`] decides which path to try, without I/O; [`ServerDialer`] opens connections.
//! Whoever uses it tells which hosts open tunnels ([`TunnelHosts`]) and learns of lost paths
//! ([`PathObserver`]).

mod dialer;
mod paths;

pub use dialer::{HostFilter, PathLoss, PathObserver, ServerDialer, ServerStream, TunnelHosts};
pub use paths::{FirstPath, ServerPaths};
