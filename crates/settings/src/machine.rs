//! What the machine gives to a process.

use crate::ini::SectionTable;
use crate::value::WholeNumber;

/// The bytes of a megabyte in settings.
const MEGABYTE: u64 = 1_000_000;

/// The memory of a machine, in megabytes: 16 MB to 16 TB.
type MegabyteCount = WholeNumber<16, 16_000_000>;

/// A number of file descriptors.
type DescriptorCount = WholeNumber<64, 16_000_000>;

/// What the machine gives to the process; `None` is no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MachineLimits {
    /// The memory of the process, in bytes.
    pub memory_bytes: Option<u64>,
    /// The number of file descriptors.
    pub descriptors: Option<u64>,
}

impl MachineLimits {
    /// Reads the section `[limits]`.
    pub(crate) fn read(sections: &mut SectionTable<'_>) -> Self {
        let Some(mut section) = sections.optional("limits") else {
            return Self::default();
        };
        let memory: Option<MegabyteCount> = section.optional("memory_mb");
        let descriptors: Option<DescriptorCount> = section.optional("descriptors");
        section.finish();
        Self {
            memory_bytes: memory.map(|memory| memory.0 * MEGABYTE),
            descriptors: descriptors.map(|descriptors| descriptors.0),
        }
    }
}
