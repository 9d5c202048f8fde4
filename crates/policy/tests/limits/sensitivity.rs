//! Sensitivity tests: the bound holds with all mechanisms in place, and the check
//! reports a violation if one of them is disabled.

use crate::bound::worst_excess;
use crate::fleet::{host, team};
use chicoryladder_policy::limits::{
    BucketOwner, OwnerAction, OwnerEpoch, QuotaGrant, QuotaHolder, QuotaSession, QuotaTimes,
    RateLimit, TokenPool, TokenQuota,
};
use std::time::{Duration, Instant};

const BURST: u64 = 10;

fn limit() -> RateLimit {
    RateLimit::new(100_000, BURST).expect("valid")
}

fn owner(epoch: u64, since: Instant) -> BucketOwner {
    let times = QuotaTimes::default();
    let epoch = OwnerEpoch(epoch);
    BucketOwner::new(team(), TokenPool::Fleet, epoch, limit(), times, since)
}

fn quota(index: usize) -> TokenQuota {
    let holder = QuotaHolder::Admission(host(index));
    TokenQuota::new(team(), TokenPool::Fleet, holder, QuotaSession(1), 1)
}

/// Requests the whole burst; the lifetime of the grant is multiplied by `ttl_factor`.
fn fill(quota: &mut TokenQuota, owner: &mut BucketOwner, ttl_factor: u32, now: Instant) {
    let request = quota.request(BURST, 0, now).expect("first request");
    for action in owner.handle_request(&request, now) {
        if let OwnerAction::Grant(grant) = action {
            let quota_ttl = grant.quota_ttl * ttl_factor;
            quota.handle_grant(&QuotaGrant { quota_ttl, ..grant }, now);
        }
    }
}

/// Spends all available tokens of both hosts at one instant and returns the times of
/// the admissions.
fn spend_all(quotas: &mut [TokenQuota], now: Instant) -> Vec<Duration> {
    let spent: u64 = quotas.iter_mut().map(|quota| quota.spend(BURST, now)).sum();
    vec![Duration::from_secs(60); usize::try_from(spent).expect("few")]
}

/// Replaces the owner while a quota is outstanding, and returns the worst excess over
/// the bound. The successor assumes that it acquired the bucket earlier than it did, by
/// `head_start`.
fn replaced_owner(head_start: Duration) -> i128 {
    let start = Instant::now() + Duration::from_secs(60);
    let mut quotas = [quota(0), quota(1)];
    fill(
        &mut quotas[0],
        &mut owner(1, start),
        1,
        start + Duration::from_secs(1),
    );
    let change = start + Duration::from_secs(1);
    let mut successor = owner(
        2,
        change
            .checked_sub(head_start)
            .expect("an instant after the start"),
    );
    fill(
        &mut quotas[1],
        &mut successor,
        1,
        change + Duration::from_millis(200),
    );
    let spent = spend_all(&mut quotas, change + Duration::from_millis(201));
    worst_excess(limit(), &spent)
}

#[test]
fn successor_grants_nothing_until_quotas_of_the_previous_epoch_expire() {
    assert!(replaced_owner(Duration::ZERO) <= 0);
    assert!(replaced_owner(QuotaTimes::default().owner_ttl()) > 0);
}

/// A host with a full quota stops sending, and another host requests tokens after the
/// quota has expired at the owner. Returns the worst excess over the bound.
fn silent_holder(ttl_factor: u32) -> i128 {
    let start = Instant::now();
    let now = start + Duration::from_secs(1);
    let mut owner = owner(1, start);
    let mut quotas = [quota(0), quota(1)];
    fill(&mut quotas[0], &mut owner, ttl_factor, now);
    owner.poll(now + Duration::from_millis(430));
    fill(
        &mut quotas[1],
        &mut owner,
        1,
        now + Duration::from_millis(600),
    );
    let spent = spend_all(&mut quotas, now + Duration::from_millis(601));
    worst_excess(limit(), &spent)
}

#[test]
fn quota_expires_at_its_holder_first() {
    assert!(silent_holder(1) <= 0);
    assert!(silent_holder(3) > 0);
}
