//! Tasks of an entry host.
