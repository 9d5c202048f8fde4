//! Whole-system tests.

mod command_line;
