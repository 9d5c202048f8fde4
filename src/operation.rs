//! Operation ids of the command line.

use crate::error::CommandError;
use chicoryladder_types::OperationId;

/// Returns the id given on the command line, or a new random one.
pub(crate) fn chosen_or_random(chosen: Option<&OperationId>) -> Result<OperationId, CommandError> {
    match chosen {
        Some(id) => Ok(id.clone()),
        None => random_id(),
    }
}

fn random_id() -> Result<OperationId, CommandError> {
    let failed = |error: &dyn std::fmt::Display| CommandError::failed(error.to_string());
    let mut bytes = [0; 16];
    getrandom::fill(&mut bytes).map_err(|error| failed(&error))?;
    let text = format!("op-{:032x}", u128::from_le_bytes(bytes));
    OperationId::try_from(text).map_err(|error| failed(&error))
}

/// Parses an operation id of the command line.
pub(crate) fn parse_id(text: String) -> Result<OperationId, String> {
    OperationId::try_from(text).map_err(|error| error.to_string())
}
