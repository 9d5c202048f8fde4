//! `chicoryladder status`.

use crate::access::{OperatorAccess, operator_access};
use crate::client::{ApiClient, ApiRequest};
use crate::error::CommandError;
use crate::output::{OutputOptions, output_options, table};
use bpaf::Bpaf;
use chicoryladder_types::admin::{ClassRow, FleetBoard};
use hyper::Method;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The interval at which `--watch` fetches the status board.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// The escape sequence that moves the cursor home and clears the screen.
const CLEAR_SCREEN: &str = "\u{1b}[H\u{1b}[2J";

/// The options of `status`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(status_options), ignore_rustdoc)]
pub struct StatusOptions {
    #[bpaf(external(operator_access))]
    access: OperatorAccess,
    #[bpaf(external(output_options))]
    output: OutputOptions,
    /// Refresh the status board until interrupted
    #[bpaf(long("watch"))]
    watch: bool,
}

impl StatusOptions {
    pub(super) async fn run(self) -> Result<(), CommandError> {
        let client = self.access.client()?;
        let mut shown = fetch_board(&client).await?;
        self.show(&shown)?;
        if !self.watch {
            return Ok(());
        }
        loop {
            tokio::time::sleep(WATCH_INTERVAL).await;
            // Keeps the last board when no host responds; its age shows that it is stale.
            if let Ok(board) = fetch_board(&client).await
                && board.number >= shown.number
            {
                shown = board;
            }
            self.show(&shown)?;
        }
    }

    fn show(&self, board: &FleetBoard) -> Result<(), CommandError> {
        if self.watch && self.output.is_text() {
            print!("{CLEAR_SCREEN}");
        }
        self.output
            .print(board, |board| describe(board, SystemTime::now()))
    }
}

async fn fetch_board(client: &ApiClient) -> Result<FleetBoard, CommandError> {
    let request = ApiRequest::new(Method::GET, "/admin/v1/board");
    client.call(&request).await
}

fn describe(board: &FleetBoard, now: SystemTime) -> String {
    if board.number == 0 {
        return "no status board exists yet".to_owned();
    }
    let made_at = UNIX_EPOCH + Duration::from_millis(board.made_at_ms);
    let age = now.duration_since(made_at).unwrap_or_default();
    let headings = [
        "CLASS",
        "ON TARGET",
        "SERVED",
        "REFUSED",
        "FIRST TOKEN",
        "ANSWER",
    ];
    let rows: Vec<Vec<String>> = board.classes.iter().map(cells).collect();
    let missing: Vec<String> = board
        .hosts_missing
        .iter()
        .map(ToString::to_string)
        .collect();
    let mut text = format!(
        "board {}, {} s old, targets of revision {}\n\n{}",
        board.number,
        age.as_secs(),
        board.revision,
        table(&headings, &rows)
    );
    if !missing.is_empty() {
        text.push_str("\n\nnot counted: ");
        text.push_str(&missing.join(", "));
    }
    text
}

fn cells(row: &ClassRow) -> Vec<String> {
    let on_target = match row.on_target {
        Some(true) => "yes",
        Some(false) => "NO",
        None => "-",
    };
    vec![
        row.class.to_string(),
        on_target.to_owned(),
        row.served.to_string(),
        row.refused.to_string(),
        against_target(row.first_token_ms, row.first_token_target_ms),
        against_target(row.answer_ms, row.answer_target_ms),
    ]
}

fn against_target(measured: Option<u64>, target: Option<u64>) -> String {
    let text = |value: Option<u64>| value.map_or("-".to_owned(), |value| value.to_string());
    match (measured, target) {
        (None, None) => "-".to_owned(),
        _ => format!("{} / {} ms", text(measured), text(target)),
    }
}
