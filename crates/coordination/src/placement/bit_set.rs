//! Bit sets over the machine positions of a placement index.

/// A growable set of machine positions. Positions beyond its length are not in the set.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct BitSet(Vec<u64>);

impl BitSet {
    /// An empty set with capacity for `len` positions.
    pub(super) fn zeros(len: usize) -> Self {
        Self(vec![0; len.div_ceil(64)])
    }

    pub(super) fn set(&mut self, position: usize) {
        if self.0.len() <= position / 64 {
            self.0.resize(position / 64 + 1, 0);
        }
        self.0[position / 64] |= 1 << (position % 64);
    }

    pub(super) fn clear(&mut self, position: usize) {
        if let Some(word) = self.0.get_mut(position / 64) {
            *word &= !(1 << (position % 64));
        }
    }

    /// Sets or clears one position.
    pub(super) fn assign(&mut self, position: usize, value: bool) {
        if value {
            self.set(position);
        } else {
            self.clear(position);
        }
    }

    pub(super) fn contains(&self, position: usize) -> bool {
        self.word(position / 64) >> (position % 64) & 1 == 1
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.iter().all(|word| *word == 0)
    }

    /// Length of the set in words of 64 positions.
    pub(super) fn word_count(&self) -> usize {
        self.0.len()
    }

    /// The word that holds positions `64 * index` to `64 * index + 63`, lowest bit first; 0
    /// beyond the end.
    pub(super) fn word(&self, index: usize) -> u64 {
        self.0.get(index).copied().unwrap_or(0)
    }

    /// Removes the positions of `other`.
    pub(super) fn subtract(&mut self, other: &BitSet) {
        for (word, removed) in self.0.iter_mut().zip(&other.0) {
            *word &= !removed;
        }
    }

    /// Keeps only the positions that are also in `other`.
    pub(super) fn intersect(&mut self, other: &BitSet) {
        for (index, word) in self.0.iter_mut().enumerate() {
            *word &= other.word(index);
        }
    }

    /// Adds the positions of `other` that lie within the length of this set.
    pub(super) fn union(&mut self, other: &BitSet) {
        for (word, added) in self.0.iter_mut().zip(&other.0) {
            *word |= added;
        }
    }

    /// Positions in the set, in ascending order.
    pub(super) fn positions(&self) -> impl Iterator<Item = usize> + '_ {
        let words = self.0.iter().enumerate();
        words.flat_map(|(index, &word)| word_positions(index, word))
    }
}

/// Positions of the bits that are set in the word at `index` of a [`BitSet`].
pub(super) fn word_positions(index: usize, word: u64) -> impl Iterator<Item = usize> {
    let mut remaining = word;
    std::iter::from_fn(move || {
        (remaining != 0).then(|| {
            let bit = remaining.trailing_zeros() as usize;
            remaining &= remaining - 1;
            index * 64 + bit
        })
    })
}
