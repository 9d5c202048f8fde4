//! Errors of starting a stand-in.

use std::io;
use std::net::SocketAddr;

/// The reason why a stand-in could not start.
#[derive(Debug, thiserror::Error)]
pub enum StandinError {
    /// The listening socket could not be opened.
    #[error("cannot listen on {address}")]
    Listen {
        /// The requested address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
}
