//! Stand-in engines, plain services and the load generator.
