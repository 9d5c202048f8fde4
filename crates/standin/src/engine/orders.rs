//! Orders to an engine: load or unload a model, change its role.
//!
//! An engine that checks fencing numbers refuses an order whose number is below
//! the highest one it has executed; without the check it executes every order as
//! it arrives.

use crate::ReceivedRequest;
use crate::announcer::AnnouncerState;
use crate::response::{ResponseBody, error_response, json_response};
use chicoryladder_types::{FencingNumber, ModelName, headers};
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::sync::{Mutex, PoisonError};
use tokio::sync::watch;

/// The role of an engine before its first order.
const INITIAL_ROLE: &str = "mixed";

/// An order, as the JSON body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case", deny_unknown_fields)]
enum EngineOrder {
    LoadModel { model: ModelName },
    UnloadModel { model: ModelName },
    SetRole { role: String },
}

/// The result of the orders executed so far, as returned by `GET /orders`.
#[derive(Clone, Debug, Serialize)]
struct OrderState {
    fencing: FencingNumber,
    role: String,
    taken: u64,
}

/// The reason why an order was not executed.
#[derive(Debug, thiserror::Error)]
enum OrderError {
    #[error("the order has no fencing number")]
    MissingFencingNumber,
    #[error("the body is not an order: {0}")]
    InvalidBody(#[from] serde_json::Error),
    #[error("fencing number {offered} is below {highest}")]
    StaleFencing {
        offered: FencingNumber,
        highest: FencingNumber,
    },
}

impl OrderError {
    fn response(&self) -> Response<ResponseBody> {
        let (status, code) = match self {
            Self::MissingFencingNumber => (StatusCode::BAD_REQUEST, "no_fencing_number"),
            Self::InvalidBody(_) => (StatusCode::BAD_REQUEST, "bad_order"),
            Self::StaleFencing { .. } => (StatusCode::CONFLICT, "stale_fencing"),
        };
        error_response(status, code, &self.to_string())
    }
}

/// Executes the orders to one engine.
#[derive(Debug)]
pub(super) struct OrderExecutor {
    checks_fencing: bool,
    announcer: watch::Sender<AnnouncerState>,
    state: Mutex<OrderState>,
}

impl OrderExecutor {
    pub(super) fn new(checks_fencing: bool, announcer: watch::Sender<AnnouncerState>) -> Self {
        let state = OrderState {
            fencing: FencingNumber::default(),
            role: INITIAL_ROLE.to_owned(),
            taken: 0,
        };
        Self {
            checks_fencing,
            announcer,
            state: Mutex::new(state),
        }
    }

    /// The loaded models.
    pub(super) fn models(&self) -> Vec<ModelName> {
        self.announcer.borrow().models.clone()
    }

    /// Handles `GET /orders`: responds with the state after the last order.
    pub(super) fn report_state(&self) -> Response<ResponseBody> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        self.state_response(&state)
    }

    /// Handles `POST /orders`.
    pub(super) fn handle(&self, request: &ReceivedRequest) -> Response<ResponseBody> {
        match self.try_execute(request) {
            Ok(response) => response,
            Err(error) => error.response(),
        }
    }

    fn try_execute(&self, request: &ReceivedRequest) -> Result<Response<ResponseBody>, OrderError> {
        let offered = request
            .header(headers::FENCING_NUMBER)
            .and_then(|number| number.parse().ok())
            .map(FencingNumber)
            .ok_or(OrderError::MissingFencingNumber)?;
        let order: EngineOrder = serde_json::from_slice(&request.body)?;
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let highest = state.fencing;
        if self.checks_fencing && offered < highest {
            return Err(OrderError::StaleFencing { offered, highest });
        }
        state.fencing = offered;
        state.taken += 1;
        self.execute(order, &mut state);
        Ok(self.state_response(&state))
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

    fn state_response(&self, state: &OrderState) -> Response<ResponseBody> {
        let value = serde_json::json!({
            "fencing": state.fencing,
            "role": state.role,
            "taken": state.taken,
            "models": self.models(),
        });
        json_response(StatusCode::OK, &value)
    }
}
