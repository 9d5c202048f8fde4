//! The bounds of a process on what other hosts may occupy.

use std::net::IpAddr;

/// Memory that is charged until this is dropped.
pub type PeerCharge = Box<dyn Send + Sync>;

/// The bounds of a process on what arrives at its port for other hosts.
pub trait PeerBounds: Send + Sync {
    /// Charges `bytes` before they are kept; `None` if there is no room at present.
    fn try_charge_peer(&self, bytes: usize) -> Option<PeerCharge>;

    /// The size of the largest message that finds room, in bytes.
    fn message_max_bytes(&self) -> usize;

    /// The maximum number of connections that have not identified themselves.
    fn unidentified_max(&self) -> usize;

    /// Takes note of a connection that was closed because of these bounds.
    fn note_closed_peer(&self, address: IpAddr, why: &str);
}
