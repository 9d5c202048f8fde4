//! Distribution of the tokens of a bucket, and the messages to the holders.

use super::{BucketOwner, OwnerAction};
use crate::limits::{QuotaGrant, QuotaHolder, QuotaRecall, QuotaRequest, TokenAmount};
use std::time::{Duration, Instant};

impl BucketOwner {
    /// Serves waiting requests first, one token per holder in round-robin order,
    /// then prefetch requests from the upper half of the bucket.
    pub(super) fn distribute(&mut self, now: Instant) -> Vec<QuotaHolder> {
        let mut served = Vec::new();
        if now < self.refilled_at {
            return served;
        }
        let mut free = self.level.whole_tokens();
        while free > 0 && self.needed_by_all() > 0 {
            free -= self.serve_round(free, &mut served);
        }
        let reserve = self.limit.burst() / 2;
        self.serve_prefetch(free.saturating_sub(reserve), &mut served);
        served
    }

    fn serve_round(&mut self, free: u64, served: &mut Vec<QuotaHolder>) -> u64 {
        let mut left = free;
        let waiting = self.quotas.iter().filter(|(_, record)| record.needed > 0);
        let mut holders: Vec<QuotaHolder> = waiting.map(|(holder, _)| holder.clone()).collect();
        if let Some(last) = &self.last_served {
            let turn = holders.partition_point(|holder| holder <= last);
            holders.rotate_left(turn);
        }
        for holder in holders {
            if left == 0 {
                break;
            }
            self.grant_tokens(&holder, 1, served);
            self.last_served = Some(holder);
            left -= 1;
        }
        free - left
    }

    fn serve_prefetch(&mut self, free: u64, served: &mut Vec<QuotaHolder>) {
        let mut left = free;
        let prefetching = self.quotas.iter().filter(|(_, record)| record.prefetch > 0);
        let prefetching: Vec<(QuotaHolder, u64)> = prefetching
            .map(|(holder, record)| (holder.clone(), record.prefetch))
            .collect();
        for (holder, prefetch) in prefetching {
            let tokens = prefetch.min(left);
            if tokens > 0 {
                self.grant_tokens(&holder, tokens, served);
                left -= tokens;
            }
        }
    }

    fn grant_tokens(&mut self, holder: &QuotaHolder, tokens: u64, served: &mut Vec<QuotaHolder>) {
        let Some(record) = self.quotas.get_mut(holder) else {
            return;
        };
        record.grant(tokens);
        self.level = self.level.minus(TokenAmount::whole(tokens));
        if !served.contains(holder) {
            served.push(holder.clone());
        }
    }

    pub(super) fn actions(&mut self, served: &[QuotaHolder], now: Instant) -> Vec<OwnerAction> {
        let grants = served
            .iter()
            .filter_map(|holder| self.grant_for(holder, now));
        let mut actions: Vec<OwnerAction> = grants.collect();
        if self.needed_by_all() > 0 && now >= self.refilled_at {
            self.recall_idle(&mut actions);
        }
        actions
    }

    fn recall_idle(&mut self, actions: &mut Vec<OwnerAction>) {
        for (holder, record) in &mut self.quotas {
            let idle = record.needed == 0 && record.counters.unspent() > 0;
            if !idle || record.recalled {
                continue;
            }
            record.recalled = true;
            actions.push(OwnerAction::Recall(QuotaRecall {
                team: self.team.clone(),
                pool: self.pool.clone(),
                holder: holder.clone(),
                session: record.session,
                epoch: self.epoch,
            }));
        }
    }

    fn grant_for(&self, holder: &QuotaHolder, now: Instant) -> Option<OwnerAction> {
        let record = self.quotas.get(holder)?;
        let others = self.needed_by_all() - record.needed;
        Some(OwnerAction::Grant(QuotaGrant {
            team: self.team.clone(),
            pool: self.pool.clone(),
            holder: holder.clone(),
            session: record.session,
            epoch: self.epoch,
            sequence: record.sequence,
            granted: record.counters.granted,
            quota_ttl: self.times.quota_ttl,
            next_token_in: self.next_token_in(others, now),
        }))
    }

    /// Sends an empty grant that announces the current epoch to a holder whose quota
    /// was granted in another epoch.
    pub(super) fn announce_epoch(&self, request: &QuotaRequest, now: Instant) -> OwnerAction {
        OwnerAction::Grant(QuotaGrant {
            team: self.team.clone(),
            pool: self.pool.clone(),
            holder: request.holder.clone(),
            session: request.session,
            epoch: self.epoch,
            sequence: request.sequence,
            granted: 0,
            quota_ttl: self.times.quota_ttl,
            next_token_in: self.next_token_in(self.needed_by_all(), now),
        })
    }

    fn next_token_in(&self, others: u64, now: Instant) -> Duration {
        let missing = TokenAmount::whole(others + 1).minus(self.level);
        let until_open = self.refilled_at.saturating_duration_since(now);
        until_open + self.limit.time_for(missing)
    }
}
