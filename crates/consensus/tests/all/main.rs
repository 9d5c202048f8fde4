//! Tests of the replicated log under faults.

mod cluster;
mod elections;
mod faulty_storage;
mod history;
mod kv;
mod linearizability;
mod membership;
mod model_disk;
mod network;
mod observers;
mod power_loss;
mod resumption;
mod seeds;
mod storage;
mod survival;
