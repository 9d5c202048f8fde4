//! Replicated aggregates: configuration, keys and orders.
