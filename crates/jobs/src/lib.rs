//! Batch jobs: item lifecycle, leases, scheduling and result storage.
