//! System tests: whole fleets of entry hosts in one process.
//!
//! `fixture` starts the hosts on free ports with a temporary data folder. Each
//! other module covers one feature or kind of failure and checks what callers and
//! operators observe.

#![allow(clippy::unwrap_used)]

mod at_most_once;
mod batch;
mod board;
mod boundary;
mod broken_responses;
mod command_line;
mod control;
#[path = "../shared/crowd.rs"]
mod crowd;
mod crowds;
mod demo;
mod end_to_end;
mod faults;
mod fixture;
mod full_disks;
mod limits;
mod quarantine;
mod replicated_state;
mod shutdown;
mod silent_servers;
mod stranded;
mod zone_drains;
