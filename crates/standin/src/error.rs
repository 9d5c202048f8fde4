//! Why a stand-in could not start.

use std::io;
use std::net::SocketAddr;

/// Why a stand-in could not start.
#[derive(Debug, thiserror::Error)]
pub enum StandinError {
    /// The listening socket could not be opened.
    #[error("cannot listen on {address}")]
    Listen {
        /// The address asked for.
        address: SocketAddr,
        /// What the operating system said.
        source: io::Error,
    },
}
