//! Operator requests to a local fleet, which wait until they have taken effect.

use super::{LocalFleet, failed};
use crate::client::{ApiClient, ApiRequest};
use crate::error::CommandError;
use chicoryladder_types::admin::{ApplyRequest, GrantRequest};
use chicoryladder_types::{FleetRevision, OperationId, TeamName};
use hyper::Method;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// How long to wait for hosts to accept a request or to reach a state.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// The HTTP status of a temporary refusal, which ends once a quorum of voters can
/// be reached.
const UNAVAILABLE: u16 = 503;

/// The interval at which hosts are polled and refused requests are resent.
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// A key that was granted to a team.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct GrantedKey {
    /// The id of the key.
    pub key_id: String,
    /// The key.
    pub key: String,
}

/// Refusals and retries by reason, summed over the hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReasonCounts {
    /// Refusals by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Retries by reason.
    pub retries: BTreeMap<String, u64>,
}

impl LocalFleet {
    /// Applies the first fleet document and waits until it is in force on every
    /// host.
    pub(super) async fn apply(&self, document: &str) -> Result<(), CommandError> {
        let change = ApplyRequest {
            document: document.to_owned(),
            expected_revision: FleetRevision::default(),
            operation_id: Some(OperationId::try_from("local-fleet-document").map_err(failed)?),
        };
        let request = ApiRequest::new(Method::PUT, "/admin/v1/fleet").with_json(&change)?;
        let _: Value = self.call_until_accepted(&request).await?;
        self.wait_for("the document is in force", |client| async move {
            let request = ApiRequest::new(Method::GET, "/admin/v1/fleet");
            let answer: Value = client.call(&request).await?;
            Ok(answer["revision"].as_u64() >= Some(1))
        })
        .await
    }

    /// Grants a key to a team and waits until every host knows it.
    ///
    /// # Errors
    ///
    /// Fails if the hosts refuse the request or do not respond.
    pub async fn grant(&self, team: &TeamName) -> Result<GrantedKey, CommandError> {
        let operation = format!("local-fleet-grant-{team}");
        let grant = GrantRequest {
            team: team.clone(),
            operation_id: Some(OperationId::try_from(operation).map_err(failed)?),
        };
        let request = ApiRequest::new(Method::POST, "/admin/v1/keys").with_json(&grant)?;
        let granted: GrantedKey = self.call_until_accepted(&request).await?;
        let key_id = granted.key_id.as_str();
        self.wait_for("the key is known", |client| async move {
            let request = ApiRequest::new(Method::GET, "/admin/v1/keys");
            let answer: Value = client.call(&request).await?;
            Ok(answer.to_string().contains(key_id))
        })
        .await?;
        Ok(granted)
    }

    /// Withdraws a key; returns once one host has accepted the withdrawal.
    ///
    /// # Errors
    ///
    /// Fails if the hosts refuse the request or do not respond.
    pub async fn withdraw(&self, key: &GrantedKey) -> Result<(), CommandError> {
        let path = format!("/admin/v1/keys/{}", key.key_id);
        let request = ApiRequest::new(Method::DELETE, &path);
        let _: Value = self.call_until_accepted(&request).await?;
        Ok(())
    }

    /// Sends a request until it is accepted.
    ///
    /// Resending is safe: the request carries an operation id, or withdraws a
    /// key, which is idempotent.
    async fn call_until_accepted<T: DeserializeOwned>(
        &self,
        request: &ApiRequest<'_>,
    ) -> Result<T, CommandError> {
        let accepted = async {
            loop {
                match self.admin.call(request).await {
                    Err(CommandError::Refused { status, .. }) if status == UNAVAILABLE => {
                        sleep(POLL_PERIOD).await;
                    }
                    result => return result,
                }
            }
        };
        let timed_out = |_| failed("the entry hosts did not accept the change in time");
        timeout(READY_TIMEOUT, accepted).await.map_err(timed_out)?
    }

    /// Waits until every host knows every backend server.
    ///
    /// # Errors
    ///
    /// Fails if a host does not know them in time.
    pub async fn wait_for_servers(&self) -> Result<(), CommandError> {
        let expected = self.engines.len() + self.services.len();
        self.wait_for("the backend servers are known", |client| async move {
            let request = ApiRequest::new(Method::GET, "/admin/v1/servers");
            let answer: Value = client.call(&request).await?;
            let servers = answer.get("servers").unwrap_or(&answer);
            Ok(servers
                .as_array()
                .is_some_and(|known| known.len() >= expected))
        })
        .await
    }

    /// Sums the refusal and retry counters of the running hosts.
    ///
    /// # Errors
    ///
    /// Fails if a host does not respond.
    pub async fn reason_counts(&self) -> Result<ReasonCounts, CommandError> {
        let mut counts = ReasonCounts::default();
        for client in self.operator_clients() {
            let request = ApiRequest::new(Method::GET, "/metrics");
            let answer = client.send(&request).await?.checked()?;
            counts.add(&String::from_utf8_lossy(&answer.body));
        }
        Ok(counts)
    }

    pub(super) async fn wait_until_ready(&self) -> Result<(), CommandError> {
        for host in &self.hosts {
            let client = self.client_of(host.addresses.callers);
            let ready = async {
                let request = ApiRequest::new(Method::GET, "/readyz");
                while !matches!(client.send(&request).await, Ok(answer) if answer.status == 200) {
                    sleep(POLL_PERIOD).await;
                }
            };
            let timed_out = |_| failed("an entry host did not become ready in time");
            timeout(READY_TIMEOUT, ready).await.map_err(timed_out)?;
        }
        Ok(())
    }

    /// Waits until `holds` returns true on every running host; `what` describes the
    /// condition in the error.
    async fn wait_for<F, R>(&self, what: &str, holds: F) -> Result<(), CommandError>
    where
        F: Fn(ApiClient) -> R,
        R: Future<Output = Result<bool, CommandError>>,
    {
        for client in self.operator_clients() {
            let waiting = async {
                while !holds(client.clone()).await? {
                    sleep(POLL_PERIOD).await;
                }
                Ok::<(), CommandError>(())
            };
            let timed_out = |_| {
                failed(format!(
                    "timed out on an entry host while waiting until {what}"
                ))
            };
            timeout(READY_TIMEOUT, waiting).await.map_err(timed_out)??;
        }
        Ok(())
    }

    fn operator_clients(&self) -> Vec<ApiClient> {
        let running = self.hosts.iter().filter(|host| host.running.is_some());
        running
            .map(|host| self.client_of(host.addresses.operators))
            .collect()
    }

    fn client_of(&self, address: SocketAddr) -> ApiClient {
        ApiClient {
            addresses: vec![address],
            ..self.admin.clone()
        }
    }
}

impl ReasonCounts {
    /// Adds the counters of a host, given in the Prometheus text format.
    fn add(&mut self, metrics: &str) {
        for line in metrics.lines() {
            let counts = if line.starts_with("refusals") {
                &mut self.refusals
            } else if line.starts_with("retries") {
                &mut self.retries
            } else {
                continue;
            };
            if let Some((reason, count)) = parse_counter(line) {
                *counts.entry(reason.to_owned()).or_default() += count;
            }
        }
        self.refusals.retain(|_, count| *count > 0);
        self.retries.retain(|_, count| *count > 0);
    }
}

/// Parses the `reason` label and the value of a metrics line.
fn parse_counter(line: &str) -> Option<(&str, u64)> {
    let (_, rest) = line.split_once("reason=\"")?;
    let (reason, rest) = rest.split_once('"')?;
    let (_, value) = rest.rsplit_once(' ')?;
    Some((reason, value.parse().ok()?))
}
