//! The status board: all hosts serve the same board under a number, and the number
//! that a host serves never decreases, also across a change of the leader.

use crate::fixture::{FleetFixture, HttpRequest, chat_body, eventually, send};
use serde_json::{Value, json};
use std::collections::BTreeMap;

const CHAT: &str = "/v1/chat/completions";

async fn board(fleet: &FleetFixture, host: usize) -> Value {
    fleet.admin(host, "GET", "board", &json!(null)).await.json()
}

fn number(board: &Value) -> u64 {
    board["number"].as_u64().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn every_host_serves_the_same_board_per_number_and_numbers_never_decrease() {
    let mut fleet = FleetFixture::with_document(4).await;
    let _engine = fleet.start_engine("engine-1", "zone-a").await;
    let key = fleet.grant_key(0, "curepipe").await;
    for host in 0..4 {
        let request = HttpRequest::post(fleet.ports(host).callers, CHAT, chat_body(4, true));
        let answer = send(request.with_key(&key.text)).await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    let counted = || async {
        let board = board(&fleet, 3).await;
        board["classes"][0]["served"] == 4
    };
    eventually("the requests of all hosts are counted", counted).await;
    let row = board(&fleet, 3).await["classes"][0].clone();
    assert_eq!(row["class"], "chat");
    assert_eq!(row["on_target"], true, "{row}");
    assert!(row["first_token_ms"].as_u64() > Some(0));
    let mut seen: BTreeMap<u64, Value> = BTreeMap::new();
    let mut last = [0; 4];
    let leader = leader(&fleet).await;
    for round in 0..60 {
        if round == 20 {
            fleet.kill_host(leader).await;
        }
        for host in (0..4).filter(|host| round < 20 || *host != leader) {
            let board = board(&fleet, host).await;
            assert!(
                number(&board) >= last[host],
                "the board number of host {host} decreased"
            );
            last[host] = number(&board);
            let first = seen.entry(number(&board)).or_insert(board.clone());
            assert_eq!(*first, board);
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    let before = *last.iter().max().unwrap();
    let other = (leader + 1) % 3;
    let advanced = || async { number(&board(&fleet, other).await) > before };
    eventually("the next leader publishes boards", advanced).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_board_page_holds_no_data_and_the_board_needs_the_operator_token() {
    let fleet = FleetFixture::with_document(1).await;
    let operators = fleet.ports(0).operators;
    let page = send(HttpRequest::get(operators, "/board")).await.unwrap();
    assert_eq!(page.status, 200);
    assert_eq!(page.field("content-type"), Some("text/html; charset=utf-8"));
    assert!(!page.text().contains("receipt"));
    let keyless = send(HttpRequest::get(operators, "/admin/v1/board")).await;
    assert_eq!(keyless.unwrap().status, 401);
    let posted = send(HttpRequest::post(operators, "/board", "")).await;
    assert_eq!(posted.unwrap().status, 405);
}

async fn leader(fleet: &FleetFixture) -> usize {
    let answer = fleet.admin(0, "GET", "members", &json!(null)).await.json();
    let name = answer["leader"].as_str().unwrap().to_owned();
    (0..3).find(|host| name == format!("host-{host}")).unwrap()
}
