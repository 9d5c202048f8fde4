//! Checked host settings and fleet documents, read from INI.
