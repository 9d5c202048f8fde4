//! The `keys` resource of the administration API: callers' keys.

use super::fleet::refused;
use super::{AdminService, parse_body};
use crate::replica::ProposeError;
use chicoryladder_gateway::{AdminAnswer, AnswerBody, json_answer};
use chicoryladder_state::{
    FleetCommand, FleetOutcome, FleetView, GrantKey, KeyGrant, KeyId, KeySalt, PropagationGoal,
};
use chicoryladder_types::admin::{
    GrantAnswer, GrantRequest, KeyEntry, KeysAnswer, PropagationReport, WithdrawAnswer,
};
use chicoryladder_types::prelude::*;
use hyper::Response;

impl AdminService {
    pub(super) fn list_keys(&self) -> Response<AnswerBody> {
        let view = self.replica.view();
        let keys = view.keys().map(|(id, record)| KeyEntry {
            key_id: id.to_string(),
            team: record.team.clone(),
            withdrawn: view.is_withdrawn(id),
        });
        let keys = keys.collect();
        json_answer(200, &KeysAnswer { keys })
    }

    /// Grants a key. Its secret is derived from the secret that all hosts share, so
    /// a retry of the operation returns the same key although only the key's hash is
    /// stored.
    pub(super) async fn grant_key(&self, body: &[u8]) -> AdminAnswer {
        let request: GrantRequest = parse_body(body)?;
        let key_id = KeyId::new(self.random_key_bits());
        let salt = self.random_salt();
        let new_grant = self.derive(&request.team, key_id, salt);
        let command = FleetCommand::GrantKey(GrantKey {
            team: request.team,
            key_id,
            salt,
            secret_hash: new_grant.secret_hash(),
            operation_id: self.operation_id(request.operation_id)?,
        });
        let outcome = self.replica.propose_fleet(command).await;
        match outcome.map_err(ProposeError::refusal)? {
            FleetOutcome::Granted { team, key_id, salt } => {
                let granted = self.derive(&team, key_id, salt);
                let answer = GrantAnswer {
                    key_id: key_id.to_string(),
                    key: granted.key_text(),
                    propagation: self.wait_until_applied().await,
                };
                Ok(json_answer(200, &answer))
            }
            outcome => Err(refused(&outcome)),
        }
    }

    /// Withdraws a key on this host at once, then on all hosts.
    ///
    /// That needs no quorum: a withdrawal is a tombstone that hosts propagate, and
    /// that is committed as soon as the voters can be reached.
    pub(super) async fn withdraw_key(&self, id: &str) -> AdminAnswer {
        let key_id = KeyId::try_from(id).map_err(|error| {
            RequestRefusal::not_run(RefusalReason::BadRequest, error.to_string())
        })?;
        let known = self.replica.view().team_of(key_id).is_some();
        self.tombstones.withdraw(key_id).await?;
        log::info!("admin: withdrew key {key_id}.");
        let propagation = self
            .wait_for_propagation(|view| withdrawal_goal(view, key_id))
            .await;
        let view = self.replica.view();
        let logged = view.is_withdrawal_logged(key_id);
        let answer = WithdrawAnswer {
            key_id: key_id.to_string(),
            known,
            logged,
            stops_within_ms: self.stops_within_ms(&view, key_id, &propagation),
            propagation,
        };
        Ok(json_answer(200, &answer))
    }

    /// The time within which hosts that have not replied stop accepting the key: the
    /// lease of their view of the keys, which none of them can renew without applying
    /// a committed withdrawal. `None` while the withdrawal is not committed, and for a
    /// team whose `serve_through_cut` setting lets partitioned hosts keep serving.
    fn stops_within_ms(
        &self,
        view: &FleetView,
        key_id: KeyId,
        propagation: &PropagationReport,
    ) -> Option<u64> {
        if propagation.in_force {
            return Some(0);
        }
        let terms = view
            .team_of(key_id)
            .map(|team| view.document.teams.get(team));
        let serves_partitioned = terms.flatten().is_some_and(|terms| terms.serve_through_cut);
        if serves_partitioned || !view.is_withdrawal_logged(key_id) {
            return None;
        }
        u64::try_from(self.replica.lease().as_millis()).ok()
    }

    fn derive(&self, team: &TeamName, key_id: KeyId, salt: KeySalt) -> KeyGrant {
        KeyGrant::derive(self.shared_secret.as_bytes(), team, key_id, salt)
    }

    fn random_key_bits(&self) -> u64 {
        let mut bytes = [0; 8];
        self.ids.fill(&mut bytes);
        u64::from_le_bytes(bytes)
    }

    fn random_salt(&self) -> KeySalt {
        let mut bytes = [0; 16];
        self.ids.fill(&mut bytes);
        KeySalt(bytes)
    }
}

fn withdrawal_goal(view: &FleetView, key_id: KeyId) -> PropagationGoal {
    if view.is_withdrawal_logged(key_id) {
        PropagationGoal::Applied(view.applied)
    } else {
        PropagationGoal::Withdrawn(key_id)
    }
}
