//! Random identifiers from a cryptographic generator.

use chicoryladder_types::prelude::*;
use chicoryladder_types::{JobId, OperationId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha12Rng;
use std::sync::{Mutex, PoisonError};

/// Draws random identifiers from a seeded generator.
pub struct RandomIds {
    generator: Mutex<ChaCha12Rng>,
}

impl RandomIds {
    /// Creates a generator with a seed from the operating system.
    ///
    /// # Errors
    ///
    /// Fails if the operating system provides no random bytes.
    pub fn from_system() -> Result<Self, getrandom::Error> {
        let mut seed = [0; 32];
        getrandom::fill(&mut seed)?;
        Ok(Self::from_seed(seed))
    }

    /// Creates a generator with the given seed.
    #[must_use]
    pub fn from_seed(seed: [u8; 32]) -> Self {
        Self {
            generator: Mutex::new(ChaCha12Rng::from_seed(seed)),
        }
    }

    /// 128 random bits.
    pub fn bits(&self) -> u128 {
        let mut bytes = [0; 16];
        self.fill(&mut bytes);
        u128::from_le_bytes(bytes)
    }

    /// A seed for another generator.
    pub fn seed(&self) -> [u8; 32] {
        let mut seed = [0; 32];
        self.fill(&mut seed);
        seed
    }

    /// 64 random bits.
    pub fn random_u64(&self) -> u64 {
        let mut bytes = [0; 8];
        self.fill(&mut bytes);
        u64::from_le_bytes(bytes)
    }

    /// Fills `bytes` with random bits.
    pub fn fill(&self, bytes: &mut [u8]) {
        let mut generator = self
            .generator
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        generator.fill_bytes(bytes);
    }

    /// An id for a request.
    pub fn request(&self) -> RequestId {
        RequestId::new(self.bits())
    }

    /// An id for a job.
    pub fn job(&self) -> JobId {
        JobId::new(self.bits())
    }

    /// An id for an operation that was requested without one.
    pub fn operation(&self) -> Option<OperationId> {
        OperationId::try_from(format!("{:032x}", self.bits())).ok()
    }
}
