//! The strict check sees a breach when one mechanism is switched off.

use crate::bound::worst_excess;
use crate::fleet::{host, team};
use chicoryladder_policy::limits::{
    KeeperAction, KeeperEpoch, KeeperTimes, RateLimit, StockGrant, StockHolder, StockSession,
    TokenKeeper, TokenPool, TokenStock,
};
use std::time::{Duration, Instant};

const BURST: u64 = 10;

fn limit() -> RateLimit {
    RateLimit::new(100_000, BURST).expect("valid")
}

fn keeper(epoch: u64, since: Instant) -> TokenKeeper {
    let times = KeeperTimes::default();
    let epoch = KeeperEpoch(epoch);
    TokenKeeper::new(team(), TokenPool::Fleet, epoch, limit(), times, since)
}

fn stock(index: usize) -> TokenStock {
    let holder = StockHolder::Admission(host(index));
    TokenStock::new(team(), TokenPool::Fleet, holder, StockSession(1), 1)
}

/// Asks for the whole burst; the grant's life is multiplied by `stretch`.
fn fill(stock: &mut TokenStock, keeper: &mut TokenKeeper, stretch: u32, now: Instant) {
    let request = stock.request(BURST, 0, now).expect("first request");
    for action in keeper.handle_request(&request, now) {
        if let KeeperAction::Grant(grant) = action {
            let stock_ttl = grant.stock_ttl * stretch;
            stock.handle_grant(&StockGrant { stock_ttl, ..grant }, now);
        }
    }
}

/// Both hosts spend all they have at one instant, as far as it goes.
fn spend_all(stocks: &mut [TokenStock], now: Instant) -> Vec<Duration> {
    let spent: u64 = stocks.iter_mut().map(|stock| stock.take(BURST, now)).sum();
    vec![Duration::from_secs(60); usize::try_from(spent).expect("few")]
}

/// A keeper is replaced while a stock is out. The successor counts its
/// authority from `head_start` before the change.
fn replaced_keeper(head_start: Duration) -> i128 {
    let start = Instant::now() + Duration::from_secs(60);
    let mut stocks = [stock(0), stock(1)];
    fill(
        &mut stocks[0],
        &mut keeper(1, start),
        1,
        start + Duration::from_secs(1),
    );
    let change = start + Duration::from_secs(1);
    let mut successor = keeper(2, change.checked_sub(head_start).expect("late start"));
    fill(
        &mut stocks[1],
        &mut successor,
        1,
        change + Duration::from_millis(200),
    );
    let spent = spend_all(&mut stocks, change + Duration::from_millis(201));
    worst_excess(limit(), &spent)
}

#[test]
fn successor_waits_out_the_stocks_of_the_epoch_before() {
    assert!(replaced_keeper(Duration::ZERO) <= 0);
    assert!(replaced_keeper(KeeperTimes::default().forget_after()) > 0);
}

/// A host goes silent with a full stock, and another asks when the keeper has
/// forgotten the first.
fn silent_holder(stretch: u32) -> i128 {
    let start = Instant::now();
    let now = start + Duration::from_secs(1);
    let mut keeper = keeper(1, start);
    let mut stocks = [stock(0), stock(1)];
    fill(&mut stocks[0], &mut keeper, stretch, now);
    keeper.poll(now + Duration::from_millis(430));
    fill(
        &mut stocks[1],
        &mut keeper,
        1,
        now + Duration::from_millis(600),
    );
    let spent = spend_all(&mut stocks, now + Duration::from_millis(601));
    worst_excess(limit(), &spent)
}

#[test]
fn stock_ends_at_its_holder_first() {
    assert!(silent_holder(1) <= 0);
    assert!(silent_holder(3) > 0);
}
