//! What goes into a message.

use rand::Rng as _;

use crate::{
    message::size,
    rumours::{News, Offer, Rank},
    Claim, Class, Delta, Digest, DigestLine, Gossip, Message, Origin,
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
            .map(|origin| self.line(*origin, &Class::FLEET));
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
        let lines = origins.map(|origin| self.line(origin, &Class::GROUP));
        Digest::Group {
            lines: lines.collect(),
        }
    }

    fn line(&self, origin: Origin, classes: &[Class]) -> DigestLine {
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
            Digest::Fleet { first, last, lines } => {
                (self.complete(*first, *last, lines), &Class::FLEET[..])
            }
            Digest::Group { lines } => (lines.clone(), &Class::GROUP[..]),
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
        if *classes == Class::FLEET {
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
        class: Class,
        line: &DigestLine,
        after: u64,
        left: &mut usize,
    ) {
        let Some(stream) = self.entries.stream(line.origin, class) else {
            return;
        };
        if stream.reached() <= after {
            return;
        }
        if let Some(delta) = stream.since(line.origin, class, after, *left) {
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

    /// Adds rumours, as far as they fit into `room` bytes.
    pub(super) fn add_rumours(&mut self, message: &mut Message, lowest: Rank, room: usize) {
        let mut rumours = std::mem::take(&mut self.rumours);
        let mut left = room;
        rumours.offer(|rank, news| {
            if rank > lowest {
                return Offer::Stop;
            }
            self.add_news(message, news, &mut left)
        });
        self.rumours = rumours;
    }

    fn add_news(&self, message: &mut Message, news: News, left: &mut usize) -> Offer {
        match news {
            News::Entry {
                origin,
                class,
                sequence,
            } => {
                let stream = self.entries.stream(origin, class);
                let delta = stream.and_then(|stream| stream.one(origin, class, sequence));
                add(&mut message.deltas, delta, left)
            }
            News::Claim(origin) => add(&mut message.claims, self.claim(origin), left),
        }
    }

    /// Returns all control entries of a run.
    pub(super) fn control(&self, origin: Origin) -> Option<Delta> {
        let stream = self.entries.stream(origin, Class::Control)?;
        stream.since(origin, Class::Control, 0, self.settings.max_message_bytes)
    }
}

fn add<T: serde::Serialize>(list: &mut Vec<T>, item: Option<T>, left: &mut usize) -> Offer {
    let Some(item) = item else {
        return Offer::Stale;
    };
    let Some(rest) = left.checked_sub(size(&item)) else {
        return Offer::Stop;
    };
    *left = rest;
    list.push(item);
    Offer::Taken
}
