//! Handling of requests, responses and failures.

use std::time::Duration;

use bincode::Options as _;
use celerypond_types::InstanceKey;
use tokio::time::Instant;

use crate::{
    membership::Admission,
    push_queue::{PushItem, PushPriority},
    Claim, Delta, EntryClass, EntryKind, Event, Gossip, Identity, Incarnation, Message, Origin,
};

/// Number of recent exchanges whose outcome is kept.
const OUTCOMES_KEPT: u32 = 8;

/// Number of bytes of missing entries that a response to an unknown peer may contain even if the
/// budget is exhausted.
///
/// If many instances start at once with the same seed, the responses alone exhaust its budget. Without
/// this allowance, the seed could tell them of no other instance, and all would keep contacting it;
/// a few identities let each continue with other peers.
const MIN_INTRODUCTION_BYTES: usize = 400;

/// Minimum time between accepting a claim about a run and making another one.
const CLAIM_INTERVAL: Duration = Duration::from_secs(10);

impl Gossip {
    /// Handles a request and returns the response.
    pub fn handle_request(&mut self, message: Message, now: Instant) -> Message {
        let digest = message.digest.clone();
        let (from, to, summary, hello) = (message.from, message.to, message.summary, message.hello);
        let superseding = self.apply_message(message, now);
        let mut response = Message::new(self.origin, Some(from), self.acting_revision);
        response.deltas.extend(superseding);
        let needs_introduction =
            hello || to != Some(self.origin) || self.membership.by_origin(from).is_none();
        if needs_introduction {
            self.add_introduction(&mut response);
        }
        if let Some(summary) = summary {
            response.summary = Some(self.facts.fingerprint());
            if response.summary != Some(summary) {
                response.facts = self.facts.clone();
            }
        }
        if let Some(digest) = digest {
            let room = self
                .budget
                .available(now)
                .min(self.settings.max_message_bytes);
            let room = room.saturating_sub(response.bytes());
            let min_room = if needs_introduction {
                MIN_INTRODUCTION_BYTES
            } else {
                0
            };
            let room = room.max(min_room);
            self.add_missing(&mut response, &digest, room);
        }
        self.budget.spend(response.bytes());
        response
    }

    /// Handles the response to a request. Returns a follow-up request if the peer still lacks something.
    pub fn handle_response(
        &mut self,
        member: Option<InstanceKey>,
        response: Message,
        now: Instant,
    ) -> Option<Message> {
        let (from, summary, hello) = (response.from, response.summary, response.hello);
        self.apply_message(response, now);
        if let Some(key) = member {
            self.check_responder(key, from, now);
        }
        self.record_outcome(false);
        // A response contains a fingerprint only if the request did, which a follow-up does not. Otherwise
        // two instances that keep rejecting each other's identity would exchange messages forever.
        let summary = summary?;
        let mut follow_up = Message::new(self.origin, Some(from), self.acting_revision);
        if hello {
            follow_up.deltas.extend(self.control_entries(self.origin));
        }
        if summary != self.facts.fingerprint() {
            follow_up.facts = self.facts.clone();
        }
        if follow_up.facts.is_empty() && follow_up.deltas.is_empty() {
            return None;
        }
        self.budget.spend(follow_up.bytes());
        Some(follow_up)
    }

    /// Handles an exchange that failed or exceeded its deadline.
    pub fn handle_failure(&mut self, member: Option<InstanceKey>, now: Instant) {
        self.record_outcome(true);
        let Some(key) = member else {
            return;
        };
        let Some(member) = self.membership.get_mut(key) else {
            return;
        };
        let was_unresponsive = member.is_unresponsive();
        member.failures = member.failures.saturating_add(1);
        if member.is_unresponsive() && !was_unresponsive {
            let name = member.name.clone();
            self.events.insert(Event::Suspected(name));
        }
        self.claim_unresponsive(key, now);
    }

    /// Counts an exchange as failed if another run or instance responded than the intended one. An
    /// address may have been taken over, so the response does not show that the intended one is alive.
    fn check_responder(&mut self, key: InstanceKey, from: Origin, now: Instant) {
        let intended = self.membership.get(key).and_then(|member| member.origin);
        if intended.is_some() && intended != Some(from) {
            self.handle_failure(Some(key), now);
        }
    }

    /// Records whether an exchange failed.
    fn record_outcome(&mut self, failed: bool) {
        self.recent_failures = self.recent_failures << 1 | u8::from(failed);
    }

    /// Claims that a member does not respond, if that is so from the view of this instance.
    ///
    /// An instance that is itself cut off would make claims about all others. So an instance of whose
    /// recent exchanges at least half failed makes none.
    fn claim_unresponsive(&mut self, key: InstanceKey, now: Instant) {
        let Some(member) = self.membership.get(key) else {
            return;
        };
        let has_recent_claim = member.last_claim.is_some_and(|t| now - t < CLAIM_INTERVAL);
        let may_be_cut_off = self.recent_failures.count_ones() * 2 >= OUTCOMES_KEPT;
        let Some(origin) = member.origin else {
            return;
        };
        if !member.is_unresponsive() || member.claim.is_some() || has_recent_claim || may_be_cut_off
        {
            return;
        }
        let reached = self.entries.reached(origin, EntryClass::Control);
        self.apply_claim(Claim { origin, reached }, now);
    }

    /// Applies a claim that a run does not respond, unless it is outdated, and queues it for pushing.
    fn apply_claim(&mut self, claim: Claim, now: Instant) {
        if claim.origin == self.origin {
            self.refute(claim);
            return;
        }
        let reached = self.entries.reached(claim.origin, EntryClass::Control);
        let Some(member) = self.membership.by_origin_mut(claim.origin) else {
            return;
        };
        if claim.reached < reached || member.claim.is_some_and(|old| old >= claim.reached) {
            return;
        }
        if !member.is_unresponsive() {
            self.events.insert(Event::Suspected(member.name.clone()));
        }
        member.claim = Some(claim.reached);
        member.last_claim = Some(now);
        let item = PushItem::Claim(claim.origin);
        self.push_queue
            .add(PushPriority::Control, item, self.settings.push_count);
    }

    /// Refutes a claim about this instance by publishing a change.
    fn refute(&mut self, claim: Claim) {
        if claim.reached >= self.entries.reached(self.origin, EntryClass::Control) {
            // Cannot fail: the control class has few kinds of entries, so a slot is free.
            let _ = self.set_entry(EntryKind::Alive, "", Box::default());
        }
    }

    /// Applies the content of a message. If the sender is an outdated run of its instance, returns the
    /// control entries of the latest known run.
    fn apply_message(&mut self, message: Message, now: Instant) -> Option<Delta> {
        let from = message.from;
        self.merge_facts(message.facts);
        if message.acting > self.acting_revision {
            self.events.insert(Event::Ahead(message.acting));
        }
        let mut superseding = None;
        for delta in message.deltas {
            let is_own = delta.origin == from;
            let later = self.apply_delta(delta, is_own, now);
            superseding = superseding.or(later.filter(|_| is_own));
        }
        self.record_contact(from, now);
        for claim in message.claims {
            self.apply_claim(claim, now);
        }
        superseding.and_then(|run| self.control_entries(run))
    }

    /// Records that a message from a run has arrived.
    fn record_contact(&mut self, from: Origin, now: Instant) {
        if let Some(member) = self.membership.by_origin_mut(from) {
            if member.is_unresponsive() {
                self.events.insert(Event::Returned(member.name.clone()));
            }
            member.failures = 0;
            member.claim = None;
            member.last_heard = now;
        }
    }

    /// Applies changes; `is_own` is whether the sender of the message owns them. Returns the latest
    /// known run of the same instance if the changes are of an earlier one.
    fn apply_delta(&mut self, delta: Delta, is_own: bool, now: Instant) -> Option<Origin> {
        let (origin, class, upto) = (delta.origin, delta.class, delta.upto);
        if origin == self.origin {
            return None;
        }
        if self.membership.by_origin(origin).is_none() {
            if !is_own && self.membership.is_forgotten(origin, upto) {
                return None;
            }
            if let Some(later) = self.admit_run(&delta, now)? {
                return Some(later);
            }
        }
        let kinds: Vec<(u64, Option<EntryKind>)> = delta
            .entries
            .iter()
            .map(|entry| (entry.sequence, entry.item.as_ref().map(|item| item.kind)))
            .collect();
        let stored = self.entries.apply(delta);
        for (sequence, kind) in kinds.into_iter().filter(|(s, _)| stored.contains(s)) {
            let is_urgent = kind.is_some_and(EntryKind::is_urgent);
            self.queue_push(origin, class, is_urgent, sequence);
            self.events.extend(kind.map(Event::Changed));
            if kind == Some(EntryKind::Leaving) {
                self.mark_leaving(origin);
            }
        }
        if class == EntryClass::Control && !stored.is_empty() {
            self.apply_refutation(origin, now);
        }
        None
    }

    /// Admits the unknown run that owns a delta. Returns `None` if the delta does not contain the
    /// identity of the run, and `Some(Some(run))` with the latest known run of the instance if it is a
    /// later one.
    fn admit_run(&mut self, delta: &Delta, now: Instant) -> Option<Option<Origin>> {
        let item = delta.entries.iter().find_map(|entry| {
            let item = entry.item.as_ref()?;
            (item.kind == EntryKind::Identity).then_some(item)
        })?;
        let identity: Identity = bincode::options().deserialize(&item.value).ok()?;
        if identity.origin() != delta.origin {
            return None;
        }
        if identity.name == self.identity.name {
            return Some(self.resolve_own_run(&identity));
        }
        if self.membership.iter().next().is_none() {
            self.startup_until = now + self.settings.startup_duration;
        }
        match self.membership.admit(&identity, now) {
            Admission::Superseded(run) => return Some(Some(run)),
            Admission::Replaced(run) => self.entries.remove(run),
            Admission::Admitted => {}
        }
        self.events.insert(Event::Joined(identity.name));
        Some(None)
    }

    /// Handles the identity of another run of this instance. Returns the key of the current run.
    ///
    /// If the clock was set back, a new run has a lower number than the previous one. Peers would then
    /// ignore its entries, and no work would be sent to it. So it takes the number after that of the
    /// other run.
    fn resolve_own_run(&mut self, other: &Identity) -> Option<Origin> {
        if other.incarnation >= self.identity.incarnation {
            self.identity.incarnation = Incarnation(other.incarnation.0 + 1);
            let origin = self.identity.origin();
            self.entries.rename(self.origin, origin);
            self.origin = origin;
            self.publish_identity();
            self.events.insert(Event::Renumbered);
        }
        Some(self.origin)
    }

    /// Marks a run as leaving.
    fn mark_leaving(&mut self, origin: Origin) {
        if let Some(member) = self.membership.by_origin_mut(origin) {
            member.announced_leaving = true;
        }
    }

    /// Records a change to the control entries of a run, which refutes earlier claims about the run.
    fn apply_refutation(&mut self, origin: Origin, now: Instant) {
        let reached = self.entries.reached(origin, EntryClass::Control);
        let Some(member) = self.membership.by_origin_mut(origin) else {
            return;
        };
        member.last_heard = now;
        if member.claim.is_some_and(|claim| reached > claim) {
            member.claim = None;
            if !member.is_unresponsive() {
                self.events.insert(Event::Returned(member.name.clone()));
            }
        }
    }
}
