//! Tests of the slot broker.

mod brokerless;
mod bursts;
mod cold_servers;
mod crashing_segments;
mod cut_off_hosts;
mod departures;
mod directory;
mod explanations;
mod homes;
mod limited_servers;
mod mixed_versions;
mod named_limits;
mod overload;
mod placement;
mod rates;
mod reserves;
mod slots;
mod support;
mod tunnel_hosts;
mod zone_drains;
