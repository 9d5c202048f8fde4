//! Streaming of job results.
//!
//! The response is read page by page as the caller consumes it, so the host's memory
//! use does not depend on its size. An error in mid-response aborts the connection,
//! so that results are never truncated silently.

use crate::replica::{ReplicaHandle, ResultQuery};
use bytes::Bytes;
use chicoryladder_gateway::{AnswerBody, BodyError};
use chicoryladder_jobs::ResultPage;
use chicoryladder_types::JobId;
use chicoryladder_types::prelude::*;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

/// The number of results read at a time.
const PAGE_ITEMS: u32 = 256;

/// Reads the results of one job.
pub(super) struct ResultReader {
    pub(super) replica: ReplicaHandle,
    pub(super) team: TeamName,
    pub(super) job: JobId,
}

/// The remaining pages of a response.
struct ResultPages {
    reader: ResultReader,
    ready: Option<ResultPage>,
    next: u32,
}

impl ResultReader {
    /// The results so far, one JSON object per line.
    ///
    /// # Errors
    ///
    /// Refuses if the job is unknown or its first results cannot be read.
    pub(super) async fn into_body(self) -> Result<AnswerBody, RequestRefusal> {
        let first = self.read_page(0).await?;
        let pages = ResultPages {
            reader: self,
            next: first.next,
            ready: Some(first),
        };
        let frames = stream::try_unfold(pages, ResultPages::next_frame);
        Ok(StreamBody::new(frames).boxed_unsync())
    }

    async fn read_page(&self, from: u32) -> Result<ResultPage, RequestRefusal> {
        let query = ResultQuery {
            team: self.team.clone(),
            job: self.job,
            from,
            limit: PAGE_ITEMS,
        };
        let page = self.replica.job_results(query).await;
        page.ok_or_else(super::unknown_job)?.map_err(unreadable)
    }
}

impl ResultPages {
    async fn next_frame(mut self) -> Result<Option<(Frame<Bytes>, Self)>, BodyError> {
        let page = match self.ready.take() {
            Some(page) => page,
            None => self.reader.read_page(self.next).await?,
        };
        if page.lines.is_empty() {
            return Ok(None);
        }
        self.next = page.next;
        let mut text = String::new();
        for line in &page.lines {
            text.push_str(&line.to_json()?);
            text.push('\n');
        }
        Ok(Some((Frame::data(text.into()), self)))
    }
}

fn unreadable(error: chicoryladder_jobs::MachineError) -> RequestRefusal {
    match error {
        chicoryladder_jobs::MachineError::UnknownJob => super::unknown_job(),
        error => {
            let detail = format!("the results cannot be read: {error}");
            RequestRefusal::not_run(RefusalReason::StorageFailed, detail)
        }
    }
}
