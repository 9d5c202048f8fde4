//! The intended start times of the requests of a stream.

use super::trace::TraceArrival;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// The arrival process of a stream.
#[derive(Clone, Debug, PartialEq)]
pub enum ArrivalPlan {
    /// Independent arrivals at a mean rate.
    Poisson {
        /// Mean arrivals per second.
        rate_per_s: f64,
    },
    /// Groups of simultaneous arrivals on top of independent ones.
    Bursts {
        /// Mean arrivals per second between the groups.
        rate_per_s: f64,
        /// Arrivals in one group.
        burst_size: u32,
        /// The interval between two groups.
        period: Duration,
    },
    /// One arrival at the start.
    Once,
    /// The arrivals of a recorded trace.
    Trace(Vec<TraceArrival>),
}

/// One intended arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IntendedArrival {
    /// The time since the start of the run.
    pub offset: Duration,
    /// The prompt length that a trace specifies, in tokens.
    pub prompt_tokens: Option<u32>,
    /// The response length that a trace specifies, in tokens.
    pub output_tokens: Option<u32>,
}

impl IntendedArrival {
    fn at(offset: Duration) -> Self {
        Self {
            offset,
            prompt_tokens: None,
            output_tokens: None,
        }
    }
}

/// The arrivals of one stream up to the end of a run, in order of time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArrivalSchedule(Vec<IntendedArrival>);

impl ArrivalSchedule {
    /// Draws the arrivals of a plan; the same seed gives the same arrivals.
    #[must_use]
    pub fn draw(plan: &ArrivalPlan, seed: u64, end: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut arrivals = match plan {
            ArrivalPlan::Poisson { rate_per_s } => poisson(*rate_per_s, end, &mut rng),
            ArrivalPlan::Bursts {
                rate_per_s,
                burst_size,
                period,
            } => {
                let mut arrivals = poisson(*rate_per_s, end, &mut rng);
                arrivals.extend(bursts(*burst_size, *period, end));
                arrivals
            }
            ArrivalPlan::Once => vec![IntendedArrival::at(Duration::ZERO)],
            ArrivalPlan::Trace(trace) => replay(trace, end),
        };
        arrivals.sort_by_key(|arrival| arrival.offset);
        Self(arrivals)
    }

    /// The arrivals in order of time.
    #[must_use]
    pub fn arrivals(&self) -> &[IntendedArrival] {
        &self.0
    }
}

fn poisson(rate_per_s: f64, end: Duration, rng: &mut impl Rng) -> Vec<IntendedArrival> {
    let mut arrivals = Vec::new();
    if rate_per_s <= 0.0 {
        return arrivals;
    }
    let mut offset_s = 0.0;
    loop {
        let uniform: f64 = rng.random();
        // 1 - uniform lies in (0, 1], so the logarithm is finite.
        offset_s -= (1.0 - uniform).ln() / rate_per_s;
        if offset_s >= end.as_secs_f64() {
            return arrivals;
        }
        arrivals.push(IntendedArrival::at(Duration::from_secs_f64(offset_s)));
    }
}

fn bursts(size: u32, period: Duration, end: Duration) -> Vec<IntendedArrival> {
    let mut arrivals = Vec::new();
    let mut offset = period;
    while offset < end {
        for _ in 0..size {
            arrivals.push(IntendedArrival::at(offset));
        }
        offset += period;
    }
    arrivals
}

fn replay(trace: &[TraceArrival], end: Duration) -> Vec<IntendedArrival> {
    trace
        .iter()
        .filter(|arrival| arrival.offset < end)
        .map(|arrival| IntendedArrival {
            offset: arrival.offset,
            prompt_tokens: Some(arrival.prompt_tokens),
            output_tokens: Some(arrival.output_tokens),
        })
        .collect()
}
