//! Waits until a job ends.

use super::view::JobView;
use crate::client::{ApiClient, ApiRequest};
use crate::error::CommandError;
use crate::output::OutputOptions;
use hyper::Method;
use indicatif::{ProgressBar, ProgressStyle};
use std::time::Duration;

/// The polling interval of a watched job.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// Shows the progress of a job until it ends.
pub(super) async fn watch(
    client: &ApiClient,
    output: OutputOptions,
    job: &str,
) -> Result<(), CommandError> {
    let path = format!("/v1/batches/{job}");
    let request = ApiRequest::new(Method::GET, &path);
    let progress = progress_bar(output);
    loop {
        let view: JobView = client.call(&request).await?;
        progress.set_length(view.request_counts.total);
        progress.set_position(view.request_counts.ended());
        if view.has_ended() {
            progress.finish_and_clear();
            output.print(&view, JobView::describe)?;
            return view.require_all_results();
        }
        tokio::time::sleep(WATCH_INTERVAL).await;
    }
}

fn progress_bar(output: OutputOptions) -> ProgressBar {
    if !output.is_text() {
        return ProgressBar::hidden();
    }
    let template = "{wide_bar} {pos}/{len} items, {eta} left";
    let style =
        ProgressStyle::with_template(template).unwrap_or_else(|_| ProgressStyle::default_bar());
    ProgressBar::new(0).with_style(style)
}
