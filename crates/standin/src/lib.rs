//! Stand-in engines, plain services and the load generator.
//!
//! The stand-ins implement the same HTTP interfaces as real backend servers, and
//! faults can be switched on at run time, so demos, tests and measurements need
//! no accelerator. They model only what the system can observe of a backend
//! server; `docs/design/standin.md` lists what is left out.

mod announcer;
mod control;
mod engine;
mod entry_hosts;
mod error;
mod fault;
mod listener;
pub mod load;
mod record;
mod response;
mod service;

pub use control::ServerControl;
pub use engine::{
    EngineCounters, EngineHandle, EngineOptions, EngineServer, EngineTiming, EventOptions,
    answer_text,
};
pub use error::StandinError;
pub use fault::FaultPlan;
pub use record::ReceivedRequest;
pub use service::{PlainHandle, PlainOptions, PlainServer};
