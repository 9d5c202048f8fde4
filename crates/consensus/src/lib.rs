//! Replicated log: elections, leases, storage, snapshots and membership changes.
