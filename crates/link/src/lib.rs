//! Authenticated messages between hosts over nng.
