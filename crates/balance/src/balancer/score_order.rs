//! Servers in descending order of their scores, with fast moves for large fleets.
//!
//! The order is divided into short chunks. A move shifts the entries of two chunks and the offsets of the
//! chunks between them, where a single list would shift the entry of every server passed.

/// A longer chunk is split in two.
const MAX_CHUNK_LEN: usize = 128;
/// Adjacent chunks with fewer entries than this together are merged.
const MERGE_BELOW_LEN: usize = 32;
const NO_CHUNK: u32 = u32::MAX;

#[derive(Clone, Debug, Default)]
struct Chunk {
    /// Scores and server indices, highest score first.
    entries: Vec<(f64, u32)>,
    /// Index of the chunk in `ScoreOrder::sequence`.
    position: usize,
}

/// Server indices, highest score first. A server whose score rises goes behind those of equal score, one
/// whose score falls before them.
#[derive(Clone, Debug, Default)]
pub(super) struct ScoreOrder {
    chunks: Vec<Chunk>,
    /// Chunks that may be reused.
    unused: Vec<u32>,
    /// Chunk numbers, in the order of scores.
    sequence: Vec<u32>,
    /// Number of servers before each chunk of `sequence`.
    offsets: Vec<usize>,
    /// Chunk number of each server, or `NO_CHUNK`.
    chunk_of: Vec<u32>,
    len: usize,
}

impl ScoreOrder {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn contains(&self, server: usize) -> bool {
        self.chunk_of.get(server).is_some_and(|chunk| *chunk != NO_CHUNK)
    }

    /// The server at a rank below `len`, from 0.
    pub(super) fn get(&self, rank: usize) -> usize {
        let position = self.offsets.partition_point(|offset| *offset <= rank) - 1;
        self.chunk(position).entries[rank - self.offsets[position]].1 as usize
    }

    /// The rank of a server, from 0; none if it is not in the order.
    pub(super) fn rank(&self, server: usize) -> Option<usize> {
        let chunk = &self.chunks[*self.chunk_of.get(server).filter(|chunk| **chunk != NO_CHUNK)? as usize];
        let within = chunk.entries.iter().position(|entry| entry.1 as usize == server)?;
        Some(self.offsets[chunk.position] + within)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        let chunks = self.sequence.iter().map(|chunk| &self.chunks[*chunk as usize]);
        chunks.flat_map(|chunk| chunk.entries.iter().map(|entry| entry.1 as usize))
    }

    /// Adds a server that is not in the order, behind those of equal score.
    pub(super) fn insert(&mut self, server: usize, score: f64) {
        self.insert_after(server, score, |other| other >= score);
    }

    pub(super) fn remove(&mut self, server: usize) {
        if self.contains(server) {
            let chunk = &mut self.chunks[self.chunk_of[server] as usize];
            chunk.entries.retain(|entry| entry.1 as usize != server);
            let position = chunk.position;
            self.finish_removal(server, position);
        }
    }

    /// Updates chunks and offsets after a server's entry has been removed from the chunk at this position.
    fn finish_removal(&mut self, server: usize, position: usize) {
        self.chunk_of[server] = NO_CHUNK;
        self.len -= 1;
        self.offsets[position + 1..].iter_mut().for_each(|offset| *offset -= 1);
        self.merge_if_short(position);
    }

    /// Moves a server from the rank of its old score to that of its new one.
    pub(super) fn update_score(&mut self, server: usize, old: f64, new: f64) {
        if old == new || !self.contains(server) {
            return;
        }
        let chunk = &mut self.chunks[self.chunk_of[server] as usize];
        let (position, entries) = (chunk.position, &mut chunk.entries);
        // Servers of equal score are adjacent.
        let first = entries.partition_point(|entry| entry.0 > old);
        let Some(from) = (first..entries.len()).find(|&k| entries[k].1 as usize == server) else { return };
        let (to, end) = if new > old {
            (entries[..from].partition_point(|entry| entry.0 >= new), 0)
        } else {
            (from + entries[from + 1..].partition_point(|entry| entry.0 > new), entries.len() - 1)
        };
        if to != end {
            // Most moves are short and stay within the chunk.
            match from < to {
                true => entries.copy_within(from + 1..to + 1, from),
                false => entries.copy_within(to..from, to + 1),
            }
            entries[to] = (new, server as u32);
        } else {
            entries.remove(from);
            self.finish_removal(server, position);
            self.insert_after(server, new, |other| if new > old { other >= new } else { other > new });
        }
    }

    /// Divides all scores by the same number, which keeps their order.
    pub(super) fn divide_scores(&mut self, divisor: f64) {
        self.chunks.iter_mut().flat_map(|chunk| &mut chunk.entries).for_each(|entry| entry.0 /= divisor);
    }

    fn chunk(&self, position: usize) -> &Chunk {
        &self.chunks[self.sequence[position] as usize]
    }

    /// Inserts a server behind all whose scores satisfy `is_before`.
    fn insert_after(&mut self, server: usize, score: f64, is_before: impl Fn(f64) -> bool) {
        if self.sequence.is_empty() {
            self.insert_chunk(0, Vec::new());
        }
        // The last chunk whose first entry comes before the server, or else the first chunk.
        let begins_before = |chunk: &u32| {
            self.chunks[*chunk as usize].entries.first().is_some_and(|entry| is_before(entry.0))
        };
        let position = self.sequence.partition_point(begins_before).saturating_sub(1);
        let number = self.sequence[position];
        let chunk = &mut self.chunks[number as usize];
        let within = chunk.entries.partition_point(|entry| is_before(entry.0));
        chunk.entries.insert(within, (score, server as u32));
        let is_too_long = chunk.entries.len() > MAX_CHUNK_LEN;
        if self.chunk_of.len() <= server {
            self.chunk_of.resize(server + 1, NO_CHUNK);
        }
        self.chunk_of[server] = number;
        self.len += 1;
        self.offsets[position + 1..].iter_mut().for_each(|offset| *offset += 1);
        if is_too_long {
            let rest = self.chunks[number as usize].entries.split_off(MAX_CHUNK_LEN / 2);
            self.insert_chunk(position + 1, rest);
        }
    }

    /// Inserts a chunk with entries that have been split off the preceding chunk.
    fn insert_chunk(&mut self, position: usize, entries: Vec<(f64, u32)>) {
        let number = self.unused.pop().unwrap_or(self.chunks.len() as u32);
        if number as usize == self.chunks.len() {
            self.chunks.push(Chunk::default());
        }
        entries.iter().for_each(|entry| self.chunk_of[entry.1 as usize] = number);
        let offset = if position == 0 {
            0
        } else {
            self.offsets[position - 1] + self.chunk(position - 1).entries.len()
        };
        self.chunks[number as usize].entries = entries;
        self.sequence.insert(position, number);
        self.offsets.insert(position, offset);
        self.renumber(position);
    }

    /// Merges a chunk into the preceding one if both are short, or removes it if it is empty.
    fn merge_if_short(&mut self, position: usize) {
        let (len, preceding_len) = (
            self.chunk(position).entries.len(),
            position.checked_sub(1).map(|preceding| self.chunk(preceding).entries.len()),
        );
        let Some(preceding_len) =
            preceding_len.filter(|other| other + len < MERGE_BELOW_LEN).or((len == 0).then_some(0))
        else {
            return;
        };
        let number = self.sequence.remove(position);
        self.offsets.remove(position);
        let entries = std::mem::take(&mut self.chunks[number as usize].entries);
        self.unused.push(number);
        debug_assert!(entries.is_empty() || preceding_len < MERGE_BELOW_LEN);
        if !entries.is_empty() {
            let preceding = self.sequence[position - 1];
            entries.iter().for_each(|entry| self.chunk_of[entry.1 as usize] = preceding);
            self.chunks[preceding as usize].entries.extend(entries);
        }
        self.renumber(position);
    }

    /// Updates the positions of the chunks from this one on.
    fn renumber(&mut self, from: usize) {
        for position in from..self.sequence.len() {
            self.chunks[self.sequence[position] as usize].position = position;
        }
    }
}

#[cfg(test)]
#[path = "../score_order_tests.rs"]
mod tests;
