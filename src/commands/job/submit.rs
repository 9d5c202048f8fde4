//! `chicoryladder job submit`.

use super::view::JobView;
use super::watch::watch;
use crate::access::{CallerAccess, caller_access};
use crate::client::{ApiClient, ApiRequest};
use crate::error::CommandError;
use crate::operation::{chosen_or_random, parse_id};
use crate::output::{OutputOptions, output_options};
use bpaf::Bpaf;
use chicoryladder_types::{OperationId, headers};
use hyper::Method;
use hyper::body::Bytes;
use std::path::PathBuf;

/// The options of `job submit`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(submit_options), ignore_rustdoc)]
pub struct SubmitOptions {
    #[bpaf(external(caller_access))]
    access: CallerAccess,
    #[bpaf(external(output_options))]
    output: OutputOptions,
    /// Class of the job; default: the first batch class of the fleet document
    #[bpaf(long("class"), argument("CLASS"))]
    class: Option<String>,
    /// Key that identifies the submission; repeat it to resend safely after a lost response
    #[bpaf(long("idempotency-key"), argument::<String>("KEY"), parse(parse_id), optional)]
    idempotency_key: Option<OperationId>,
    /// Wait until the job ends
    #[bpaf(long("watch"))]
    watch: bool,
    /// File with the items
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

impl SubmitOptions {
    pub(super) async fn run(self) -> Result<(), CommandError> {
        let client = self.access.client()?;
        let view = self.submit(&client).await?;
        if self.watch {
            if self.output.is_text() {
                println!("{}", view.describe());
            }
            return watch(&client, self.output, &view.id).await;
        }
        self.output.print(&view, JobView::describe)
    }

    async fn submit(&self, client: &ApiClient) -> Result<JobView, CommandError> {
        let items = std::fs::read(&self.file).map_err(|cause| CommandError::File {
            path: self.file.clone(),
            cause,
        })?;
        let key = chosen_or_random(self.idempotency_key.as_ref())?;
        let mut request = ApiRequest::new(Method::POST, "/v1/batches");
        request.body = Bytes::from(items);
        let fields = &mut request.fields;
        fields.push(("content-type", "application/jsonl".to_owned()));
        fields.push((headers::IDEMPOTENCY_KEY, key.to_string()));
        if let Some(class) = &self.class {
            fields.push((headers::CLASS, class.clone()));
        }
        match client.call(&request).await {
            Err(CommandError::Unreachable { detail, .. }) => {
                let remedy = format!("submit it again with --idempotency-key {key}");
                Err(CommandError::Unreachable { detail, remedy })
            }
            other => other,
        }
    }
}
