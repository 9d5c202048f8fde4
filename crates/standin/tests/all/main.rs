//! Tests of the stand-ins over loopback.

#![allow(clippy::unwrap_used)]

mod announcements;
mod engine;
mod faults;
mod load;
mod model;
mod service;
mod support;
