//! First-fit over constraint bit-vectors.
//!
//! Each part's machines are a row of bits per constraint: a type, a zone, being
//! ordinary, taking new tasks, holding an image, and so on. A task's
//! constraints are ANDed, and the first machine left whose free room covers
//! every resource is taken (paper, section IV-B). The rows for images and for
//! machines already in use only decide the order of the walk, class by class
//! ([`crate::image_locality`]): a machine that has the image first, since the fetch decides
//! when a task starts, then one that is in use already, so that whole machines stay
//! free.

use std::cell::Cell;
use std::collections::{BTreeSet, HashMap};

use lemonweir_model::{MachineId, Priority, Resources};
use lemonweir_protocol::peer::MachineView;

use crate::image_locality::trade::{ImageLocality, MachineUsage, PlacementClass, ReplicaSpread};
use crate::image_locality::walk::PlacedReplicas;

/// A row of bits, one a machine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BitSet(Vec<u64>);

impl BitSet {
    fn zeros(len: usize) -> Self {
        Self(vec![0; len.div_ceil(64)])
    }

    pub(crate) fn set(&mut self, i: usize) {
        if self.0.len() <= i / 64 {
            self.0.resize(i / 64 + 1, 0);
        }
        self.0[i / 64] |= 1 << (i % 64);
    }

    fn clear(&mut self, i: usize) {
        if let Some(word) = self.0.get_mut(i / 64) {
            *word &= !(1 << (i % 64));
        }
    }

    pub(crate) fn has(&self, i: usize) -> bool {
        self.0
            .get(i / 64)
            .is_some_and(|word| word >> (i % 64) & 1 == 1)
    }

    fn put(&mut self, i: usize, on: bool) {
        if on { self.set(i) } else { self.clear(i) }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.iter().all(|word| *word == 0)
    }

    fn word(&self, w: usize) -> u64 {
        self.0.get(w).copied().unwrap_or(0)
    }

    fn without(&mut self, other: &BitSet) {
        for (a, b) in self.0.iter_mut().zip(&other.0) {
            *a &= !b;
        }
    }

    /// A row that ends early is empty from there on.
    fn and(&mut self, other: &BitSet) {
        for (i, a) in self.0.iter_mut().enumerate() {
            *a &= other.0.get(i).copied().unwrap_or(0);
        }
    }

    fn or(&mut self, other: &BitSet) {
        for (a, b) in self.0.iter_mut().zip(&other.0) {
            *a |= b;
        }
    }

    /// Positions of the bits that are set, in order.
    fn ones(&self) -> impl Iterator<Item = usize> + '_ {
        self.0.iter().enumerate().flat_map(|(w, &word)| {
            let mut rest = word;
            std::iter::from_fn(move || {
                (rest != 0).then(|| {
                    let bit = rest.trailing_zeros() as usize;
                    rest &= rest - 1;
                    w * 64 + bit
                })
            })
        })
    }
}

/// A machine as the walk sees it.
#[derive(Clone, Debug)]
pub struct MachineSlot {
    /// The machine.
    pub id: MachineId,
    /// Its zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// Free room.
    pub free: Resources,
    /// Tasks on it.
    pub busy: u32,
    /// Tasks on it that run until their jobs are cancelled.
    pub lasting: u32,
    /// Images that it fetches: they share its rate.
    pub fetches: u32,
    /// Thousandths of a GB that may come before its cache drops what others use.
    pub spare_mb: u64,
    /// Room of attempts below each priority.
    pub soft: [Resources; 3],
    /// The same with what teams run beyond their guarantees.
    pub soft_over: [Resources; 3],
}

impl MachineSlot {
    fn of(m: &MachineView) -> Self {
        Self {
            id: m.id.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            free: m.free,
            busy: u32::from(m.task_count),
            lasting: u32::from(m.service_task_count),
            fetches: m.pulling_images.len() as u32,
            spare_mb: u64::MAX,
            soft: m.preemptible,
            soft_over: m.preemptible_or_over_quota,
        }
    }
}

/// What a task asks of a machine.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// Room.
    pub need: Resources,
    /// Allowed types, or any.
    pub types: Option<&'a [String]>,
    /// Allowed zones, or any.
    pub zones: Option<Vec<&'a str>>,
    /// True if spot machines are allowed.
    pub spot: bool,
    /// True if it runs until its job is cancelled.
    pub lasting: bool,
    /// Image.
    pub image: &'a str,
    /// Its size in thousandths of a GB.
    pub image_mb: u64,
    /// Machines to leave out.
    pub avoid: &'a [MachineId],
    /// The only machines that will do, if not all.
    pub only: Option<&'a BTreeSet<MachineId>>,
    /// True if an empty ordinary machine is too dear for it: what fills it keeps
    /// it from being given back.
    pub frugal: bool,
}

/// The machines of one part, ready for walks. It is kept from walk to walk:
/// what an owner tells anew replaces one machine's bits, and what a placer
/// takes stays taken until the machine is told anew or restored.
#[derive(Clone, Debug, Default)]
pub struct PlacementIndex {
    /// The machines in the order of the walk; places of machines that are gone
    /// are never ready, and are used again.
    pub slots: Vec<MachineSlot>,
    told: Vec<Option<MachineView>>,
    /// What each machine's cache can take, as of when it was told.
    spares: Vec<u64>,
    index: HashMap<MachineId, usize>,
    vacant: Vec<usize>,
    ready: BitSet,
    spot: BitSet,
    types: HashMap<String, BitSet>,
    zones: HashMap<String, BitSet>,
    images: HashMap<String, BitSet>,
    coming: HashMap<String, BitSet>,
    /// Machines that hold what lasts, that hold anything, that fetch, and that have
    /// accelerators free.
    settled: BitSet,
    used: BitSet,
    fetching: BitSet,
    gpus: BitSet,
    /// Machines that fetch two images or more.
    crowded: BitSet,
    /// Parts from ours to this one, and all of them: where our walk begins among
    /// machines that are alike to what lasts.
    begins: (usize, usize),
    /// Words of bits and machines looked at by all walks so far.
    looked: Cell<u64>,
}

fn mark(rows: &mut HashMap<String, BitSet>, name: &str, i: usize) {
    match rows.get_mut(name) {
        Some(row) => row.set(i),
        None => {
            let mut row = BitSet::default();
            row.set(i);
            rows.insert(name.to_owned(), row);
        }
    }
}

impl PlacementIndex {
    /// A field of these machines.
    pub fn new(machines: &[MachineView]) -> Self {
        let mut field = Self::default();
        for m in machines {
            field.set(m.clone());
        }
        field
    }

    /// An empty field of another part, so many after ours of all. Guards against
    /// placers that spread at the same time and all take the first machine of a zone,
    /// where their fetches then share its rate: each begins elsewhere.
    pub fn begins_at(after: usize, of: usize) -> Self {
        Self {
            begins: (after, of),
            ..Self::default()
        }
    }

    /// Takes what an owner tells of a machine.
    pub fn set(&mut self, m: MachineView) {
        let i = match self.index.get(&m.id) {
            Some(&i) => i,
            None => {
                let i = self.vacant.pop().unwrap_or(self.slots.len());
                self.index.insert(m.id.clone(), i);
                if i == self.slots.len() {
                    self.slots.push(MachineSlot::of(&m));
                    self.told.push(None);
                    self.spares.push(u64::MAX);
                }
                i
            }
        };
        self.wipe(i);
        if m.registered && m.schedulable {
            self.ready.set(i);
        }
        if m.spot {
            self.spot.set(i);
        }
        mark(&mut self.types, &m.machine_type, i);
        mark(&mut self.zones, &m.zone, i);
        for image in &m.cached_images {
            mark(&mut self.images, image, i);
        }
        for image in &m.pulling_images {
            mark(&mut self.coming, image, i);
        }
        self.slots[i] = MachineSlot::of(&m);
        self.spares[i] = u64::MAX;
        self.told[i] = Some(m);
        self.mark_use(i);
    }

    /// Notes how much may come to a machine before its cache drops what others use.
    pub fn set_spare(&mut self, id: &MachineId, mb: u64) {
        if let Some(i) = self.find(id) {
            self.spares[i] = mb;
            self.slots[i].spare_mb = mb;
        }
    }

    /// Brings the rows up to date that follow from a slot.
    fn mark_use(&mut self, i: usize) {
        let slot = &self.slots[i];
        self.settled.put(i, slot.lasting > 0);
        self.used.put(i, slot.busy > 0);
        self.fetching.put(i, slot.fetches > 0);
        self.crowded.put(i, slot.fetches > 1);
        self.gpus.put(i, slot.free.milli_gpus > 0);
    }

    fn wipe(&mut self, i: usize) {
        self.ready.clear(i);
        self.spot.clear(i);
        for rows in [
            &mut self.types,
            &mut self.zones,
            &mut self.images,
            &mut self.coming,
        ] {
            rows.values_mut().for_each(|row| row.clear(i));
        }
    }

    /// Takes a machine out.
    pub fn remove(&mut self, id: &MachineId) {
        if let Some(i) = self.index.remove(id) {
            self.wipe(i);
            self.told[i] = None;
            self.vacant.push(i);
        }
    }

    /// Undoes what was taken on a machine since it was told.
    pub fn restore(&mut self, i: usize) {
        let Some(m) = self.told.get(i).and_then(Option::as_ref) else {
            return;
        };
        self.slots[i] = MachineSlot::of(m);
        self.slots[i].spare_mb = self.spares[i];
        self.coming.values_mut().for_each(|row| row.clear(i));
        for image in &m.pulling_images {
            mark(&mut self.coming, image, i);
        }
        self.mark_use(i);
    }

    /// The machines as they were told.
    pub fn machines(&self) -> impl Iterator<Item = &MachineView> {
        self.told.iter().flatten()
    }

    /// Words of bits and machines looked at by all walks so far: the work of
    /// placing, counted.
    pub fn looked(&self) -> u64 {
        self.looked.get()
    }

    fn look(&self, n: usize) {
        self.looked.set(self.looked.get() + n as u64);
    }

    /// The zones in which there ever was a machine.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.zones.keys().map(String::as_str)
    }

    /// Machines of these zones.
    pub(crate) fn zones_row(&self, zones: &[&str]) -> BitSet {
        let mut row = BitSet::zeros(self.slots.len());
        zones
            .iter()
            .filter_map(|z| self.zones.get(*z))
            .for_each(|r| row.or(r));
        row
    }

    pub(crate) fn allowed(&self, ask: &PlacementRequest<'_>) -> BitSet {
        let mut bits = self.ready.clone();
        let mut any_of = |rows: &HashMap<String, BitSet>, names: &mut dyn Iterator<Item = &str>| {
            let mut row = BitSet::zeros(self.slots.len());
            for name in names {
                if let Some(r) = rows.get(name) {
                    row.or(r);
                }
            }
            bits.and(&row);
        };
        if let Some(types) = ask.types {
            any_of(&self.types, &mut types.iter().map(String::as_str));
        }
        if let Some(zones) = &ask.zones {
            any_of(&self.zones, &mut zones.iter().copied());
        }
        if !ask.spot {
            for (word, spot) in bits.0.iter_mut().zip(&self.spot.0) {
                *word &= !spot;
            }
        }
        if let Some(only) = ask.only {
            let mut row = BitSet::zeros(self.slots.len());
            only.iter()
                .filter_map(|id| self.find(id))
                .for_each(|i| row.set(i));
            bits.and(&row);
        }
        if !ask.avoid.is_empty() {
            for i in ask.avoid.iter().filter_map(|id| self.find(id)) {
                bits.clear(i);
            }
        }
        bits
    }

    /// Of the allowed machines those to which the image is so near.
    pub(crate) fn near_row(&self, allowed: &BitSet, image: &str, near: ImageLocality) -> BitSet {
        let mut row = allowed.clone();
        let rows = [self.images.get(image), self.coming.get(image)];
        match (near, rows) {
            (ImageLocality::Here, [Some(here), _]) => row.and(here),
            (ImageLocality::Coming, [here, Some(coming)]) => {
                row.and(coming);
                here.into_iter().for_each(|r| row.without(r));
            }
            (ImageLocality::Here | ImageLocality::Coming, _) => return BitSet::default(),
            (
                ImageLocality::Away
                | ImageLocality::Beside
                | ImageLocality::Crowded
                | ImageLocality::Anywhere,
                rows,
            ) => rows.into_iter().flatten().for_each(|r| row.without(r)),
        }
        match near {
            ImageLocality::Away => row.without(&self.fetching),
            ImageLocality::Beside => {
                row.and(&self.fetching);
                row.without(&self.crowded);
            }
            ImageLocality::Crowded => row.and(&self.crowded),
            _ => {}
        }
        row
    }

    /// The first machine of a class with room, among those of a row: the best packed
    /// one. Those without room leave the row.
    pub(crate) fn first_of(
        &self,
        ask: &PlacementRequest<'_>,
        row: &mut BitSet,
        class: &PlacementClass,
        kindred: Option<&PlacedReplicas>,
    ) -> Option<usize> {
        let anywhere = !matches!(class.near, ImageLocality::Here | ImageLocality::Coming);
        let mut best = None;
        for w in 0..row.0.len() {
            let mut word = row.0[w];
            if word == 0 {
                continue;
            }
            self.look(1);
            let spot = self.spot.word(w);
            word &= match class.hold {
                None => u64::MAX,
                Some(MachineUsage::Spot) => spot,
                Some(hold) => {
                    let (settled, used) = (self.settled.word(w), self.used.word(w));
                    let held = match hold {
                        MachineUsage::Settled => settled,
                        MachineUsage::Used => used & !settled,
                        _ => !used & !settled,
                    };
                    if ask.spot { held & !spot } else { held }
                }
            };
            if let Some(strands) = class.strands {
                word &= if strands {
                    self.gpus.word(w)
                } else {
                    !self.gpus.word(w)
                };
            }
            if let Some(kin) = class.kin {
                let (some, more, most) = kindred.map_or((0, 0, 0), |k| {
                    (k.some.word(w), k.more.word(w), k.most.word(w))
                });
                word &= match kin {
                    ReplicaSpread::Nobody => !some,
                    ReplicaSpread::One => some & !more & !most,
                    ReplicaSpread::Few => more,
                    ReplicaSpread::Most => most,
                };
            }
            if let (Some(light), Some(zones)) =
                (class.light, kindred.and_then(|k| k.light.as_ref()))
            {
                word &= if light { zones.word(w) } else { !zones.word(w) };
            }
            while word != 0 {
                let bit = word & word.wrapping_neg();
                word ^= bit;
                let i = w * 64 + bit.trailing_zeros() as usize;
                self.look(1);
                if !self.fits(ask, i) {
                    row.0[w] &= !bit;
                    continue;
                }
                let key = self.packing(ask, i, anywhere);
                if best.is_none_or(|(least, _)| key < least) {
                    best = Some((key, i));
                }
            }
        }
        best.map(|(_, i)| i)
    }

    fn fits(&self, ask: &PlacementRequest<'_>, i: usize) -> bool {
        let slot = &self.slots[i];
        slot.free.covers(&ask.need) && !(ask.frugal && !slot.spot && slot.busy == 0)
    }

    /// What comes first among machines that are alike to the trade: cheap room for
    /// those who may use it, then machines in use, those with most tasks first, so
    /// that others run empty: whole machines stay free or can be returned. What lasts
    /// goes to where most of its kind is: a machine that one replica holds for an
    /// hour is paid for whole.
    fn packing(
        &self,
        ask: &PlacementRequest<'_>,
        i: usize,
        anywhere: bool,
    ) -> impl Ord + Copy + use<> {
        let slot = &self.slots[i];
        let company = if ask.lasting { slot.lasting } else { 0 };
        // Its arrival drops from the cache what others would miss; and one fetch more
        // would share the machine's rate.
        let drops = anywhere && ask.image_mb > slot.spare_mb;
        let fetches = if anywhere { slot.fetches } else { 0 };
        // What needs no accelerator goes where none is left idle beside it.
        let strands = ask.need.milli_gpus == 0 && slot.free.milli_gpus > 0;
        let (after, of) = self.begins;
        let begin = if ask.lasting {
            self.slots.len() * after / of.max(1)
        } else {
            0
        };
        let turn = (i + self.slots.len() - begin) % self.slots.len();
        (
            strands,
            ask.spot && !slot.spot,
            slot.busy == 0,
            drops,
            fetches,
            std::cmp::Reverse((company, slot.busy)),
            turn,
        )
    }

    /// The first machine that fits, wherever the image is.
    pub fn first_fit(&self, ask: &PlacementRequest<'_>) -> Option<usize> {
        let bits = self.allowed(ask);
        self.look(bits.0.len());
        let fits = |&i: &usize| {
            self.look(1);
            self.fits(ask, i)
        };
        bits.ones()
            .filter(fits)
            .min_by_key(|&i| self.packing(ask, i, true))
    }

    /// The machine on which least must be pushed out, among those where that
    /// suffices; one that has the image goes first, then one that fetches least, then
    /// one without replicas of the same job.
    pub fn evict_fit(
        &self,
        ask: &PlacementRequest<'_>,
        rank: Priority,
        over: bool,
        with_image: bool,
        kindred: Option<&PlacedReplicas>,
    ) -> Option<usize> {
        let rank = rank.index();
        let image = self.images.get(ask.image);
        let has_image = |i: usize| image.is_some_and(|row| row.has(i));
        let bits = self.allowed(ask);
        self.look(bits.0.len());
        bits.ones()
            .filter(|&i| !with_image || has_image(i))
            .filter_map(|i| {
                self.look(1);
                let slot = &self.slots[i];
                let soft = if over { &slot.soft_over } else { &slot.soft };
                let room = soft.get(rank)?;
                // One fetch more would share the machine's rate.
                let fetches = if has_image(i) { 0 } else { slot.fetches };
                let kin = kindred.is_some_and(|k| k.some.has(i));
                let rest = (
                    std::cmp::Reverse(fetches),
                    !kin,
                    std::cmp::Reverse(ask.need.minus(&slot.free)),
                );
                slot.free
                    .plus(room)
                    .covers(&ask.need)
                    .then(|| (has_image(i), rest, i))
            })
            .max_by_key(|(image, rest, i)| (*image, *rest, std::cmp::Reverse(*i)))
            .map(|(_, _, i)| i)
    }

    /// True if a machine in use has room and the image for one more beside one
    /// on machine `i`.
    pub fn fits_besides(&self, ask: &PlacementRequest<'_>, i: usize) -> bool {
        let mut bits = self.allowed(ask);
        self.look(bits.0.len());
        if let Some(row) = self.images.get(ask.image) {
            bits.and(row);
        }
        let room = |j: usize| {
            if j == i {
                self.slots[j].free.minus(&ask.need)
            } else {
                self.slots[j].free
            }
        };
        bits.ones()
            .any(|j| self.slots[j].busy > 0 && room(j).covers(&ask.need))
    }

    /// Takes room on a machine.
    pub fn take(&mut self, i: usize, need: &Resources, image: &str) {
        let slot = &mut self.slots[i];
        let pushed = need.minus(&slot.free);
        for room in slot.soft.iter_mut().chain(&mut slot.soft_over) {
            *room = room.minus(&pushed);
        }
        slot.free = slot.free.minus(need);
        slot.busy += 1;
        if !self.has_image(i, image) && !self.coming.get(image).is_some_and(|row| row.has(i)) {
            self.slots[i].fetches += 1;
            mark(&mut self.coming, image, i);
        }
        self.mark_use(i);
    }

    /// What was taken there lasts.
    pub fn stays(&mut self, i: usize) {
        self.slots[i].lasting += 1;
        self.mark_use(i);
    }

    /// True if a machine has an image.
    pub fn has_image(&self, i: usize, image: &str) -> bool {
        self.images.get(image).is_some_and(|row| row.has(i))
    }

    /// The position of a machine.
    pub fn find(&self, id: &MachineId) -> Option<usize> {
        self.index.get(id).copied()
    }
}
