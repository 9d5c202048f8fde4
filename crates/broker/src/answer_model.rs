//! How long the servers of a service take to the first part of an answer, learnt from the
//! answers themselves.

/// The weight that the earlier samples keep with each new one: the estimate follows the last
/// few hundred answers.
const MEMORY: f64 = 0.995;

/// The time to read a token that is assumed before there are samples, in milliseconds.
const INITIAL_TOKEN_MS: f64 = 0.015;

/// The time to an answer without tokens to read that is assumed at first, in milliseconds.
const INITIAL_BASE_MS: f64 = 50.0;

/// The samples that the initial base counts for.
const INITIAL_WEIGHT: f64 = 4.0;

/// The weight of the initial time per token, in squared tokens. Samples whose numbers of
/// tokens hardly differ say nothing about it: 200 samples that vary by 1,000 tokens outweigh
/// it ten times.
const TOKEN_MS_INERTIA: f64 = 2.0e7;

/// The ranges of the learnt times, in milliseconds.
const TOKEN_MS_RANGE: (f64, f64) = (0.000_5, 1.0);
const BASE_MS_RANGE: (f64, f64) = (1.0, 5_000.0);

/// A sample counts as at most this many times the expected time, since single answers that
/// are delayed by minutes must not move the estimate of a service.
const OUTLIER_FACTOR: f64 = 4.0;

/// The time to the first part of an answer as a linear function of the tokens to read, by
/// exponentially weighted least squares.
#[derive(Clone, Debug)]
pub(crate) struct AnswerModel {
    weight: f64,
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
    token_ms: f64,
    base_ms: f64,
}

impl Default for AnswerModel {
    fn default() -> Self {
        Self {
            weight: INITIAL_WEIGHT,
            sum_x: 0.0,
            sum_y: INITIAL_WEIGHT * INITIAL_BASE_MS,
            sum_xx: 0.0,
            sum_xy: 0.0,
            token_ms: INITIAL_TOKEN_MS,
            base_ms: INITIAL_BASE_MS,
        }
    }
}

impl AnswerModel {
    /// The time to read a token, in milliseconds.
    pub(crate) fn token_ms(&self) -> f64 {
        self.token_ms
    }

    /// The time to an answer without tokens to read, in milliseconds.
    pub(crate) fn base_ms(&self) -> f64 {
        self.base_ms
    }

    /// The time to the first part of an answer after `tokens` are read, in milliseconds.
    pub(crate) fn answer_ms(&self, tokens: f64) -> f64 {
        self.base_ms + self.token_ms * tokens
    }

    /// Records the time to the first part of an answer, in milliseconds at the usual pace.
    pub(crate) fn record(&mut self, tokens: f64, answer_ms: f64) {
        let answer_ms = answer_ms.min(OUTLIER_FACTOR * self.answer_ms(tokens));
        self.weight = self.weight * MEMORY + 1.0;
        self.sum_x = self.sum_x * MEMORY + tokens;
        self.sum_y = self.sum_y * MEMORY + answer_ms;
        self.sum_xx = self.sum_xx * MEMORY + tokens * tokens;
        self.sum_xy = self.sum_xy * MEMORY + tokens * answer_ms;
        let (mean_x, mean_y) = (self.sum_x / self.weight, self.sum_y / self.weight);
        let variance = (self.sum_xx - self.sum_x * mean_x).max(0.0);
        let covariance = self.sum_xy - self.sum_x * mean_y;
        let token_ms =
            (covariance + TOKEN_MS_INERTIA * INITIAL_TOKEN_MS) / (variance + TOKEN_MS_INERTIA);
        self.token_ms = token_ms.clamp(TOKEN_MS_RANGE.0, TOKEN_MS_RANGE.1);
        let base_ms = mean_y - self.token_ms * mean_x;
        self.base_ms = base_ms.clamp(BASE_MS_RANGE.0, BASE_MS_RANGE.1);
    }
}
