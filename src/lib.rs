//! Commands of the chicoryladder binaries.
