//! Tests of the stand-ins and the load generator over the loopback interface.

#![allow(clippy::unwrap_used)]

mod announcements;
mod engine;
mod faults;
mod load;
mod model;
mod service;
mod support;
