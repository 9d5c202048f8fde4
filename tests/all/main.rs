//! Whole-system tests.
//!
//! `fixture` starts entry hosts in this process, on free ports and in a folder
//! of their own; every other module causes one kind of event and checks what
//! callers and operators see.

#![allow(clippy::unwrap_used)]

mod batch;
mod board;
mod boundary;
mod command_line;
mod control;
mod demo;
mod faults;
mod fixture;
mod limits;
mod quarantine;
mod replicated_state;
mod single_runs;
mod whole_path;
