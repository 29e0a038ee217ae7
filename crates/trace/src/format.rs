//! The published trace formats that are read.

/// The formats that are read.
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
    /// Alibaba PAI 2020, with shares of accelerators.
    Pai2020,
    /// Microsoft Philly.
    Philly,
}

impl Format {
    /// All of them, with the names that the command line uses.
    pub const ALL: [(&'static str, Format); 6] = [
        ("swf", Format::Swf),
        ("google-2011", Format::Google2011),
        ("google-2019", Format::Google2019),
        ("alibaba-2018", Format::Alibaba2018),
        ("pai-2020", Format::Pai2020),
        ("philly", Format::Philly),
    ];

    /// Its name on the command line.
    pub fn name(self) -> &'static str {
        Self::ALL
            .iter()
            .find(|(_, f)| *f == self)
            .map_or("", |(name, _)| name)
    }

    /// Why its units mean nothing without the size of the trace's machine; none: they do.
    pub(crate) fn relative_units(self) -> Option<&'static str> {
        match self {
            Format::Google2011 | Format::Google2019 => {
                Some("processors and memory are shares of the largest machine")
            }
            Format::Alibaba2018 => Some("memory is a percentage of a machine's"),
            Format::Swf | Format::Pai2020 | Format::Philly => None,
        }
    }
}
