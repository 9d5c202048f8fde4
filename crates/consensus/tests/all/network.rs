//! A simulated network that drops, delays, duplicates and reorders messages, and whose
//! links can be cut.

use chicoryladder_consensus::SeatEnvelope;
use chicoryladder_types::SeatId;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::time::Duration;

#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkFaults {
    pub(crate) drop_percent: u32,
    pub(crate) duplicate_percent: u32,
    pub(crate) delay_max: Duration,
}

impl LinkFaults {
    pub(crate) const RELIABLE: Self = Self {
        drop_percent: 0,
        duplicate_percent: 0,
        delay_max: Duration::from_millis(4),
    };
    pub(crate) const LOSSY: Self = Self {
        drop_percent: 8,
        duplicate_percent: 8,
        delay_max: Duration::from_millis(60),
    };
}

struct InFlight {
    due: Duration,
    envelope: SeatEnvelope,
}

pub(crate) struct TestNetwork {
    pub(crate) faults: LinkFaults,
    cuts: BTreeSet<(SeatId, SeatId)>,
    in_flight: Vec<InFlight>,
    pub(crate) sent: u64,
}

impl TestNetwork {
    pub(crate) fn new(faults: LinkFaults) -> Self {
        Self {
            faults,
            cuts: BTreeSet::new(),
            in_flight: Vec::new(),
            sent: 0,
        }
    }

    pub(crate) fn cut(&mut self, from: SeatId, to: SeatId) {
        self.cuts.insert((from, to));
    }

    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
    }

    pub(crate) fn send(&mut self, envelope: SeatEnvelope, at: Duration, rng: &mut ChaCha8Rng) {
        self.sent += 1;
        if rng.random_ratio(self.faults.drop_percent, 100) {
            return;
        }
        if rng.random_ratio(self.faults.duplicate_percent, 100) {
            self.enqueue(envelope.clone(), at, rng);
        }
        self.enqueue(envelope, at, rng);
    }

    fn enqueue(&mut self, envelope: SeatEnvelope, at: Duration, rng: &mut ChaCha8Rng) {
        let delay = rng.random_range(Duration::from_millis(1)..=self.faults.delay_max);
        let due = at + delay;
        self.in_flight.push(InFlight { due, envelope });
    }

    /// The messages due by `at`; those due while their link is cut are lost.
    pub(crate) fn take_due(&mut self, at: Duration) -> Vec<SeatEnvelope> {
        let mut due = Vec::new();
        for message in std::mem::take(&mut self.in_flight) {
            if message.due > at {
                self.in_flight.push(message);
            } else {
                let envelope = message.envelope;
                if !self.cuts.contains(&(envelope.from, envelope.to)) {
                    due.push(envelope);
                }
            }
        }
        due
    }
}
