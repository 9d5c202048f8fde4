//! Runs an experiment against the callers' ports of entry hosts.
//!
//! One task per stream waits for each intended start and spawns the request; the
//! requests send their outcomes to one recorder. Arrivals do not wait for responses.

use super::arrivals::{ArrivalSchedule, IntendedArrival};
use super::batch::{BATCHES_PATH, BatchCall};
use super::caller::{CallerClient, CallerRequest};
use super::chat::{CHAT_PATH, ChatCall, run_service, time_left};
use super::experiment::{LoadExperiment, LoadStream, StreamWork};
use super::outcome::{FailureKind, LoadOutcome, RequestEnd};
use super::prompt::prompt_text;
use super::recorder::OutcomeRecorder;
use super::report::LoadReport;
use bytes::Bytes;
use hyper::Method;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

/// The difference between the seeds of consecutive streams, so that their arrivals
/// and prompts differ.
const STREAM_SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Runs one experiment.
#[derive(Clone, Debug)]
pub struct LoadRunner {
    experiment: Arc<LoadExperiment>,
    targets: Arc<[SocketAddr]>,
    client: CallerClient,
}

impl LoadRunner {
    /// Creates a runner that sends to the given callers' ports.
    ///
    /// # Panics
    ///
    /// Panics if `targets` is empty.
    #[must_use]
    pub fn new(experiment: LoadExperiment, targets: Vec<SocketAddr>) -> Self {
        assert!(!targets.is_empty(), "a load run needs at least one target");
        Self {
            experiment: Arc::new(experiment),
            targets: targets.into(),
            client: CallerClient::new(),
        }
    }

    /// Warms up, sends a request at every arrival and waits for the responses, at
    /// most for the drain time.
    pub async fn run(&self) -> LoadReport {
        if !self.experiment.warmup.is_zero() {
            self.warm_up_runner().run_phase().await;
        }
        self.run_phase().await
    }

    /// Returns a runner of the online streams only, with other arrivals and prompts.
    fn warm_up_runner(&self) -> Self {
        let mut experiment = LoadExperiment::clone(&self.experiment);
        experiment.duration = experiment.warmup;
        experiment.seed = experiment.seed.wrapping_add(1);
        experiment
            .streams
            .retain(|stream| !matches!(stream.work, StreamWork::Batch { .. }));
        Self {
            experiment: Arc::new(experiment),
            ..self.clone()
        }
    }

    async fn run_phase(&self) -> LoadReport {
        let (outcomes, mut incoming) = mpsc::unbounded_channel();
        let permits = Arc::new(Semaphore::new(self.experiment.in_flight_max));
        let start = Instant::now();
        let mut streams = JoinSet::new();
        for index in 0..self.experiment.streams.len() {
            let sender = StreamSender {
                runner: self.clone(),
                index,
                seed: self.stream_seed(index),
                start,
                permits: Arc::clone(&permits),
                outcomes: outcomes.clone(),
            };
            streams.spawn(sender.run());
        }
        drop(outcomes);
        let mut recorder = OutcomeRecorder::new(&self.experiment);
        while let Some(outcome) = incoming.recv().await {
            recorder.record(&outcome);
        }
        recorder.into_report()
    }

    fn stream_seed(&self, index: usize) -> u64 {
        let step = STREAM_SEED_STEP.wrapping_mul(index as u64 + 1);
        self.experiment.seed.wrapping_add(step)
    }
}

/// Sends the requests of one stream.
struct StreamSender {
    runner: LoadRunner,
    index: usize,
    seed: u64,
    start: Instant,
    permits: Arc<Semaphore>,
    outcomes: mpsc::UnboundedSender<LoadOutcome>,
}

impl StreamSender {
    async fn run(self) {
        let experiment = Arc::clone(&self.runner.experiment);
        let stream = &experiment.streams[self.index];
        let schedule = ArrivalSchedule::draw(&stream.arrivals, self.seed, experiment.duration);
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut requests = JoinSet::new();
        for (number, arrival) in schedule.arrivals().iter().enumerate() {
            sleep_until(self.start + arrival.offset).await;
            let target = self.choose_target(&mut rng);
            self.spawn(&mut requests, number as u64, *arrival, target);
            while requests.try_join_next().is_some() {}
        }
        // Each request ends by its own timeout at the latest.
        while requests.join_next().await.is_some() {}
    }

    fn spawn(
        &self,
        requests: &mut JoinSet<()>,
        number: u64,
        arrival: IntendedArrival,
        target: SocketAddr,
    ) {
        let permit = Arc::clone(&self.permits).try_acquire_owned();
        let outcomes = self.outcomes.clone();
        let outcome = LoadOutcome {
            stream: self.index,
            intended: arrival.offset,
            end: RequestEnd::Failed(FailureKind::NotSent),
        };
        let Ok(permit) = permit else {
            // The recorder outlives the streams.
            let _ = outcomes.send(outcome);
            return;
        };
        let call = StreamCall {
            runner: self.runner.clone(),
            index: self.index,
            seed: self.seed,
            number,
            arrival,
            intended: self.start + arrival.offset,
            target,
        };
        requests.spawn(async move {
            let end = call.run().await;
            drop(permit);
            call.log_end(&end);
            let _ = outcomes.send(LoadOutcome { end, ..outcome });
        });
    }

    fn choose_target(&self, rng: &mut ChaCha8Rng) -> SocketAddr {
        let targets = &self.runner.targets;
        let share = self.runner.experiment.first_target_percent;
        let index = match share {
            Some(share) if rng.random_range(0..100) < share => 0,
            Some(_) if targets.len() > 1 => rng.random_range(1..targets.len()),
            _ => rng.random_range(0..targets.len()),
        };
        targets[index]
    }
}

/// One request of a stream.
struct StreamCall {
    runner: LoadRunner,
    index: usize,
    seed: u64,
    number: u64,
    arrival: IntendedArrival,
    intended: Instant,
    target: SocketAddr,
}

impl StreamCall {
    async fn run(&self) -> RequestEnd {
        let limit = self.limit();
        match timeout(time_left(self.intended, limit), self.send()).await {
            Ok(end) => end,
            Err(_) => RequestEnd::Failed(FailureKind::Timeout),
        }
    }

    fn log_end(&self, end: &RequestEnd) {
        let name = self.request_name();
        let elapsed_ms = self.intended.elapsed().as_millis();
        let end = end.name();
        let target = self.target;
        log::debug!("load: {name} to {target}: {end} after {elapsed_ms} ms");
    }

    /// The stream's timeout, limited by the end of the run.
    fn limit(&self) -> Duration {
        let experiment = &self.runner.experiment;
        let run_end = experiment.duration + experiment.drain;
        let run_left = run_end.saturating_sub(self.arrival.offset);
        self.stream().timeout.min(run_left)
    }

    fn stream(&self) -> &LoadStream {
        &self.runner.experiment.streams[self.index]
    }

    async fn send(&self) -> RequestEnd {
        let client = &self.runner.client;
        match &self.stream().work {
            StreamWork::Chat {
                model,
                prompt_tokens,
                shared_tokens,
                output_tokens,
                streamed,
            } => {
                let prompt_tokens = self.arrival.prompt_tokens.unwrap_or(*prompt_tokens);
                let call = ChatCall {
                    model: model.to_string(),
                    prompt: prompt_text(self.seed, self.number, prompt_tokens, *shared_tokens),
                    output_tokens: self.arrival.output_tokens.unwrap_or(*output_tokens),
                    streamed: *streamed,
                };
                let body = call.body().to_string().into();
                let request = self.request(CHAT_PATH, None, body);
                call.run(client, request, self.intended).await
            }
            StreamWork::Service { service, path } => {
                let path = format!("/services/{service}/{path}");
                let body = format!("{{\"charge\":\"{}\"}}", self.request_name()).into();
                let request = self.request(&path, None, body);
                run_service(client, request, self.intended).await
            }
            StreamWork::Batch { .. } => {
                let call = self.batch_call();
                let name = self.request_name();
                let request = self.request(BATCHES_PATH, Some(&name), call.body());
                call.run(client, request, self.intended).await
            }
        }
    }

    fn batch_call(&self) -> BatchCall {
        let StreamWork::Batch {
            model,
            items,
            bad_items,
            prompt_tokens,
            output_tokens,
        } = &self.stream().work
        else {
            return BatchCall::default();
        };
        let first = self.number * u64::from(*items);
        let item = |number: u32| ChatCall {
            model: model.to_string(),
            prompt: prompt_text(self.seed, first + u64::from(number), *prompt_tokens, 0),
            output_tokens: *output_tokens,
            streamed: false,
        };
        BatchCall {
            items: (0..*items).map(item).collect(),
            bad_items: *bad_items as usize,
        }
    }

    fn request<'a>(
        &'a self,
        path: &'a str,
        idempotency_key: Option<&'a str>,
        body: Bytes,
    ) -> CallerRequest<'a> {
        let stream = self.stream();
        let team = self.runner.experiment.teams.get(&stream.team);
        CallerRequest {
            target: self.target,
            method: Method::POST,
            path,
            key: team.and_then(|team| team.key.as_deref()),
            class: stream.class.as_ref(),
            idempotency_key,
            body,
        }
    }

    /// A name that is unique among the requests of the run.
    fn request_name(&self) -> String {
        format!("load-{}-{}-{}", self.seed, self.index, self.number)
    }
}
