//! One task's walk over the classes of all parts' machines.

use std::collections::BTreeMap;

use lemonweir_model::MachineId;

use super::trade::{ImageLocality, PlacementClass, PlacementRisk, ReplicaSpread};
use crate::placement::{BitSet, PlacementIndex, PlacementRequest};

/// Where replicas of the task's job are, as rows of one field: machines with one or
/// more, of these with two or more, and with so many that one more would be over half.
#[derive(Clone, Debug, Default)]
pub struct PlacedReplicas {
    pub(crate) some: BitSet,
    pub(crate) more: BitSet,
    pub(crate) most: BitSet,
    /// Zones that have less than their share, if that makes a difference.
    pub(crate) light: Option<BitSet>,
}

impl PlacedReplicas {
    /// Of the machines that have replicas of a job, each once a replica, and the
    /// zones that have less than their share.
    pub fn of<'a>(
        field: &PlacementIndex,
        stakes: &PlacementRisk,
        machines: impl Iterator<Item = &'a MachineId>,
        light: Option<&[&str]>,
    ) -> Self {
        let mut rows = Self {
            light: light.map(|zones| field.zones_row(zones)),
            ..Self::default()
        };
        let mut counts: BTreeMap<usize, u32> = BTreeMap::new();
        machines
            .filter_map(|id| field.find(id))
            .for_each(|i| *counts.entry(i).or_default() += 1);
        for (i, n) in counts {
            rows.some.set(i);
            match stakes.kin(n) {
                ReplicaSpread::Few => rows.more.set(i),
                ReplicaSpread::Most => rows.most.set(i),
                ReplicaSpread::Nobody | ReplicaSpread::One => {}
            }
        }
        rows
    }
}

/// What is left to look at of one field, by the nearness of the weights.
struct Left {
    /// Machines that the task may go to.
    allowed: BitSet,
    /// Of these, for each nearness, those that no class has held yet; `None`: not
    /// asked for yet.
    near: [Option<BitSet>; 6],
}

/// One task's walk. Classes are disjoint, and what a class held that had no room is
/// not looked at again.
pub struct Walk<'a> {
    fields: &'a [PlacementIndex],
    /// Parts in their order, each with whether its owner is told through the store.
    order: &'a [(usize, bool)],
    ask: &'a PlacementRequest<'a>,
    kindred: &'a [PlacedReplicas],
    left: Vec<Option<Left>>,
}

impl<'a> Walk<'a> {
    /// A walk that has not begun. `kindred`: one for each field, or none at all.
    pub fn new(
        fields: &'a [PlacementIndex],
        order: &'a [(usize, bool)],
        ask: &'a PlacementRequest<'a>,
        kindred: &'a [PlacedReplicas],
    ) -> Self {
        Self {
            fields,
            order,
            ask,
            kindred,
            left: fields.iter().map(|_| None).collect(),
        }
    }

    /// The first machine with room in the first of these classes that has one: its
    /// part, its position there and its class.
    pub fn find(&mut self, classes: &[PlacementClass]) -> Option<(usize, usize, PlacementClass)> {
        classes.iter().find_map(|class| {
            let order = self.order;
            order
                .iter()
                .filter(|(_, mail)| class.mail.is_none_or(|m| m == *mail))
                .find_map(|&(p, _)| self.first_of(p, class).map(|i| (p, i, *class)))
        })
    }

    fn first_of(&mut self, p: usize, class: &PlacementClass) -> Option<usize> {
        let (field, ask) = (&self.fields[p], self.ask);
        let left = self.left[p].get_or_insert_with(|| Left {
            allowed: field.allowed(ask),
            near: Default::default(),
        });
        let row = left.near[near_index(class.near)]
            .get_or_insert_with(|| field.near_row(&left.allowed, ask.image, class.near));
        if row.is_empty() {
            return None;
        }
        field.first_of(ask, row, class, self.kindred.get(p))
    }
}

fn near_index(near: ImageLocality) -> usize {
    match near {
        ImageLocality::Here => 0,
        ImageLocality::Coming => 1,
        ImageLocality::Away => 2,
        ImageLocality::Beside => 3,
        ImageLocality::Crowded => 4,
        ImageLocality::Anywhere => 5,
    }
}
