//! Tests of whole fleets of real processes, driven over the platform's protocol.

mod broken_streams;
mod calm;
mod client;
mod cold;
mod cold_spells;
#[path = "../shared/crowd.rs"]
mod crowd;
mod crowds;
mod departures;
mod endless;
mod explain;
mod faulty;
mod faulty_answers;
mod first_contact;
mod homes;
mod hushed;
mod isolated;
mod limited;
mod long_items;
mod moved_jobs;
mod odd_entries;
mod planned_stops;
mod proxy;
mod public_jobs;
mod servers;
mod shared_segments;
mod small_machine;
mod soak;
mod stranded;
mod trouble;
mod uneven;
mod unframed;
mod versions;
mod where_to;
mod world;
mod zone_drains;
