//! `chicoryladder seats`.

use crate::access::{OperatorAccess, operator_access};
use crate::client::ApiRequest;
use crate::error::CommandError;
use crate::output::{OutputOptions, output_options, table};
use bpaf::Bpaf;
use chicoryladder_types::SeatId;
use chicoryladder_types::admin::{SeatChangeAnswer, SeatChangeRequest, SeatEntry, SeatsAnswer};
use hyper::Method;
use std::net::SocketAddr;

/// The subcommands of `seats`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(seats_options), ignore_rustdoc)]
pub enum SeatsOptions {
    /// List the seats and the leader
    #[bpaf(command("list"))]
    List(#[bpaf(external(list_seats_options))] ListSeatsOptions),
    /// Add a learner: a seat that receives the log but does not vote
    #[bpaf(command("add"))]
    Add(#[bpaf(external(add_seat_options))] AddSeatOptions),
    /// Promote a learner that has caught up to a voter
    #[bpaf(command("promote"))]
    Promote(#[bpaf(external(one_seat_options))] OneSeatOptions),
    /// Remove a seat permanently
    #[bpaf(command("remove"))]
    Remove(#[bpaf(external(one_seat_options))] OneSeatOptions),
}

/// The options of `seats list`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(list_seats_options), ignore_rustdoc)]
pub struct ListSeatsOptions {
    #[bpaf(external(operator_access))]
    access: OperatorAccess,
    #[bpaf(external(output_options))]
    output: OutputOptions,
}

/// The options of `seats add`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(add_seat_options), ignore_rustdoc)]
pub struct AddSeatOptions {
    #[bpaf(external(operator_access))]
    access: OperatorAccess,
    /// Number of the new seat, higher than that of every earlier seat
    #[bpaf(positional("SEAT"))]
    seat: u64,
    /// Peer address of the host that holds the seat
    #[bpaf(positional("IP:PORT"))]
    address: SocketAddr,
}

/// The options of `seats promote` and `seats remove`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(one_seat_options), ignore_rustdoc)]
pub struct OneSeatOptions {
    #[bpaf(external(operator_access))]
    access: OperatorAccess,
    /// Number of the seat
    #[bpaf(positional("SEAT"))]
    seat: u64,
}

impl SeatsOptions {
    pub(super) async fn run(self) -> Result<(), CommandError> {
        match self {
            Self::List(options) => options.run().await,
            Self::Add(options) => {
                let seat = SeatId(options.seat);
                let address = options.address;
                change(&options.access, SeatChangeRequest::Add { seat, address }).await
            }
            Self::Promote(options) => {
                let seat = SeatId(options.seat);
                change(&options.access, SeatChangeRequest::Promote { seat }).await
            }
            Self::Remove(options) => {
                let seat = SeatId(options.seat);
                change(&options.access, SeatChangeRequest::Remove { seat }).await
            }
        }
    }
}

impl ListSeatsOptions {
    async fn run(&self) -> Result<(), CommandError> {
        let client = self.access.client()?;
        let request = ApiRequest::new(Method::GET, "/admin/v1/seats");
        let answer: SeatsAnswer = client.call(&request).await?;
        self.output.print(&answer, describe)
    }
}

async fn change(access: &OperatorAccess, change: SeatChangeRequest) -> Result<(), CommandError> {
    let client = access.client()?;
    let request = ApiRequest::new(Method::POST, "/admin/v1/seats").with_json(&change)?;
    let _: SeatChangeAnswer = client.call(&request).await?;
    println!("the seat change is committed");
    Ok(())
}

fn describe(answer: &SeatsAnswer) -> String {
    let Some(seats) = &answer.seats else {
        return "this host has no disk; query a host that holds a seat".to_owned();
    };
    let row = |entry: &SeatEntry| {
        let role = match (entry.voter, answer.leader == Some(entry.address)) {
            (true, true) => "leader",
            (true, false) => "voter",
            (false, _) => "learner",
        };
        vec![
            entry.seat.to_string(),
            entry.address.to_string(),
            role.to_owned(),
        ]
    };
    let rows: Vec<Vec<String>> = seats.iter().map(row).collect();
    table(&["SEAT", "ADDRESS", "ROLE"], &rows)
}
