//! `chicoryladder members`.

use crate::access::{OperatorAccess, operator_access};
use crate::client::ApiRequest;
use crate::error::CommandError;
use crate::output::{OutputOptions, output_options, table};
use bpaf::Bpaf;
use chicoryladder_types::admin::{MemberEntry, MembersAnswer};
use hyper::Method;

/// The options of `members`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(members_options), ignore_rustdoc)]
pub struct MembersOptions {
    #[bpaf(external(operator_access))]
    access: OperatorAccess,
    #[bpaf(external(output_options))]
    output: OutputOptions,
}

impl MembersOptions {
    pub(super) async fn run(self) -> Result<(), CommandError> {
        let client = self.access.client()?;
        let request = ApiRequest::new(Method::GET, "/admin/v1/members");
        let answer: MembersAnswer = client.call(&request).await?;
        self.output.print(&answer, describe)
    }
}

fn describe(answer: &MembersAnswer) -> String {
    let headings = ["HOST", "ZONE", "ADDRESS", "STATE", "APPLIED", "LAST HEARD"];
    let rows: Vec<Vec<String>> = answer
        .members
        .iter()
        .map(|member| cells(member, answer))
        .collect();
    table(&headings, &rows)
}

fn cells(member: &MemberEntry, answer: &MembersAnswer) -> Vec<String> {
    let mut state = if member.alive { "alive" } else { "not heard" }.to_owned();
    if answer.leader.as_ref() == Some(&member.host) {
        state.push_str(", leader");
    }
    let heard = match member.last_heard_ms {
        _ if member.host == answer.answering => "(this host)".to_owned(),
        Some(millis) => format!("{millis} ms ago"),
        None => "never".to_owned(),
    };
    vec![
        member.host.to_string(),
        member.zone.to_string(),
        member.address.to_string(),
        state,
        member.applied.to_string(),
        heard,
    ]
}
