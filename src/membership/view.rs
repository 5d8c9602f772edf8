//! The bounded view: which members are kept, and which of them are eligible for roles.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3;

use super::{
    Peer, Standing, Update,
    member::{Domain, Member},
    name,
};
use crate::{
    id::{DomainId, VmId},
    key,
};

/// Subject of the rank hash that makes members eligible for roles.
const RANK_SUBJECT: &str = "duty";
/// Maximum number of times that [`Timing::hold`](super::Timing::hold) is doubled.
const MAX_DOUBLINGS: u32 = 4;

/// Which part of the view an update affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Affected {
    /// None: the update is outdated or the member isn't kept.
    None,
    /// The members that are not eligible.
    Others,
    /// Possibly the eligible members.
    Eligible,
}

/// The members, and counts and hashes derived from them.
#[derive(Debug)]
pub(super) struct View {
    me: Peer,
    max_eligible: usize,
    max_others: usize,
    members: IndexMap<VmId, Member>,
    domains: IndexMap<DomainId, Domain>,
    hash: u64,
    live: usize,
    suspects: usize,
    size: usize,
    other_count: usize,
    lowest_affinity: u64,
}

impl View {
    /// Creates a view that contains only this process.
    pub(super) fn new(me: Peer, eligible: usize, others: usize) -> Self {
        let mut view = Self {
            me: me.clone(),
            max_eligible: eligible.max(1),
            max_others: others,
            members: IndexMap::new(),
            domains: IndexMap::new(),
            hash: 0,
            live: 0,
            suspects: 0,
            size: 0,
            other_count: 0,
            lowest_affinity: 0,
        };
        let update = Update {
            peer: me,
            incarnation: 0,
            standing: Standing::Live,
        };
        view.insert(Duration::ZERO, update);
        view.rank_domains();
        view.trim();
        view
    }

    /// Returns this process.
    pub(super) fn me(&self) -> &Peer {
        &self.me
    }

    /// Returns what this process states about itself.
    pub(super) fn own(&self) -> Update {
        self.members[&self.me.vm].update()
    }

    /// Returns a member.
    pub(super) fn get(&self, vm: &str) -> Option<&Member> {
        self.members.get(vm)
    }

    /// Returns the number of members in the view, lost ones included.
    pub(super) fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns all members, this process included.
    pub(super) fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns all members as updates.
    pub(super) fn updates(&self) -> impl Iterator<Item = Update> {
        self.members.values().map(Member::update)
    }

    /// Returns the first live member at or after an index, cyclically, that is not eligible for roles.
    pub(super) fn other_from(&self, start: usize) -> Option<Update> {
        let (before, after) = (0..start, start..self.members.len());
        after
            .chain(before)
            .filter_map(|index| self.members.get_index(index))
            .map(|(_, member)| member)
            .find(|it| it.standing == Standing::Live && !it.is_eligible)
            .map(Member::update)
    }

    /// Returns the members that probably run.
    pub(super) fn present(&self) -> impl Iterator<Item = &Peer> {
        self.members
            .values()
            .filter(|member| member.is_present())
            .map(|member| &member.peer)
    }

    /// Returns the members that probably run and are not draining.
    pub(super) fn live(&self) -> impl Iterator<Item = &Peer> {
        self.members
            .values()
            .filter(|member| member.is_live())
            .map(|member| &member.peer)
    }

    /// Returns the failure domains with a live member, sorted.
    pub(super) fn domains(&self) -> Vec<DomainId> {
        let mut domains: IndexSet<DomainId> = self.live().map(|peer| peer.domain.clone()).collect();
        domains.sort();
        domains.into_iter().collect()
    }

    /// Returns whether a member is eligible for roles.
    pub(super) fn is_eligible(&self, vm: &str) -> bool {
        self.get(vm).is_some_and(|member| member.is_eligible)
    }

    /// Returns the hash of all eligible members.
    pub(super) fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns the hash of the eligible members of each failure domain.
    pub(super) fn hashes(&self) -> IndexMap<DomainId, u64> {
        self.domains
            .iter()
            .map(|(id, domain)| (id.clone(), domain.hash))
            .collect()
    }

    /// Returns the eligible and the lost members of the failure domains whose hashes differ.
    pub(super) fn differing(&self, hashes: &IndexMap<DomainId, u64>) -> Vec<Update> {
        let differs =
            |id: &DomainId| self.domains.get(id).map(|it| it.hash) != hashes.get(id).copied();
        self.members
            .values()
            .filter(|member| differs(&member.peer.domain))
            .filter(|member| !member.is_present() || member.is_eligible)
            .map(Member::update)
            .collect()
    }

    /// Returns the number of live VMs in the fleet, estimated if the view is incomplete.
    pub(super) fn fleet_size(&self) -> usize {
        self.size
    }

    /// Returns the number of live members in the view.
    pub(super) fn live_count(&self) -> usize {
        self.live
    }

    /// Returns whether fewer than half of the members in the view, stopped ones aside, are present.
    pub(super) fn is_minority(&self) -> bool {
        let counted = |standing| standing != Standing::Left;
        let known = self
            .members
            .values()
            .filter(|it| counted(it.standing))
            .count();
        let present = self.members.values().filter(|it| it.is_present()).count();
        present * 2 < known
    }

    /// Applies updates and returns those that changed the view.
    pub(super) fn merge(
        &mut self,
        now: Duration,
        hold: Duration,
        updates: &[Update],
    ) -> Vec<Update> {
        let mut changed: Vec<Update> = Vec::new();
        let mut affected = Affected::None;
        for update in updates {
            let part = self.merge_one(now, hold, update);
            if part > Affected::None {
                changed.push(update.clone());
            }
            affected = affected.max(part);
        }
        if affected == Affected::Eligible {
            self.rank_domains();
        }
        if affected > Affected::None {
            self.trim();
            changed.retain(|update| self.members.contains_key(&update.peer.vm));
        }
        changed
    }

    /// Applies one update; the caller then ranks and trims the part of the view that it affects.
    fn merge_one(&mut self, now: Duration, hold: Duration, update: &Update) -> Affected {
        let Some(member) = self.members.get_mut(&update.peer.vm) else {
            if !self.should_add(update) {
                return Affected::None;
            }
            self.insert(now, update.clone());
            return self.affected(update);
        };
        let known = (member.incarnation, member.standing);
        if (update.incarnation, update.standing) <= known || member.standing == Standing::Left {
            return Affected::None;
        }
        let was_present = member.is_present();
        let was_eligible = member.is_eligible;
        member.incarnation = update.incarnation;
        if member.standing != update.standing {
            member.standing = update.standing;
            member.since = now;
        }
        if !was_present && member.is_present() {
            let doublings = member.returns.min(MAX_DOUBLINGS);
            member.barred_until = now + hold * 2_u32.pow(doublings);
            member.returns += 1;
        }
        if was_eligible {
            return Affected::Eligible;
        }
        self.affected(update)
    }

    /// Returns which part is affected by an update of a member that is not eligible so far.
    fn affected(&self, update: &Update) -> Affected {
        let is_present = update.standing <= Standing::Suspect;
        if is_present && self.is_rank_eligible(update) {
            Affected::Eligible
        } else {
            Affected::Others
        }
    }

    /// Returns whether a member's rank is high enough to be eligible in its failure domain.
    fn is_rank_eligible(&self, update: &Update) -> bool {
        let rank = key::weight(RANK_SUBJECT, name(&update.peer.vm));
        let domain = self.domains.get(&update.peer.domain);
        domain.is_none_or(|it| it.eligible.len() < self.max_eligible || rank > it.lowest_rank)
    }

    /// Returns whether a member that is not in the view is to be added.
    fn should_add(&self, update: &Update) -> bool {
        if update.standing > Standing::Suspect || self.other_count < self.max_others {
            return true;
        }
        self.is_rank_eligible(update)
            || key::weight(&self.me.vm, &update.peer.vm) > self.lowest_affinity
    }

    /// Returns the members that have been suspected for at least `timeout`.
    pub(super) fn suspected_for(&self, now: Duration, timeout: Duration) -> Vec<Update> {
        if self.suspects == 0 {
            return Vec::new();
        }
        self.members
            .values()
            .filter(|it| it.standing == Standing::Suspect && now >= it.since + timeout)
            .map(Member::update)
            .collect()
    }

    /// Extends all suspicions by the length of a pause of this process.
    pub(super) fn extend_suspicions(&mut self, by: Duration) {
        let suspects = |it: &&mut Member| it.standing == Standing::Suspect;
        for member in self.members.values_mut().filter(suspects) {
            member.since += by;
        }
    }

    /// Drops members that were lost or stopped at least `age` ago.
    pub(super) fn drop_lost(&mut self, now: Duration, age: Duration) {
        let before = self.members.len();
        self.members
            .retain(|_, it| it.is_present() || now < it.since + age || it.peer == self.me);
        if self.members.len() != before {
            self.trim();
        }
    }

    /// Returns up to `count` candidates, in different failure domains as far as there are enough.
    pub(super) fn candidates(
        &self,
        now: Duration,
        subject: &str,
        count: usize,
        outside: Option<&str>,
    ) -> Vec<Peer> {
        let ranked = self.ranked(now, subject, |peer| Some(peer.domain.as_str()) != outside);
        let mut domains = IndexSet::new();
        let (first, rest): (Vec<&Peer>, Vec<&Peer>) = ranked
            .into_iter()
            .partition(|peer| domains.insert(peer.domain.clone()));
        first.into_iter().chain(rest).take(count).cloned().collect()
    }

    /// Returns up to `count` candidates in one failure domain.
    pub(super) fn candidates_in(
        &self,
        now: Duration,
        subject: &str,
        count: usize,
        domain: &str,
    ) -> Vec<Peer> {
        let ranked = self.ranked(now, subject, |peer| peer.domain == domain);
        ranked.into_iter().take(count).cloned().collect()
    }

    /// Returns the candidates that match a filter, the highest weight for the subject first.
    fn ranked<F>(&self, now: Duration, subject: &str, filter: F) -> Vec<&Peer>
    where
        F: Fn(&Peer) -> bool,
    {
        let mut ranked: Vec<&Peer> = self
            .domains
            .values()
            .flat_map(|domain| &domain.eligible)
            .filter_map(|vm| self.get(vm))
            .filter(|member| member.is_live() && member.barred_until <= now && filter(&member.peer))
            .map(|member| &member.peer)
            .collect();
        ranked.sort_by_cached_key(|peer| {
            let weight = key::weight(subject, name(&peer.vm));
            (std::cmp::Reverse(weight), peer.vm.clone())
        });
        ranked
    }

    /// Adds a member; the caller then updates the ranks and counts.
    fn insert(&mut self, now: Duration, update: Update) {
        let member = Member {
            rank: key::weight(RANK_SUBJECT, name(&update.peer.vm)),
            affinity: key::weight(&self.me.vm, &update.peer.vm),
            is_eligible: false,
            peer: update.peer,
            incarnation: update.incarnation,
            standing: update.standing,
            since: now,
            returns: 0,
            barred_until: Duration::ZERO,
        };
        self.members.insert(member.peer.vm.clone(), member);
    }

    /// Drops members beyond the limits and updates the counts.
    fn trim(&mut self) {
        self.trim_others();
        self.trim_lost();
        self.live = self.live().count();
        let is_suspect = |it: &&Member| it.standing == Standing::Suspect;
        self.suspects = self.members.values().filter(is_suspect).count();
        let estimate: usize = self.domains.values().map(|domain| domain.size).sum();
        self.size = self.live.max(estimate).max(1);
    }

    /// Chooses the eligible members of each failure domain.
    fn rank_domains(&mut self) {
        let mut present: Vec<&mut Member> = self.members.values_mut().collect();
        present.sort_by(|a, b| (b.rank, &b.peer.vm).cmp(&(a.rank, &a.peer.vm)));
        self.domains = IndexMap::new();
        for member in present {
            member.is_eligible = false;
            if !member.is_present() {
                continue;
            }
            let domain = self.domains.entry(member.peer.domain.clone()).or_default();
            if domain.eligible.len() < self.max_eligible {
                member.is_eligible = true;
                domain.add(member, self.max_eligible);
            }
        }
        self.hash = 0;
        for (id, domain) in &self.domains {
            self.hash ^= xxh3::xxh3_64_with_seed(id.as_bytes(), domain.hash);
        }
    }

    /// Drops the other members with the lowest affinity to this process, beyond the limit.
    fn trim_others(&mut self) {
        let mut others: Vec<(u64, VmId)> = self
            .members
            .values()
            .filter(|it| it.is_present() && it.peer != self.me && !it.is_eligible)
            .map(|it| (it.affinity, it.peer.vm.clone()))
            .collect();
        others.sort_by(|a, b| b.cmp(a));
        for (_, vm) in others.drain(self.max_others.min(others.len())..) {
            self.members.swap_remove(&vm);
        }
        self.other_count = others.len();
        self.lowest_affinity = others.last().map_or(0, |(affinity, _)| *affinity);
    }

    /// Drops the oldest lost members beyond the limit.
    fn trim_lost(&mut self) {
        let limit = self.max_eligible * self.domains.len().max(3) + self.max_others;
        let mut lost: Vec<(Duration, VmId)> = self
            .members
            .values()
            .filter(|member| !member.is_present() && member.peer != self.me)
            .map(|member| (member.since, member.peer.vm.clone()))
            .collect();
        lost.sort_by(|a, b| b.cmp(a));
        for (_, vm) in lost.into_iter().skip(limit) {
            self.members.swap_remove(&vm);
        }
    }
}
