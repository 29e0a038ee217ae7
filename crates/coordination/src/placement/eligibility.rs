//! Filters machines by the constraints of a request and by image locality.

use std::collections::HashMap;

use super::bit_set::BitSet;
use super::index::PlacementIndex;
use super::request::PlacementRequest;
use crate::image_locality::scoring::ImageLocality;

impl PlacementIndex {
    /// Machines that satisfy all constraints of a request except its resources.
    pub(super) fn eligible(&self, request: &PlacementRequest<'_>) -> BitSet {
        let mut eligible = self.schedulable.clone();
        if let Some(types) = request.machine_types {
            let names = types.iter().map(String::as_str);
            eligible.intersect(&self.union_of(&self.by_machine_type, names));
        }
        if let Some(zones) = &request.zones {
            eligible.intersect(&self.zones_row(zones));
        }
        if !request.spot_allowed {
            eligible.subtract(&self.spot);
        }
        if let Some(machines) = request.restricted_to {
            let mut row = BitSet::zeros(self.slots.len());
            machines
                .iter()
                .filter_map(|id| self.position(id))
                .for_each(|slot| row.set(slot));
            eligible.intersect(&row);
        }
        request
            .excluded_machines
            .iter()
            .filter_map(|id| self.position(id))
            .for_each(|slot| eligible.clear(slot));
        eligible
    }

    /// Machines in any of these zones.
    pub(super) fn zones_row(&self, zones: &[&str]) -> BitSet {
        self.union_of(&self.by_zone, zones.iter().copied())
    }

    /// Union of the rows with these names.
    fn union_of<'a>(
        &self,
        rows: &HashMap<String, BitSet>,
        names: impl Iterator<Item = &'a str>,
    ) -> BitSet {
        let mut union = BitSet::zeros(self.slots.len());
        names
            .filter_map(|name| rows.get(name))
            .for_each(|row| union.union(row));
        union
    }

    /// The eligible machines that have this locality of the image.
    pub(super) fn with_image_locality(
        &self,
        eligible: &BitSet,
        image: &str,
        locality: ImageLocality,
    ) -> BitSet {
        let cached = self.by_cached_image.get(image);
        let fetching = self.by_fetching_image.get(image);
        let mut row = eligible.clone();
        let subtract_cached_and_fetching = |row: &mut BitSet| {
            cached
                .into_iter()
                .chain(fetching)
                .for_each(|machines| row.subtract(machines));
        };
        match locality {
            ImageLocality::Cached => match cached {
                Some(cached) => row.intersect(cached),
                None => return BitSet::default(),
            },
            ImageLocality::Fetching => match fetching {
                Some(fetching) => {
                    row.intersect(fetching);
                    cached.into_iter().for_each(|cached| row.subtract(cached));
                }
                None => return BitSet::default(),
            },
            ImageLocality::Absent => {
                subtract_cached_and_fetching(&mut row);
                row.subtract(&self.fetching);
            }
            ImageLocality::AbsentOneFetch => {
                subtract_cached_and_fetching(&mut row);
                row.intersect(&self.fetching);
                row.subtract(&self.fetching_several);
            }
            ImageLocality::AbsentSeveralFetches => {
                subtract_cached_and_fetching(&mut row);
                row.intersect(&self.fetching_several);
            }
            ImageLocality::AbsentAnywhere => subtract_cached_and_fetching(&mut row),
        }
        row
    }
}
