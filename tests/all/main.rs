//! Whole-system tests.
