//! Counters of a link.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! link_counters {
    ($($(#[$meta:meta])* $name:ident,)*) => {
        /// Counters shared by the tasks of one link.
        #[derive(Debug, Default)]
        pub struct LinkStats {
            $(pub(crate) $name: AtomicU64,)*
        }

        /// The values of [`LinkStats`] at one moment.
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
    /// Messages dropped since the queue to the peer was full.
    dropped_full,
    /// Messages dropped since the connection did not take them in time.
    dropped_slow,
    /// Messages received with a wrong tag or form.
    rejected_tag,
    /// Messages received whose number was already used.
    rejected_replay,
    /// Connections replaced since the peer stayed silent.
    replaced_silent,
}

pub(crate) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

pub(crate) fn add(counter: &AtomicU64, amount: usize) {
    counter.fetch_add(amount as u64, Ordering::Relaxed);
}
