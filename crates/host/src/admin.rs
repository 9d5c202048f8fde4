//! The administration API of a host.

mod fleet;
mod keys;
mod members;
mod propagation;
mod seats;
mod zones;

use crate::board::BoardHandle;
use crate::ids::RandomIds;
use crate::metrics::HostMetrics;
use crate::peers::PeerDirectory;
use crate::replica::ReplicaHandle;
use crate::routing::RoutingHandle;
use crate::tombstones::TombstoneHandle;
use chicoryladder_gateway::{AdminAnswer, AdminRequest, OperatorPort, json_answer};
use chicoryladder_types::prelude::*;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use hyper::Method;
use serde::Deserialize;
use std::sync::Arc;
use std::time::Instant;

/// Serves the administration API to operators.
pub(crate) struct AdminService {
    pub(crate) host: HostName,
    pub(crate) zone: ZoneName,
    pub(crate) replica: ReplicaHandle,
    pub(crate) routing: RoutingHandle,
    pub(crate) peers: PeerDirectory,
    pub(crate) tombstones: TombstoneHandle,
    pub(crate) boards: BoardHandle,
    pub(crate) ids: Arc<RandomIds>,
    pub(crate) shared_secret: String,
    pub(crate) metrics: Arc<HostMetrics>,
    pub(crate) clock: Arc<dyn ClockSource>,
    /// When the host started.
    pub(crate) started_at: Instant,
}

impl OperatorPort for AdminService {
    fn admin(&self, request: AdminRequest) -> BoxFuture<'_, AdminAnswer> {
        self.route(request).boxed()
    }

    fn metrics(&self) -> String {
        self.metrics.render()
    }
}

impl AdminService {
    async fn route(&self, request: AdminRequest) -> AdminAnswer {
        let path = request.path.clone();
        match (&request.method, path.as_str()) {
            (&Method::GET, "fleet") => Ok(self.get_fleet()),
            (&Method::PUT, "fleet") => self.put_fleet(&request.body).await,
            (&Method::GET, "keys") => Ok(self.list_keys()),
            (&Method::POST, "keys") => self.grant_key(&request.body).await,
            (&Method::GET, "board") => Ok(json_answer(200, &self.boards.board())),
            (&Method::GET, "members") => Ok(self.members()),
            (&Method::GET, "seats") => Ok(self.list_seats()),
            (&Method::POST, "seats") => self.change_seats(&request.body).await,
            (&Method::GET, "zones") => Ok(self.list_zones().await),
            (&Method::GET, "servers") => Ok(self.list_servers().await),
            (&Method::DELETE, path) => match path.strip_prefix("keys/") {
                Some(id) => self.withdraw_key(id).await,
                None => Err(unknown_path(&request.method, path)),
            },
            (&Method::PUT, path) => match path.strip_prefix("zones/") {
                Some(zone) => self.set_zone_drain(zone, &request).await,
                None => Err(unknown_path(&request.method, path)),
            },
            (method, path) => Err(unknown_path(method, path)),
        }
    }
}

fn unknown_path(method: &Method, path: &str) -> RequestRefusal {
    let detail = format!("the administration API has no {method} {path}");
    RequestRefusal::not_run(RefusalReason::UnknownRoute, detail)
}

fn parse_body<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, RequestRefusal> {
    serde_json::from_slice(body).map_err(|error| {
        let detail = format!("the body is malformed: {error}");
        RequestRefusal::not_run(RefusalReason::BadRequest, detail)
    })
}
