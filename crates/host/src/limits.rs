//! The task that owns the token buckets of the teams.
//!
//! Each host holds a fixed part of a team's rate and burst: the whole divided
//! by the number of entry hosts in the settings. The sum over all hosts never
//! exceeds the team's terms, whatever hosts do.

use chicoryladder_settings::TeamTerms;
use chicoryladder_types::prelude::*;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};

struct AdmissionEvent {
    team: TeamName,
    terms: TeamTerms,
    answer: oneshot::Sender<Result<(), RequestRefusal>>,
}

/// Talks to the limits task; clones share it.
#[derive(Clone)]
pub(crate) struct LimitHandle {
    events: mpsc::UnboundedSender<AdmissionEvent>,
}

impl LimitHandle {
    /// Starts the task of one of `host_count` hosts.
    pub(crate) fn start(host_count: usize, clock: Arc<dyn ClockSource>) -> Self {
        let (events, receiver) = mpsc::unbounded_channel();
        let task = LimitTask {
            host_count,
            clock,
            events: receiver,
            buckets: HashMap::new(),
        };
        tokio::spawn(task.run());
        Self { events }
    }

    /// Takes one token of the team.
    ///
    /// # Errors
    ///
    /// Refuses a request beyond the rate and burst, with the time until the
    /// next token.
    pub(crate) async fn admit(
        &self,
        team: &TeamName,
        terms: TeamTerms,
    ) -> Result<(), RequestRefusal> {
        let (answer, receiver) = oneshot::channel();
        let event = AdmissionEvent {
            team: team.clone(),
            terms,
            answer,
        };
        let _ = self.events.send(event);
        receiver.await.unwrap_or_else(|_| {
            let detail = "the host is stopping";
            Err(RequestRefusal::not_run(RefusalReason::Draining, detail))
        })
    }
}

struct TokenBucket {
    tokens: f64,
    filled: Instant,
}

struct LimitTask {
    host_count: usize,
    clock: Arc<dyn ClockSource>,
    events: mpsc::UnboundedReceiver<AdmissionEvent>,
    buckets: HashMap<TeamName, TokenBucket>,
}

impl LimitTask {
    async fn run(mut self) {
        while let Some(event) = self.events.recv().await {
            let result = self.admit(event.team, event.terms);
            // A closed channel means that the caller has left.
            let _ = event.answer.send(result);
        }
    }

    fn admit(&mut self, team: TeamName, terms: TeamTerms) -> Result<(), RequestRefusal> {
        let now = self.clock.now();
        let parts = f64::from(u32::try_from(self.host_count.max(1)).unwrap_or(u32::MAX));
        let rate = terms.rate.per_second() / parts;
        let burst = f64::from(terms.burst) / parts;
        let bucket = self.buckets.entry(team).or_insert(TokenBucket {
            tokens: burst,
            filled: now,
        });
        let elapsed = now.saturating_duration_since(bucket.filled).as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed * rate).min(burst);
        bucket.filled = now;
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        let refusal = RequestRefusal::not_run(
            RefusalReason::RateExceeded,
            "the team is beyond its rate and burst",
        );
        let missing = (1.0 - bucket.tokens) / rate;
        match Duration::try_from_secs_f64(missing) {
            Ok(wait) => Err(refusal.with_retry_after(wait)),
            Err(_) => Err(refusal),
        }
    }
}
