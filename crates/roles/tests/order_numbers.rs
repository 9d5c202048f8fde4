//! Orders of operators that arrive late or are repeated.

use chicoryladder_roles::{OrderNumbers, OrderSubject};
use chicoryladder_types::TermNumber;
use chicoryladder_types::prelude::*;

fn zone(name: &str) -> OrderSubject {
    OrderSubject::Zone(ZoneName::try_from(name).expect("it is valid"))
}

/// An order that was held up took effect after a later one on the same zone.
#[test]
fn a_number_ends_with_any_decision_on_its_subject() {
    let mut orders = OrderNumbers::new(TermNumber(3));
    let held_up = orders.number(&zone("a"));
    let later = orders.number(&zone("a"));
    assert!(orders.take(&zone("a"), later));
    assert!(!orders.take(&zone("a"), held_up));
    assert!(!orders.take(&zone("a"), later), "a copy of the later one");
    let next = orders.number(&zone("a"));
    // A host of an earlier build sends its orders without numbers.
    orders.advance(&zone("a"));
    assert!(!orders.take(&zone("a"), next));
    let last = orders.number(&zone("a"));
    assert!(orders.take(&zone("a"), last));
}

/// An order that was held up took effect at the leader of another term.
#[test]
fn a_number_ends_with_its_leadership() {
    let mut before = OrderNumbers::new(TermNumber(3));
    let number = before.number(&zone("a"));
    let mut after = OrderNumbers::new(TermNumber(4));
    assert!(!after.take(&zone("a"), number));
}

/// Guards against orders on zones that make each other stale for good.
#[test]
fn orders_on_many_zones_are_all_decided() {
    let mut orders = OrderNumbers::new(TermNumber(3));
    let zones: Vec<OrderSubject> = (0..200).map(|n| zone(&format!("zone-{n}"))).collect();
    let mut waiting: Vec<_> = zones
        .iter()
        .map(|zone| (zone, orders.number(zone)))
        .collect();
    let mut rounds = 0;
    while !waiting.is_empty() {
        waiting.retain(|(zone, number)| !orders.take(zone, *number));
        for (zone, number) in &mut waiting {
            *number = orders.number(zone);
        }
        rounds += 1;
        assert!(rounds <= 20, "{} orders are left", waiting.len());
    }
}
