//! Operators who drain zones, and what of it must hold: nothing reaches a drained zone, and an
//! acknowledged order is still listed after all processes have lost power.

use super::{Observations, lock};
use crate::client::Call;
use crate::servers::Run;
use crate::world::{ProcessFleet, Role, WAIT_TIMEOUT};
use crate::zone_drains::{drains, restart_all};
use hyper::{Method, StatusCode};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// The time from the acknowledgement of a drain after which nothing reaches the zone, as in the
/// users' rules.
const EVACUATION_TIME: Duration = Duration::from_secs(5);

/// The time that an operator waits for the answer to one order, and until the next one.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);
const ORDER_PAUSE: Duration = Duration::from_millis(50);

/// The time within which an order without an answer may still get into the log: the longest time
/// to acknowledge (`ack-ms`), and a pause of the host that got it.
const LATE_TIME: Duration = Duration::from_secs(7);

/// A time in which a zone is drained, from the acknowledgement until the next order.
#[derive(Clone, Debug)]
struct DrainSpan {
    zone: String,
    begun_at: Instant,
    ended_at: Option<Instant>,
}

/// The drains so far; clones share them.
#[derive(Clone, Default)]
pub(super) struct DrainLog {
    spans: Arc<Mutex<Vec<DrainSpan>>>,
    /// What the last order of each zone was, if it was acknowledged: whether to drain it.
    acknowledged: Arc<Mutex<BTreeMap<String, bool>>>,
}

impl DrainLog {
    fn record_sent(&self, zone: &str) {
        let now = Instant::now();
        lock(&self.acknowledged).remove(zone);
        let mut spans = lock(&self.spans);
        let open = spans.iter_mut().filter(|span| span.zone == zone);
        for span in open.filter(|span| span.ended_at.is_none()) {
            span.ended_at = Some(now);
        }
    }

    fn record_acknowledged(&self, zone: &str, is_drain: bool) {
        lock(&self.acknowledged).insert(zone.to_owned(), is_drain);
        if is_drain {
            lock(&self.spans).push(DrainSpan {
                zone: zone.to_owned(),
                begun_at: Instant::now(),
                ended_at: None,
            });
        }
    }

    /// The number of drains that were acknowledged.
    pub(super) fn count(&self) -> usize {
        lock(&self.spans).len()
    }
}

/// An operator who drains one zone again and again, and withdraws that.
pub(super) struct ZoneOperator {
    zone: String,
    rng: ChaCha8Rng,
    hosts: Vec<SocketAddr>,
    log: DrainLog,
    observations: Observations,
    /// When the last order without an answer was given up.
    unanswered_at: Option<Instant>,
}

impl ZoneOperator {
    pub(super) fn new(
        fleet: &ProcessFleet,
        zone: &str,
        rng: ChaCha8Rng,
        log: &DrainLog,
        observations: &Observations,
    ) -> Self {
        let roles = [Role::Store, Role::Control];
        let names = roles.iter().flat_map(|role| fleet.host_names(*role));
        Self {
            zone: zone.to_owned(),
            rng,
            hosts: names.map(|name| fleet.control_address(&name)).collect(),
            log: log.clone(),
            observations: observations.clone(),
            unanswered_at: None,
        }
    }

    /// Drains the zone at `begin_at`, and then withdraws that and drains it again in turn until
    /// `deadline`: after some time in which the drain is in force, or soon.
    pub(super) async fn run(mut self, begin_at: Instant, deadline: Instant) {
        tokio::time::sleep_until(begin_at.into()).await;
        let mut is_drain = true;
        while Instant::now() < deadline && self.order(is_drain, deadline).await {
            let in_force = self.rng.random_range(6_000..9_000);
            let soon = self.rng.random_range(50..2_500);
            let is_kept = is_drain && self.rng.random_bool(0.7);
            let hold = Duration::from_millis(if is_kept { in_force } else { soon });
            let mut next_at = Instant::now() + hold;
            if let Some(unanswered_at) = self.unanswered_at.take() {
                // Until then, an order without an answer may get into the log after the next one.
                next_at = next_at.max(unanswered_at + LATE_TIME);
            }
            tokio::time::sleep_until(next_at.min(deadline).into()).await;
            is_drain = !is_drain;
        }
    }

    /// Sends an order to hosts in turn until it is acknowledged; returns whether it was.
    async fn order(&mut self, is_drain: bool, deadline: Instant) -> bool {
        let step = if is_drain { "begin" } else { "finish" };
        let path = format!("/drain/{}/{step}", self.zone);
        self.log.record_sent(&self.zone);
        let first = self.rng.random_range(0..self.hosts.len());
        for host in self.hosts.iter().cycle().skip(first) {
            let mut call = Call::new(*host, Method::POST, &path);
            call.timeout = ORDER_TIMEOUT;
            // An order to a process that does not run is never carried out.
            if TcpStream::connect(*host).await.is_ok() {
                match call.send().await.map(|answer| answer.status) {
                    Some(status) if status.is_success() => {
                        self.log.record_acknowledged(&self.zone, is_drain);
                        return true;
                    }
                    None | Some(StatusCode::SERVICE_UNAVAILABLE) => {}
                    Some(status) => {
                        let text = format!("{path} was refused with {status}");
                        self.observations.record_violation(text);
                    }
                }
                self.unanswered_at = Some(Instant::now());
            }
            if Instant::now() > deadline {
                return false;
            }
            tokio::time::sleep(ORDER_PAUSE).await;
        }
        false
    }
}

/// Checks that no request reached a server of a drained zone once the drain was in force. Hosts
/// are never cut off from the control group for that long here, so no host is excused. Returns the
/// number of drains that came into force before they were withdrawn.
pub(super) fn check_drains(
    fleet: &ProcessFleet,
    observations: &Observations,
    log: &DrainLog,
) -> usize {
    let zone_of = |run: &Run| {
        let mut servers = fleet.servers.iter();
        let server = servers.find(|server| server.name == run.server);
        server.map(|server| server.zone.as_str())
    };
    let runs = fleet.runs.all();
    let now = Instant::now();
    let mut in_force = 0;
    for span in lock(&log.spans).iter() {
        let ended_at = span.ended_at.unwrap_or(now);
        in_force += usize::from(ended_at > span.begun_at + EVACUATION_TIME);
        let is_late = |run: &&Run| {
            run.at >= span.begun_at + EVACUATION_TIME
                && run.at < ended_at
                && zone_of(run) == Some(span.zone.as_str())
        };
        for run in runs.iter().filter(is_late) {
            observations.record_violation(format!(
                "{} reached {} {:?} after the drain of {}",
                run.id,
                run.server,
                run.at - span.begun_at,
                span.zone
            ));
        }
    }
    in_force
}

/// Drains another zone, kills and starts all processes right after the acknowledgement, and checks
/// that the drains that are listed then are those of the last orders that were acknowledged.
/// Withdraws all drains afterwards.
pub(super) async fn check_power_loss(
    fleet: &mut ProcessFleet,
    (other_zone, zones): (&str, &[&str]),
    rng: ChaCha8Rng,
    log: &DrainLog,
    observations: &Observations,
) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let mut operator = ZoneOperator::new(fleet, other_zone, rng, log, observations);
    let is_acknowledged = operator.order(true, deadline).await;
    restart_all(fleet);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    if !is_acknowledged {
        observations.record_violation(format!("{other_zone} was not drained in time"));
    }
    let listed = loop {
        let host = &fleet.host_names(Role::Control)[0];
        if let Some(Value::Array(listed)) = drains(fleet, host).await {
            break listed;
        }
        if Instant::now() > deadline {
            let text = "no drains are listed after the loss of power".to_owned();
            observations.record_violation(text);
            break Vec::new();
        }
        tokio::time::sleep(ORDER_PAUSE).await;
    };
    let acknowledged = lock(&log.acknowledged).clone();
    for (zone, is_drained) in acknowledged {
        if listed.iter().any(|drain| drain["zone"] == *zone) != is_drained {
            observations.record_violation(format!(
                "after the loss of power, {zone} should be drained: {is_drained}; listed are \
                 {listed:?}"
            ));
        }
    }
    for zone in zones {
        operator.zone = (*zone).to_owned();
        if !operator.order(false, deadline).await {
            observations.record_violation(format!("the drain of {zone} was not withdrawn"));
        }
    }
}
