//! The bounded view: members by rank within their failure domains.

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

/// Subject of the rank that makes duty members.
const DUTY: &str = "duty";
/// A hold is doubled at most so many times.
const MOST_DOUBLINGS: u32 = 4;

/// How far news reaches into the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Reach {
    /// It is old, or has no place.
    Nothing,
    /// It concerns a further member.
    Others,
    /// It may concern the duty members.
    Duty,
}

/// Members, and what is derived of them.
#[derive(Debug)]
pub(super) struct View {
    me: Peer,
    duty: usize,
    others: usize,
    members: IndexMap<VmId, Member>,
    domains: IndexMap<DomainId, Domain>,
    hash: u64,
    live: usize,
    suspects: usize,
    size: usize,
    others_count: usize,
    least_affinity: u64,
}

impl View {
    /// Creates a view that holds only its own process.
    pub(super) fn new(me: Peer, duty: usize, others: usize) -> Self {
        let mut view = Self {
            me: me.clone(),
            duty: duty.max(1),
            others,
            members: IndexMap::new(),
            domains: IndexMap::new(),
            hash: 0,
            live: 0,
            suspects: 0,
            size: 0,
            others_count: 0,
            least_affinity: 0,
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

    /// Returns this process's word on itself.
    pub(super) fn own(&self) -> Update {
        self.members[&self.me.vm].update()
    }

    /// Returns a member.
    pub(super) fn get(&self, vm: &str) -> Option<&Member> {
        self.members.get(vm)
    }

    /// Returns how many members are held.
    pub(super) fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns the members, this process among them.
    pub(super) fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the members as news.
    pub(super) fn updates(&self) -> impl Iterator<Item = Update> {
        self.members.values().map(Member::update)
    }

    /// Returns the next live member after an index that is no duty member.
    pub(super) fn further_from(&self, start: usize) -> Option<Update> {
        let (before, after) = (0..start, start..self.members.len());
        after
            .chain(before)
            .filter_map(|index| self.members.get_index(index))
            .map(|(_, member)| member)
            .find(|it| it.standing == Standing::Live && !it.is_duty)
            .map(Member::update)
    }

    /// Returns the members that are thought to run.
    pub(super) fn present(&self) -> impl Iterator<Item = &Peer> {
        self.members
            .values()
            .filter(|member| member.is_present())
            .map(|member| &member.peer)
    }

    /// Returns the live members.
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

    /// Returns whether a member is one of the duty members.
    pub(super) fn is_duty(&self, vm: &str) -> bool {
        self.get(vm).is_some_and(|member| member.is_duty)
    }

    /// Returns the hash of the duty members.
    pub(super) fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns the hash of each failure domain's duty members.
    pub(super) fn hashes(&self) -> IndexMap<DomainId, u64> {
        self.domains
            .iter()
            .map(|(id, domain)| (id.clone(), domain.hash))
            .collect()
    }

    /// Returns the members of the failure domains whose hashes differ: duty members and losses.
    pub(super) fn differing(&self, hashes: &IndexMap<DomainId, u64>) -> Vec<Update> {
        let differs =
            |id: &DomainId| self.domains.get(id).map(|it| it.hash) != hashes.get(id).copied();
        self.members
            .values()
            .filter(|member| differs(&member.peer.domain))
            .filter(|member| !member.is_present() || member.is_duty)
            .map(Member::update)
            .collect()
    }

    /// Returns how many VMs are live in the fleet.
    pub(super) fn fleet_size(&self) -> usize {
        self.size
    }

    /// Returns how many live members are held.
    pub(super) fn live_count(&self) -> usize {
        self.live
    }

    /// Returns whether fewer than half of the remembered members are present.
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

    /// Takes news in and returns what of it changed anything.
    pub(super) fn merge(
        &mut self,
        now: Duration,
        hold: Duration,
        updates: &[Update],
    ) -> Vec<Update> {
        let mut changed: Vec<Update> = Vec::new();
        let mut reach = Reach::Nothing;
        for update in updates {
            let one = self.merge_one(now, hold, update);
            if one > Reach::Nothing {
                changed.push(update.clone());
            }
            reach = reach.max(one);
        }
        if reach == Reach::Duty {
            self.rank_domains();
        }
        if reach > Reach::Nothing {
            self.trim();
            changed.retain(|update| self.members.contains_key(&update.peer.vm));
        }
        changed
    }

    /// Takes one piece of news in; the caller ranks and trims as far as it reaches.
    fn merge_one(&mut self, now: Duration, hold: Duration, update: &Update) -> Reach {
        let Some(member) = self.members.get_mut(&update.peer.vm) else {
            if !self.admits(update) {
                return Reach::Nothing;
            }
            self.insert(now, update.clone());
            return self.reach(update);
        };
        let known = (member.incarnation, member.standing);
        if (update.incarnation, update.standing) <= known || member.standing == Standing::Left {
            return Reach::Nothing;
        }
        let was_present = member.is_present();
        let was_duty = member.is_duty;
        member.incarnation = update.incarnation;
        if member.standing != update.standing {
            member.standing = update.standing;
            member.since = now;
        }
        if !was_present && member.is_present() {
            let doublings = member.returns.min(MOST_DOUBLINGS);
            member.held_until = now + hold * 2_u32.pow(doublings);
            member.returns += 1;
        }
        if was_duty {
            return Reach::Duty;
        }
        self.reach(update)
    }

    /// Returns whether a member that is not a duty member may become one by its standing.
    fn reach(&self, update: &Update) -> Reach {
        let is_present = update.standing <= Standing::Suspect;
        if is_present && self.ranks(update) {
            Reach::Duty
        } else {
            Reach::Others
        }
    }

    /// Returns whether a present member ranks among its failure domain's duty members.
    fn ranks(&self, update: &Update) -> bool {
        let rank = key::weight(DUTY, name(&update.peer.vm));
        let domain = self.domains.get(&update.peer.domain);
        domain.is_none_or(|it| it.duty.len() < self.duty || rank > it.lowest)
    }

    /// Returns whether a member that is not held has a place in the view.
    fn admits(&self, update: &Update) -> bool {
        if update.standing > Standing::Suspect || self.others_count < self.others {
            return true;
        }
        self.ranks(update) || key::weight(&self.me.vm, &update.peer.vm) > self.least_affinity
    }

    /// Returns the members suspected for at least `patience`.
    pub(super) fn overdue(&self, now: Duration, patience: Duration) -> Vec<Update> {
        if self.suspects == 0 {
            return Vec::new();
        }
        self.members
            .values()
            .filter(|it| it.standing == Standing::Suspect && now >= it.since + patience)
            .map(Member::update)
            .collect()
    }

    /// Moves the times of the suspicions by a pause of this process.
    pub(super) fn postpone(&mut self, by: Duration) {
        let suspects = |it: &&mut Member| it.standing == Standing::Suspect;
        for member in self.members.values_mut().filter(suspects) {
            member.since += by;
        }
    }

    /// Drops losses that are older than `age`.
    pub(super) fn forget(&mut self, now: Duration, age: Duration) {
        let before = self.members.len();
        self.members
            .retain(|_, it| it.is_present() || now < it.since + age || it.peer == self.me);
        if self.members.len() != before {
            self.trim();
        }
    }

    /// Returns up to `count` candidates in different failure domains where there are enough.
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

    /// Returns up to `count` candidates of one failure domain.
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

    /// Returns the candidates that pass, the highest weight for the subject first.
    fn ranked<F>(&self, now: Duration, subject: &str, passes: F) -> Vec<&Peer>
    where
        F: Fn(&Peer) -> bool,
    {
        let mut ranked: Vec<&Peer> = self
            .domains
            .values()
            .flat_map(|domain| &domain.duty)
            .filter_map(|vm| self.get(vm))
            .filter(|member| member.is_live() && member.held_until <= now && passes(&member.peer))
            .map(|member| &member.peer)
            .collect();
        ranked.sort_by_cached_key(|peer| {
            let weight = key::weight(subject, name(&peer.vm));
            (std::cmp::Reverse(weight), peer.vm.clone())
        });
        ranked
    }

    /// Adds a member; the caller refreshes.
    fn insert(&mut self, now: Duration, update: Update) {
        let member = Member {
            rank: key::weight(DUTY, name(&update.peer.vm)),
            affinity: key::weight(&self.me.vm, &update.peer.vm),
            is_duty: false,
            peer: update.peer,
            incarnation: update.incarnation,
            standing: update.standing,
            since: now,
            returns: 0,
            held_until: Duration::ZERO,
        };
        self.members.insert(member.peer.vm.clone(), member);
    }

    /// Drops members beyond the bounds, and counts the rest.
    fn trim(&mut self) {
        self.trim_others();
        self.trim_lost();
        self.live = self.live().count();
        let is_suspect = |it: &&Member| it.standing == Standing::Suspect;
        self.suspects = self.members.values().filter(is_suspect).count();
        let estimate: usize = self.domains.values().map(|domain| domain.size).sum();
        self.size = self.live.max(estimate).max(1);
    }

    /// Chooses each failure domain's duty members.
    fn rank_domains(&mut self) {
        let mut present: Vec<&mut Member> = self.members.values_mut().collect();
        present.sort_by(|a, b| (b.rank, &b.peer.vm).cmp(&(a.rank, &a.peer.vm)));
        self.domains = IndexMap::new();
        for member in present {
            member.is_duty = false;
            if !member.is_present() {
                continue;
            }
            let domain = self.domains.entry(member.peer.domain.clone()).or_default();
            if domain.duty.len() < self.duty {
                member.is_duty = true;
                domain.add(member, self.duty);
            }
        }
        self.hash = 0;
        for (id, domain) in &self.domains {
            self.hash ^= xxh3::xxh3_64_with_seed(id.as_bytes(), domain.hash);
        }
    }

    /// Drops the further members that suit this process least.
    fn trim_others(&mut self) {
        let mut others: Vec<(u64, VmId)> = self
            .members
            .values()
            .filter(|it| it.is_present() && it.peer != self.me && !it.is_duty)
            .map(|it| (it.affinity, it.peer.vm.clone()))
            .collect();
        others.sort_by(|a, b| b.cmp(a));
        for (_, vm) in others.drain(self.others.min(others.len())..) {
            self.members.swap_remove(&vm);
        }
        self.others_count = others.len();
        self.least_affinity = others.last().map_or(0, |(affinity, _)| *affinity);
    }

    /// Drops the oldest losses beyond the bound.
    fn trim_lost(&mut self) {
        let bound = self.duty * self.domains.len().max(3) + self.others;
        let mut lost: Vec<(Duration, VmId)> = self
            .members
            .values()
            .filter(|member| !member.is_present() && member.peer != self.me)
            .map(|member| (member.since, member.peer.vm.clone()))
            .collect();
        lost.sort_by(|a, b| b.cmp(a));
        for (_, vm) in lost.into_iter().skip(bound) {
            self.members.swap_remove(&vm);
        }
    }
}
