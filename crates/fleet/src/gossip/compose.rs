//! Content of messages.

use rand::Rng as _;

use crate::{
    message::size,
    push_queue::{PushItem, PushOutcome, PushPriority},
    Claim, Delta, Digest, DigestLine, EntryClass, Gossip, Message, Origin,
};

impl Gossip {
    /// Returns a digest of the next range of origins and advances the range.
    pub(super) fn fleet_digest(&mut self) -> Digest {
        let limit = self.settings.digest_origins;
        let first = self.digest_cursor;
        let mut origins = self.entries.between(first, Origin(u64::MAX), limit + 1);
        let last = match origins.get(limit) {
            Some(next) => Origin(next.0 - 1),
            None => Origin(u64::MAX),
        };
        origins.truncate(limit);
        self.digest_cursor = Origin(last.0.wrapping_add(1));
        let lines = origins
            .iter()
            .map(|origin| self.digest_line(*origin, &EntryClass::FLEET_WIDE));
        Digest::Fleet {
            first,
            last,
            lines: lines.collect(),
        }
    }

    /// Returns a digest of the origins of the group.
    pub(super) fn group_digest(&self) -> Digest {
        let origins = self.group.iter().filter_map(|name| {
            let member = self.membership.by_name(name)?;
            member.origin
        });
        let lines = origins.map(|origin| self.digest_line(origin, &EntryClass::GROUP_LOCAL));
        Digest::Group {
            lines: lines.collect(),
        }
    }

    /// Returns the line of an origin in a digest of the given classes.
    fn digest_line(&self, origin: Origin, classes: &[EntryClass]) -> DigestLine {
        let mut reached = [0; 3];
        for (index, class) in classes.iter().enumerate() {
            reached[index] = self.entries.reached(origin, *class);
        }
        let member = self.membership.by_origin(origin);
        DigestLine {
            origin,
            reached,
            claimed: member.is_some_and(|member| member.claim.is_some()),
        }
    }

    /// Adds the changes that the sender of a digest lacks, as far as they fit into `room` bytes.
    pub(super) fn add_missing(&mut self, message: &mut Message, digest: &Digest, room: usize) {
        let (mut lines, classes) = match digest {
            Digest::Fleet { first, last, lines } => (
                self.with_unknown_origins(*first, *last, lines),
                &EntryClass::FLEET_WIDE[..],
            ),
            Digest::Group { lines } => (lines.clone(), &EntryClass::GROUP_LOCAL[..]),
        };
        if lines.is_empty() {
            return;
        }
        // The message is often full before the last line. Starting at a random line gives every origin
        // a chance.
        let start = self.rng.random_range(0..lines.len());
        lines.rotate_left(start);
        let mut left = room;
        for (index, class) in classes.iter().enumerate() {
            for line in &lines {
                self.add_delta(message, *class, line, line.reached[index], &mut left);
            }
        }
        if *classes == EntryClass::FLEET_WIDE {
            self.add_claims(message, &lines, &mut left);
        }
    }

    /// Returns the lines of a digest, extended by the origins of its range that its sender does not know.
    fn with_unknown_origins(
        &self,
        first: Origin,
        last: Origin,
        lines: &[DigestLine],
    ) -> Vec<DigestLine> {
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

    /// Adds the changes of one origin and class after `after`.
    fn add_delta(
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

    /// Adds the claims of which the sender of a digest does not know.
    fn add_claims(&self, message: &mut Message, lines: &[DigestLine], left: &mut usize) {
        for line in lines.iter().filter(|line| !line.claimed) {
            let Some(claim) = self.claim_about(line.origin) else {
                continue;
            };
            let Some(rest) = left.checked_sub(size(&claim)) else {
                return;
            };
            *left = rest;
            message.claims.push(claim);
        }
    }

    /// Returns the unrefuted claim about a run.
    fn claim_about(&self, origin: Origin) -> Option<Claim> {
        let reached = self.membership.by_origin(origin)?.claim?;
        Some(Claim { origin, reached })
    }

    /// Adds queued updates of priority `lowest` or higher, as far as they fit into `room` bytes.
    pub(super) fn add_pushes(&mut self, message: &mut Message, lowest: PushPriority, room: usize) {
        let mut push_queue = std::mem::take(&mut self.push_queue);
        let mut left = room;
        push_queue.try_push_each(|priority, item| {
            if priority > lowest {
                return PushOutcome::Stop;
            }
            self.add_push(message, item, &mut left)
        });
        self.push_queue = push_queue;
    }

    /// Adds a queued update, if it is still current and fits into the bytes left.
    fn add_push(&self, message: &mut Message, item: PushItem, left: &mut usize) -> PushOutcome {
        match item {
            PushItem::Entry {
                origin,
                class,
                sequence,
            } => {
                let class_entries = self.entries.class_entries(origin, class);
                let delta = class_entries
                    .and_then(|class_entries| class_entries.single_delta(origin, class, sequence));
                add_if_room(&mut message.deltas, delta, left)
            }
            PushItem::Claim(origin) => {
                add_if_room(&mut message.claims, self.claim_about(origin), left)
            }
        }
    }

    /// Returns all control entries of a run, as far as they fit into a message.
    pub(super) fn control_entries(&self, origin: Origin) -> Option<Delta> {
        let class_entries = self.entries.class_entries(origin, EntryClass::Control)?;
        class_entries.delta_since(
            origin,
            EntryClass::Control,
            0,
            self.settings.max_message_bytes,
        )
    }
}

/// Adds an item to a list if it fits into the bytes left.
fn add_if_room<T: serde::Serialize>(
    list: &mut Vec<T>,
    item: Option<T>,
    left: &mut usize,
) -> PushOutcome {
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
