//! Tests of the replicated log under faults.

mod cluster;
mod elections;
mod faulty_storage;
mod history;
mod kv;
mod linearizability;
mod membership;
mod network;
mod observers;
mod seeds;
mod storage;
mod survival;
