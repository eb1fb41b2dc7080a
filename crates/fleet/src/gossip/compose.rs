//! What goes into a message.

use rand::Rng as _;

use crate::{
    message::size,
    push_queue::{PushItem, PushOutcome, PushPriority},
    Claim, Delta, Digest, DigestLine, EntryClass, Gossip, Message, Origin,
};

impl Gossip {
    /// Returns what this instance has of the next window of origins.
    pub(super) fn fleet_digest(&mut self) -> Digest {
        let limit = self.settings.digest_origins;
        let first = self.cursor;
        let mut window = self.entries.between(first, Origin(u64::MAX), limit + 1);
        let last = match window.get(limit) {
            Some(next) => Origin(next.0 - 1),
            None => Origin(u64::MAX),
        };
        window.truncate(limit);
        self.cursor = Origin(last.0.wrapping_add(1));
        let lines = window
            .iter()
            .map(|origin| self.line(*origin, &EntryClass::FLEET_WIDE));
        Digest::Fleet {
            first,
            last,
            lines: lines.collect(),
        }
    }

    /// Returns what this instance has of its group.
    pub(super) fn group_digest(&self) -> Digest {
        let origins = self.group.iter().filter_map(|name| {
            let member = self.membership.by_name(name)?;
            member.origin
        });
        let lines = origins.map(|origin| self.line(origin, &EntryClass::GROUP_LOCAL));
        Digest::Group {
            lines: lines.collect(),
        }
    }

    fn line(&self, origin: Origin, classes: &[EntryClass]) -> DigestLine {
        let mut reached = [0; 3];
        for (at, class) in classes.iter().enumerate() {
            reached[at] = self.entries.reached(origin, *class);
        }
        let member = self.membership.by_origin(origin);
        DigestLine {
            origin,
            reached,
            claimed: member.is_some_and(|member| member.claim.is_some()),
        }
    }

    /// Adds what the sender of a digest lacks, as far as it fits into `room` bytes.
    pub(super) fn fill(&mut self, message: &mut Message, digest: &Digest, room: usize) {
        let (mut lines, classes) = match digest {
            Digest::Fleet { first, last, lines } => (
                self.complete(*first, *last, lines),
                &EntryClass::FLEET_WIDE[..],
            ),
            Digest::Group { lines } => (lines.clone(), &EntryClass::GROUP_LOCAL[..]),
        };
        if lines.is_empty() {
            return;
        }
        // A message is often full before the end; a random start lets every origin come first.
        let start = self.rng.random_range(0..lines.len());
        lines.rotate_left(start);
        let mut left = room;
        for (at, class) in classes.iter().enumerate() {
            for line in &lines {
                self.add_since(message, *class, line, line.reached[at], &mut left);
            }
        }
        if *classes == EntryClass::FLEET_WIDE {
            self.add_claims(message, &lines, &mut left);
        }
    }

    /// Adds lines for the origins in a range that the sender of a digest does not know.
    fn complete(&self, first: Origin, last: Origin, lines: &[DigestLine]) -> Vec<DigestLine> {
        let mut all = lines.to_vec();
        for origin in self.entries.between(first, last, usize::MAX) {
            if lines
                .binary_search_by_key(&origin, |line| line.origin)
                .is_err()
            {
                all.push(DigestLine {
                    origin,
                    reached: [0; 3],
                    claimed: false,
                });
            }
        }
        all
    }

    fn add_since(
        &self,
        message: &mut Message,
        class: EntryClass,
        line: &DigestLine,
        after: u64,
        left: &mut usize,
    ) {
        let Some(class_entries) = self.entries.class_entries(line.origin, class) else {
            return;
        };
        if class_entries.reached() <= after {
            return;
        }
        if let Some(delta) = class_entries.delta_since(line.origin, class, after, *left) {
            *left = left.saturating_sub(size(&delta));
            message.deltas.push(delta);
        }
    }

    fn add_claims(&self, message: &mut Message, lines: &[DigestLine], left: &mut usize) {
        for line in lines.iter().filter(|line| !line.claimed) {
            let Some(claim) = self.claim(line.origin) else {
                continue;
            };
            let Some(rest) = left.checked_sub(size(&claim)) else {
                return;
            };
            *left = rest;
            message.claims.push(claim);
        }
    }

    fn claim(&self, origin: Origin) -> Option<Claim> {
        let reached = self.membership.by_origin(origin)?.claim?;
        Some(Claim { origin, reached })
    }

    /// Adds queued updates of priority `lowest` or higher, as far as they fit into `room` bytes.
    pub(super) fn add_pushes(&mut self, message: &mut Message, lowest: PushPriority, room: usize) {
        let mut push_queue = std::mem::take(&mut self.push_queue);
        let mut left = room;
        push_queue.drain_with(|rank, news| {
            if rank > lowest {
                return PushOutcome::Stop;
            }
            self.add_push(message, news, &mut left)
        });
        self.push_queue = push_queue;
    }

    fn add_push(&self, message: &mut Message, news: PushItem, left: &mut usize) -> PushOutcome {
        match news {
            PushItem::Entry {
                origin,
                class,
                sequence,
            } => {
                let class_entries = self.entries.class_entries(origin, class);
                let delta = class_entries
                    .and_then(|class_entries| class_entries.single_delta(origin, class, sequence));
                add(&mut message.deltas, delta, left)
            }
            PushItem::Claim(origin) => add(&mut message.claims, self.claim(origin), left),
        }
    }

    /// Returns all control entries of a run.
    pub(super) fn control(&self, origin: Origin) -> Option<Delta> {
        let class_entries = self.entries.class_entries(origin, EntryClass::Control)?;
        class_entries.delta_since(
            origin,
            EntryClass::Control,
            0,
            self.settings.max_message_bytes,
        )
    }
}

fn add<T: serde::Serialize>(list: &mut Vec<T>, item: Option<T>, left: &mut usize) -> PushOutcome {
    let Some(item) = item else {
        return PushOutcome::Stale;
    };
    let Some(rest) = left.checked_sub(size(&item)) else {
        return PushOutcome::Stop;
    };
    *left = rest;
    list.push(item);
    PushOutcome::Added
}
