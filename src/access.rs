//! Where hosts are and which credential goes with them.

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

/// How to reach the operators' port.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(operator_access), ignore_rustdoc)]
pub struct OperatorAccess {
    /// Operators' ports to try in turn, separated by commas; 127.0.0.1:7103 if absent
    #[bpaf(
        long("operators"),
        env("CHICORYLADDER_OPERATORS"),
        argument::<String>("ADDRESS"),
        parse(parse_addresses),
        fallback(vec![OPERATORS_DEFAULT])
    )]
    pub operators: Vec<SocketAddr>,
    /// The file with the operators' token
    #[bpaf(
        long("token-file"),
        env("CHICORYLADDER_TOKEN_FILE"),
        argument("FILE"),
        fallback(PathBuf::from("operator-token.txt"))
    )]
    pub token_file: PathBuf,
}

impl OperatorAccess {
    /// A client of the operators' port.
    ///
    /// # Errors
    ///
    /// Fails if the token file cannot be read.
    pub fn client(&self) -> Result<ApiClient, CommandError> {
        Ok(ApiClient {
            addresses: self.operators.clone(),
            credential: read_credential(&self.token_file)?,
            remedy: "check --operators and that the hosts run".to_owned(),
        })
    }
}

/// How to reach the callers' port.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(caller_access), ignore_rustdoc)]
pub struct CallerAccess {
    /// Callers' ports to try in turn, separated by commas; 127.0.0.1:7101 if absent
    #[bpaf(
        long("callers"),
        env("CHICORYLADDER_CALLERS"),
        argument::<String>("ADDRESS"),
        parse(parse_addresses),
        fallback(vec![CALLERS_DEFAULT])
    )]
    pub callers: Vec<SocketAddr>,
    /// The file with the caller's key
    #[bpaf(
        long("key-file"),
        env("CHICORYLADDER_KEY_FILE"),
        argument("FILE"),
        fallback(PathBuf::from("caller-key.txt"))
    )]
    pub key_file: PathBuf,
}

impl CallerAccess {
    /// A client of the callers' port.
    ///
    /// # Errors
    ///
    /// Fails if the key file cannot be read.
    pub fn client(&self) -> Result<ApiClient, CommandError> {
        Ok(ApiClient {
            addresses: self.callers.clone(),
            credential: read_credential(&self.key_file)?,
            remedy: "check --callers and that the hosts run".to_owned(),
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

/// Reads a file and cuts the white space around its content.
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
