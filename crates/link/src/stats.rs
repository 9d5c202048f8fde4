//! Traffic and error counters of a link.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! link_counters {
    ($($(#[$meta:meta])* $name:ident,)*) => {
        /// Counters shared by the tasks of one link.
        #[derive(Debug, Default)]
        pub struct LinkStats {
            $(pub(crate) $name: AtomicU64,)*
        }

        /// A snapshot of the values of [`LinkStats`].
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
        pub struct LinkCounts {
            $($(#[$meta])* pub $name: u64,)*
        }

        impl LinkStats {
            /// Reads all counters.
            #[must_use]
            pub fn counts(&self) -> LinkCounts {
                LinkCounts {
                    $($name: self.$name.load(Ordering::Relaxed),)*
                }
            }
        }
    };
}

link_counters! {
    /// Messages handed to connections.
    sent,
    /// Bytes handed to connections.
    sent_bytes,
    /// Messages received and accepted.
    received,
    /// Bytes received and accepted.
    received_bytes,
    /// Messages dropped because the queue to the peer was full.
    dropped_full,
    /// Messages dropped because the connection did not accept them in time.
    dropped_slow,
    /// Received messages with a wrong tag or malformed content.
    rejected_tag,
    /// Received messages whose sequence number was not newer than the last one.
    rejected_replay,
    /// Connections replaced because the peer did not answer probes in time.
    replaced_unresponsive,
}

pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

pub(crate) fn add(counter: &AtomicU64, amount: usize) {
    counter.fetch_add(amount as u64, Ordering::Relaxed);
}
