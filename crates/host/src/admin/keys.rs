//! Callers' keys in the administration API.

use super::answers::{GrantKeyAnswer, GrantKeyBody, KeyAnswer, WithdrawKeyAnswer};
use super::fleet::refused;
use super::{AdminService, parse_body};
use crate::replica::ProposeError;
use chicoryladder_gateway::{AdminAnswer, AnswerBody, json_answer};
use chicoryladder_state::{
    FleetCommand, FleetOutcome, GrantKey, KeyGrant, KeyId, KeySalt, KeyState, WithdrawKey,
};
use chicoryladder_types::prelude::*;
use hyper::Response;

impl AdminService {
    pub(super) fn list_keys(&self) -> Response<AnswerBody> {
        let view = self.replica.view();
        let keys = view.keys().map(|(id, record)| KeyAnswer {
            key_id: id.to_string(),
            team: record.team.clone(),
            withdrawn: record.state == KeyState::Withdrawn || view.is_withdrawn(id),
        });
        json_answer(200, &keys.collect::<Vec<_>>())
    }

    /// Grants a key. Its secret follows from the secret that all hosts share,
    /// so a resend of the operation shows the same key again although only its
    /// hash is stored.
    pub(super) async fn grant_key(&self, body: &[u8]) -> AdminAnswer {
        let body: GrantKeyBody = parse_body(body)?;
        let key_id = KeyId::new(self.random_key_bits());
        let salt = self.random_salt();
        let drawn = self.derive(&body.team, key_id, salt);
        let command = FleetCommand::GrantKey(GrantKey {
            team: body.team.clone(),
            key_id,
            salt,
            secret_hash: drawn.secret_hash(),
            operation_id: self.operation_id(body.operation_id)?,
        });
        let outcome = self.replica.propose_fleet(command).await;
        match outcome.map_err(ProposeError::refusal)? {
            FleetOutcome::Granted { team, key_id, salt } => {
                let granted = self.derive(&team, key_id, salt);
                let answer = GrantKeyAnswer {
                    key_id: key_id.to_string(),
                    key: granted.key_text(),
                };
                Ok(json_answer(200, &answer))
            }
            outcome => Err(refused(&outcome)),
        }
    }

    pub(super) async fn withdraw_key(&self, id: &str) -> AdminAnswer {
        let key_id = KeyId::try_from(id).map_err(|error| {
            RequestRefusal::not_run(RefusalReason::BadRequest, error.to_string())
        })?;
        let command = FleetCommand::WithdrawKey(WithdrawKey { key_id });
        let outcome = self.replica.propose_fleet(command).await;
        match outcome.map_err(ProposeError::refusal)? {
            FleetOutcome::Withdrawn { key_id, known } => {
                let answer = WithdrawKeyAnswer {
                    key_id: key_id.to_string(),
                    known,
                };
                Ok(json_answer(200, &answer))
            }
            outcome => Err(refused(&outcome)),
        }
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
