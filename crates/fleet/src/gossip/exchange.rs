//! What is done with a message, an answer or a failure.

use std::time::Duration;

use bincode::Options as _;
use celerypond_types::InstanceKey;
use tokio::time::Instant;

use crate::{
    membership::Admission,
    push_queue::{PushItem, PushPriority},
    Claim, Delta, EntryClass, EntryKind, Event, Gossip, Identity, Incarnation, Message, Origin,
};

/// The last exchanges whose outcome is kept.
const OUTCOMES: u32 = 8;

/// What a newcomer is told whatever the budget says, in bytes.
///
/// When many start at once through one seed, its budget goes on the answers alone. If it could then
/// name nobody, they would all come back to it for ever; a few names send each one elsewhere.
const GREETING_BYTES: usize = 400;

/// The time between two claims about the same run.
const CLAIM_PAUSE: Duration = Duration::from_secs(10);

impl Gossip {
    /// Takes in a message and returns the answer.
    pub fn handle_request(&mut self, message: Message, now: Instant) -> Message {
        let digest = message.digest.clone();
        let (from, to, summary, hello) = (message.from, message.to, message.summary, message.hello);
        let superseding = self.absorb(message, now);
        let mut answer = Message::new(self.origin, Some(from), self.acting);
        answer.deltas.extend(superseding);
        let is_new = hello || to != Some(self.origin) || self.membership.by_origin(from).is_none();
        if is_new {
            self.greet(&mut answer);
        }
        if let Some(summary) = summary {
            answer.summary = Some(self.facts.summary());
            if answer.summary != Some(summary) {
                answer.facts = self.facts.clone();
            }
        }
        if let Some(digest) = digest {
            let room = self
                .budget
                .available(now)
                .min(self.settings.max_message_bytes);
            let room = room.saturating_sub(answer.bytes());
            let least = if is_new { GREETING_BYTES } else { 0 };
            let room = room.max(least);
            self.fill(&mut answer, &digest, room);
        }
        self.budget.spend(answer.bytes());
        answer
    }

    /// Takes in the answer to a message; returns what the peer still lacks, if it does.
    pub fn handle_response(
        &mut self,
        member: Option<InstanceKey>,
        answer: Message,
        now: Instant,
    ) -> Option<Message> {
        let (from, summary, hello) = (answer.from, answer.summary, answer.hello);
        self.absorb(answer, now);
        if let Some(key) = member {
            self.judge(key, from, now);
        }
        self.note(false);
        // Only a request that asked for differences is followed up, and a follow-up does not ask.
        // Two instances that cannot come to know each other would otherwise go on without end.
        let summary = summary?;
        let mut more = Message::new(self.origin, Some(from), self.acting);
        if hello {
            more.deltas.extend(self.control(self.origin));
        }
        if summary != self.facts.summary() {
            more.facts = self.facts.clone();
        }
        if more.facts.is_empty() && more.deltas.is_empty() {
            return None;
        }
        self.budget.spend(more.bytes());
        Some(more)
    }

    /// Takes in that an exchange failed or ran into its deadline.
    pub fn handle_failure(&mut self, member: Option<InstanceKey>, now: Instant) {
        self.note(true);
        let Some(key) = member else {
            return;
        };
        let Some(member) = self.membership.get_mut(key) else {
            return;
        };
        let was_silent = member.is_silent();
        member.failures = member.failures.saturating_add(1);
        if member.is_silent() && !was_silent {
            let name = member.name.clone();
            self.events.insert(Event::Suspected(name));
        }
        self.accuse(key, now);
    }

    /// An address may be answered by another run or another instance than the one that was meant;
    /// that is no sign of life of the one that was meant.
    fn judge(&mut self, key: InstanceKey, from: Origin, now: Instant) {
        let meant = self.membership.get(key).and_then(|member| member.origin);
        if meant.is_some() && meant != Some(from) {
            self.handle_failure(Some(key), now);
        }
    }

    fn note(&mut self, failed: bool) {
        self.outcomes = self.outcomes << 1 | u8::from(failed);
    }

    /// Tells the others that a member does not answer.
    ///
    /// An instance that is itself cut off would accuse all the others; so one for which half of
    /// its last exchanges failed keeps its suspicions to itself.
    fn accuse(&mut self, key: InstanceKey, now: Instant) {
        let Some(member) = self.membership.get(key) else {
            return;
        };
        let recent = member.claimed.is_some_and(|t| now - t < CLAIM_PAUSE);
        let doubt = self.outcomes.count_ones() * 2 >= OUTCOMES;
        let Some(origin) = member.origin else {
            return;
        };
        if !member.is_silent() || member.claim.is_some() || recent || doubt {
            return;
        }
        let reached = self.entries.reached(origin, EntryClass::Control);
        self.accept(Claim { origin, reached }, now);
    }

    fn accept(&mut self, claim: Claim, now: Instant) {
        if claim.origin == self.origin {
            self.contradict(claim);
            return;
        }
        let reached = self.entries.reached(claim.origin, EntryClass::Control);
        let Some(member) = self.membership.by_origin_mut(claim.origin) else {
            return;
        };
        if claim.reached < reached || member.claim.is_some_and(|old| old >= claim.reached) {
            return;
        }
        if !member.is_silent() {
            self.events.insert(Event::Suspected(member.name.clone()));
        }
        member.claim = Some(claim.reached);
        member.claimed = Some(now);
        let news = PushItem::Claim(claim.origin);
        self.push_queue
            .add(PushPriority::Control, news, self.settings.push_count);
    }

    fn contradict(&mut self, claim: Claim) {
        if claim.reached >= self.entries.reached(self.origin, EntryClass::Control) {
            // The control class has few kinds, so a slot is free.
            let _ = self.set_entry(EntryKind::Alive, "", Box::default());
        }
    }

    /// Takes in all that a message carries; returns the entries of a later run of the sender.
    fn absorb(&mut self, message: Message, now: Instant) -> Option<Delta> {
        let from = message.from;
        self.learn(message.facts);
        if message.acting > self.acting {
            self.events.insert(Event::Ahead(message.acting));
        }
        let mut superseding = None;
        for delta in message.deltas {
            let direct = delta.origin == from;
            let later = self.take(delta, direct, now);
            superseding = superseding.or(later.filter(|_| direct));
        }
        self.hear(from, now);
        for claim in message.claims {
            self.accept(claim, now);
        }
        superseding.and_then(|run| self.control(run))
    }

    fn hear(&mut self, from: Origin, now: Instant) {
        if let Some(member) = self.membership.by_origin_mut(from) {
            if member.is_silent() {
                self.events.insert(Event::Returned(member.name.clone()));
            }
            member.failures = 0;
            member.claim = None;
            member.news = now;
        }
    }

    /// Takes in changes; returns a later run of the same instance if the changes are of an old one.
    fn take(&mut self, delta: Delta, direct: bool, now: Instant) -> Option<Origin> {
        let (origin, class, upto) = (delta.origin, delta.class, delta.upto);
        if origin == self.origin {
            return None;
        }
        if self.membership.by_origin(origin).is_none() {
            if !direct && self.membership.is_forgotten(origin, upto) {
                return None;
            }
            if let Some(later) = self.meet(&delta, now)? {
                return Some(later);
            }
        }
        let kinds: Vec<(u64, Option<EntryKind>)> = delta
            .entries
            .iter()
            .map(|entry| (entry.sequence, entry.item.as_ref().map(|item| item.kind)))
            .collect();
        let news = self.entries.apply(delta);
        for (sequence, kind) in kinds.into_iter().filter(|(s, _)| news.contains(s)) {
            let is_urgent = kind.is_some_and(EntryKind::is_urgent);
            self.spread(origin, class, is_urgent, sequence);
            self.events.extend(kind.map(Event::Changed));
            if kind == Some(EntryKind::Leaving) {
                self.mark_leaving(origin);
            }
        }
        if class == EntryClass::Control && !news.is_empty() {
            self.revive(origin, now);
        }
        None
    }

    /// Takes in a run that is not known yet. Nothing means that its changes are of no use, and
    /// `Some(Some(run))` that a later run is known.
    fn meet(&mut self, delta: &Delta, now: Instant) -> Option<Option<Origin>> {
        let item = delta.entries.iter().find_map(|entry| {
            let item = entry.item.as_ref()?;
            (item.kind == EntryKind::Identity).then_some(item)
        })?;
        let identity: Identity = bincode::options().deserialize(&item.value).ok()?;
        if identity.origin() != delta.origin {
            return None;
        }
        if identity.name == self.identity.name {
            return Some(self.meet_self(&identity));
        }
        if self.membership.iter().next().is_none() {
            self.settled = now + self.settings.startup_duration;
        }
        match self.membership.admit(&identity, now) {
            Admission::Superseded(run) => return Some(Some(run)),
            Admission::Replaced(run) => self.entries.remove(run),
            Admission::Admitted => {}
        }
        self.events.insert(Event::Joined(identity.name));
        Some(None)
    }

    /// Meets another run of this very instance.
    ///
    /// A clock that went back gives a new run a lower ordinal than the old one had. Peers would
    /// refuse all that the new run says, and nobody would route to it; so it takes the next
    /// ordinal after the one it meets.
    fn meet_self(&mut self, other: &Identity) -> Option<Origin> {
        if other.incarnation >= self.identity.incarnation {
            self.identity.incarnation = Incarnation(other.incarnation.0 + 1);
            let origin = self.identity.origin();
            self.entries.rename(self.origin, origin);
            self.origin = origin;
            self.introduce();
            self.events.insert(Event::Renumbered);
        }
        Some(self.origin)
    }

    fn mark_leaving(&mut self, origin: Origin) {
        if let Some(member) = self.membership.by_origin_mut(origin) {
            member.leaving = true;
        }
    }

    /// Takes a change of a run's own entries as its contradiction of every claim before.
    fn revive(&mut self, origin: Origin, now: Instant) {
        let reached = self.entries.reached(origin, EntryClass::Control);
        let Some(member) = self.membership.by_origin_mut(origin) else {
            return;
        };
        member.news = now;
        if member.claim.is_some_and(|claim| reached > claim) {
            member.claim = None;
            if !member.is_silent() {
                self.events.insert(Event::Returned(member.name.clone()));
            }
        }
    }
}
