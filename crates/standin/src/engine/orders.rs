//! Orders to an engine: load or unload a model, change its role.
//!
//! An engine that checks fencing numbers refuses an order whose number is below
//! the highest one it has taken; another engine takes whatever arrives last.

use crate::ReceivedRequest;
use crate::announcer::AnnouncerState;
use crate::answer::{AnswerBody, error_answer, json_answer};
use chicoryladder_types::{FencingNumber, ModelName, headers};
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::sync::{Mutex, PoisonError};
use tokio::sync::watch;

/// The role of an engine that has had no order.
const FIRST_ROLE: &str = "mixed";

/// An order, as the JSON body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case", deny_unknown_fields)]
enum EngineOrder {
    LoadModel { model: ModelName },
    UnloadModel { model: ModelName },
    SetRole { role: String },
}

/// The orders that an engine has taken, as `GET /orders` shows them.
#[derive(Clone, Debug, Serialize)]
struct OrderState {
    fencing: FencingNumber,
    role: String,
    taken: u64,
}

/// Why an order was not taken.
#[derive(Debug, thiserror::Error)]
enum OrderError {
    #[error("the order has no fencing number")]
    NoFencingNumber,
    #[error("the body is not an order: {0}")]
    BadBody(#[from] serde_json::Error),
    #[error("fencing number {offered} is below {highest}")]
    StaleFencing {
        offered: FencingNumber,
        highest: FencingNumber,
    },
}

impl OrderError {
    fn answer(&self) -> Response<AnswerBody> {
        let (status, code) = match self {
            Self::NoFencingNumber => (StatusCode::BAD_REQUEST, "no_fencing_number"),
            Self::BadBody(_) => (StatusCode::BAD_REQUEST, "bad_order"),
            Self::StaleFencing { .. } => (StatusCode::CONFLICT, "stale_fencing"),
        };
        error_answer(status, code, &self.to_string())
    }
}

/// Takes the orders to one engine.
#[derive(Debug)]
pub(super) struct OrderBook {
    checks_fencing: bool,
    announcer: watch::Sender<AnnouncerState>,
    state: Mutex<OrderState>,
}

impl OrderBook {
    pub(super) fn new(checks_fencing: bool, announcer: watch::Sender<AnnouncerState>) -> Self {
        let state = OrderState {
            fencing: FencingNumber::default(),
            role: FIRST_ROLE.to_owned(),
            taken: 0,
        };
        Self {
            checks_fencing,
            announcer,
            state: Mutex::new(state),
        }
    }

    /// The models loaded.
    pub(super) fn models(&self) -> Vec<ModelName> {
        self.announcer.borrow().models.clone()
    }

    /// Answers `GET /orders` with the state after the last order.
    pub(super) fn read_back(&self) -> Response<AnswerBody> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        self.state_answer(&state)
    }

    /// Answers `POST /orders`.
    pub(super) fn take(&self, request: &ReceivedRequest) -> Response<AnswerBody> {
        match self.try_take(request) {
            Ok(response) => response,
            Err(error) => error.answer(),
        }
    }

    fn try_take(&self, request: &ReceivedRequest) -> Result<Response<AnswerBody>, OrderError> {
        let offered = request
            .header(headers::FENCING_NUMBER)
            .and_then(|number| number.parse().ok())
            .map(FencingNumber)
            .ok_or(OrderError::NoFencingNumber)?;
        let order: EngineOrder = serde_json::from_slice(&request.body)?;
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let highest = state.fencing;
        if self.checks_fencing && offered < highest {
            return Err(OrderError::StaleFencing { offered, highest });
        }
        state.fencing = offered;
        state.taken += 1;
        self.execute(order, &mut state);
        Ok(self.state_answer(&state))
    }

    fn execute(&self, order: EngineOrder, state: &mut OrderState) {
        match order {
            EngineOrder::LoadModel { model } => self.announcer.send_modify(|announced| {
                if !announced.models.contains(&model) {
                    announced.models.push(model);
                }
            }),
            EngineOrder::UnloadModel { model } => self
                .announcer
                .send_modify(|announced| announced.models.retain(|loaded| *loaded != model)),
            EngineOrder::SetRole { role } => state.role = role,
        }
    }

    fn state_answer(&self, state: &OrderState) -> Response<AnswerBody> {
        let value = serde_json::json!({
            "fencing": state.fencing,
            "role": state.role,
            "taken": state.taken,
            "models": self.models(),
        });
        json_answer(StatusCode::OK, &value)
    }
}
