//! Options that give the addresses of hosts and the credential to present.

use crate::client::ApiClient;
use crate::error::CommandError;
use bpaf::Bpaf;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

/// The operators' port of the first example host.
const OPERATORS_DEFAULT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 7103);

/// The callers' port of the first example host.
const CALLERS_DEFAULT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 7101);

/// Addresses of operators' ports and the operators' token.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(operator_access), ignore_rustdoc)]
pub struct OperatorAccess {
    /// Operators' ports, separated by commas and tried in order; default 127.0.0.1:7103
    #[bpaf(
        long("operators"),
        env("CHICORYLADDER_OPERATORS"),
        argument::<String>("ADDRESS"),
        parse(parse_addresses),
        fallback(vec![OPERATORS_DEFAULT])
    )]
    pub operators: Vec<SocketAddr>,
    /// File that contains the operators' token
    #[bpaf(
        long("token-file"),
        env("CHICORYLADDER_TOKEN_FILE"),
        argument("FILE"),
        fallback(PathBuf::from("operator-token.txt"))
    )]
    pub token_file: PathBuf,
}

impl OperatorAccess {
    /// Creates a client of the operators' port.
    ///
    /// # Errors
    ///
    /// Fails if the token file cannot be read.
    pub fn client(&self) -> Result<ApiClient, CommandError> {
        Ok(ApiClient {
            addresses: self.operators.clone(),
            credential: read_credential(&self.token_file)?,
            remedy: "check --operators and that the hosts are running".to_owned(),
        })
    }
}

/// Addresses of the operators' ports of control hosts, which need no token.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(control_access), ignore_rustdoc)]
pub struct ControlAccess {
    /// Operators' ports of control or store hosts, separated by commas and tried in order; default 127.0.0.1:7103
    #[bpaf(
        long("operators"),
        env("CHICORYLADDER_OPERATORS"),
        argument::<String>("ADDRESS"),
        parse(parse_addresses),
        fallback(vec![OPERATORS_DEFAULT])
    )]
    pub operators: Vec<SocketAddr>,
}

impl ControlAccess {
    /// Creates a client of the operators' port that presents the key of a caller, if a file
    /// with one is given.
    ///
    /// # Errors
    ///
    /// Fails if the key file cannot be read.
    pub fn client(&self, key_file: Option<&Path>) -> Result<ApiClient, CommandError> {
        let credential = key_file.map(read_credential).transpose()?;
        Ok(ApiClient {
            addresses: self.operators.clone(),
            credential: credential.unwrap_or_default(),
            remedy: "check --operators and that the hosts are running".to_owned(),
        })
    }
}

/// Addresses of callers' ports and the caller's key.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(caller_access), ignore_rustdoc)]
pub struct CallerAccess {
    /// Callers' ports, separated by commas and tried in order; default 127.0.0.1:7101
    #[bpaf(
        long("callers"),
        env("CHICORYLADDER_CALLERS"),
        argument::<String>("ADDRESS"),
        parse(parse_addresses),
        fallback(vec![CALLERS_DEFAULT])
    )]
    pub callers: Vec<SocketAddr>,
    /// File that contains the caller's key
    #[bpaf(
        long("key-file"),
        env("CHICORYLADDER_KEY_FILE"),
        argument("FILE"),
        fallback(PathBuf::from("caller-key.txt"))
    )]
    pub key_file: PathBuf,
}

impl CallerAccess {
    /// Creates a client of the callers' port.
    ///
    /// # Errors
    ///
    /// Fails if the key file cannot be read.
    pub fn client(&self) -> Result<ApiClient, CommandError> {
        Ok(ApiClient {
            addresses: self.callers.clone(),
            credential: read_credential(&self.key_file)?,
            remedy: "check --callers and that the hosts are running".to_owned(),
        })
    }
}

#[allow(clippy::needless_pass_by_value, reason = "bpaf passes a value")]
fn parse_addresses(text: String) -> Result<Vec<SocketAddr>, String> {
    let parse = |part: &str| {
        let part = part.trim();
        part.parse()
            .map_err(|_| format!("`{part}` is not an IP address with a port"))
    };
    text.split(',').map(parse).collect()
}

/// Reads a credential file and trims surrounding white space.
///
/// # Errors
///
/// Fails if the file cannot be read.
pub fn read_credential(path: &Path) -> Result<String, CommandError> {
    Ok(read_text(path)?.trim().to_owned())
}

/// Reads a text file.
///
/// # Errors
///
/// Fails if the file cannot be read.
pub fn read_text(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|cause| CommandError::File {
        path: path.to_owned(),
        cause,
    })
}
