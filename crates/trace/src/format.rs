//! The supported trace formats and their names.

/// A published trace format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Standard Workload Format.
    Swf,
    /// Google cluster data 2011, version 2.
    Google2011,
    /// Google cluster data 2019, version 3.
    Google2019,
    /// Alibaba cluster trace 2018.
    Alibaba2018,
    /// Alibaba PAI 2020, with fractional GPUs.
    Pai2020,
    /// Microsoft Philly traces.
    Philly,
}

impl Format {
    /// All formats with their names on the command line.
    pub const ALL: [(&'static str, Format); 6] = [
        ("swf", Format::Swf),
        ("google-2011", Format::Google2011),
        ("google-2019", Format::Google2019),
        ("alibaba-2018", Format::Alibaba2018),
        ("pai-2020", Format::Pai2020),
        ("philly", Format::Philly),
    ];

    /// Name of the format on the command line.
    pub fn name(self) -> &'static str {
        Self::ALL
            .iter()
            .find(|(_, f)| *f == self)
            .map_or("", |(name, _)| name)
    }

    /// Describes the units that are relative to a machine's capacity; `None` if all units are
    /// absolute.
    pub(crate) fn relative_units(self) -> Option<&'static str> {
        match self {
            Format::Google2011 | Format::Google2019 => {
                Some("CPUs and memory are fractions of the largest machine's capacity")
            }
            Format::Alibaba2018 => Some("memory is a percentage of a machine's memory"),
            Format::Swf | Format::Pai2020 | Format::Philly => None,
        }
    }
}
