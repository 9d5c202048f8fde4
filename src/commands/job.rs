//! `chicoryladder job`.

pub mod submit;
mod view;
mod watch;

use crate::access::{CallerAccess, caller_access};
use crate::client::{ApiClient, ApiRequest};
use crate::error::CommandError;
use crate::output::{OutputOptions, output_options};
use bpaf::Bpaf;
use hyper::Method;
use std::path::{Path, PathBuf};
use view::JobView;

/// The subcommands of `job`.
#[derive(Clone, Debug, Bpaf)]
#[allow(missing_docs, reason = "bpaf shows them as headings")]
#[bpaf(generate(job_options), ignore_rustdoc)]
pub enum JobOptions {
    /// Submit a job from a file with one JSON object per line
    #[bpaf(command("submit"))]
    Submit(#[bpaf(external(submit::submit_options))] submit::SubmitOptions),
    /// Wait until a job ends
    #[bpaf(command("watch"))]
    Watch {
        #[bpaf(external(caller_access))]
        access: CallerAccess,
        #[bpaf(external(output_options))]
        output: OutputOptions,
        /// Id of the job
        #[bpaf(positional("JOB"))]
        job: String,
    },
    /// Print the results that a job has so far, one JSON object per line
    #[bpaf(command("results"))]
    Results {
        #[bpaf(external(caller_access))]
        access: CallerAccess,
        /// Write the results to a file instead of standard output
        #[bpaf(long("file"), argument("FILE"))]
        file: Option<PathBuf>,
        /// Id of the job
        #[bpaf(positional("JOB"))]
        job: String,
    },
    /// Cancel a job; none of its remaining items starts
    #[bpaf(command("cancel"))]
    Cancel {
        #[bpaf(external(caller_access))]
        access: CallerAccess,
        #[bpaf(external(output_options))]
        output: OutputOptions,
        /// Id of the job
        #[bpaf(positional("JOB"))]
        job: String,
    },
}

impl JobOptions {
    pub(super) async fn run(self) -> Result<(), CommandError> {
        match self {
            Self::Submit(options) => options.run().await,
            Self::Watch {
                access,
                output,
                job,
            } => watch::watch(&access.client()?, output, &job).await,
            Self::Results { access, file, job } => {
                write_results(&access.client()?, &job, file.as_deref()).await
            }
            Self::Cancel {
                access,
                output,
                job,
            } => cancel(&access.client()?, output, &job).await,
        }
    }
}

async fn cancel(client: &ApiClient, output: OutputOptions, job: &str) -> Result<(), CommandError> {
    let path = format!("/v1/batches/{job}/cancel");
    let request = ApiRequest::new(Method::POST, &path);
    let view: JobView = client.call(&request).await?;
    output.print(&view, JobView::describe)
}

async fn write_results(
    client: &ApiClient,
    job: &str,
    file: Option<&Path>,
) -> Result<(), CommandError> {
    let path = format!("/v1/batches/{job}/results");
    let request = ApiRequest::new(Method::GET, &path);
    let answer = client.send(&request).await?.checked()?;
    let Some(file) = file else {
        print!("{}", String::from_utf8_lossy(&answer.body));
        return Ok(());
    };
    std::fs::write(file, &answer.body).map_err(|cause| CommandError::File {
        path: file.to_owned(),
        cause,
    })
}
