//! Distributions from which a scenario draws values such as run times.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal, Pareto};
use toml::de::DeValue;

use crate::toml_section::{TomlSection, as_number};

/// Upper bound of fixed values and distribution parameters.
const MAX_PARAMETER: f64 = 1e9;

/// A distribution from which values are drawn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueDistribution {
    /// Always this value.
    Fixed(f64),
    /// Uniform between two bounds.
    Uniform {
        /// Smallest value.
        low: f64,
        /// Largest value.
        high: f64,
    },
    /// Exponential distribution.
    Exponential {
        /// Mean of the values.
        mean: f64,
    },
    /// Log-normal distribution.
    LogNormal {
        /// Median of the values.
        median: f64,
        /// Standard deviation of the natural logarithm of the values.
        sigma: f64,
    },
    /// Pareto distribution.
    Pareto {
        /// Smallest value.
        least: f64,
        /// Shape parameter; the smaller it is, the more large values occur.
        shape: f64,
    },
}

impl ValueDistribution {
    /// Draws a value; negative values become 0.
    pub fn draw(&self, rng: &mut ChaCha8Rng) -> f64 {
        // Parameters are validated when the file is read. A distribution that still can't
        // be constructed yields its first parameter.
        let value = match *self {
            Self::Fixed(value) => value,
            Self::Uniform { low, high } => low + (high - low) * rng.random::<f64>(),
            Self::Exponential { mean } => Exp::new(1.0 / mean).map_or(mean, |d| d.sample(rng)),
            Self::LogNormal { median, sigma } => {
                LogNormal::new(median.ln(), sigma).map_or(median, |d| d.sample(rng))
            }
            Self::Pareto { least, shape } => {
                Pareto::new(least, shape).map_or(least, |d| d.sample(rng))
            }
        };
        value.max(0.0)
    }

    /// Reads a field: a number, or a table that names a distribution. An absent field takes
    /// the value `default`, and is an error if there is none.
    pub(super) fn read(section: &TomlSection<'_>, name: &str, default: Option<f64>) -> Self {
        match section.value(name) {
            Some(DeValue::Table(_)) => Self::read_table(&section.table(name)),
            Some(value) if as_number(value).is_some() => {
                Self::Fixed(section.number(name, 0.0, MAX_PARAMETER, None))
            }
            _ => Self::Fixed(section.number(name, 0.0, MAX_PARAMETER, default)),
        }
    }

    fn read_table(table: &TomlSection<'_>) -> Self {
        let parameter = |name: &str, min: f64, max: f64| table.number(name, min, max, None);
        let kinds = ["uniform", "exponential", "lognormal", "pareto"].map(|kind| (kind, kind));
        match table.one_of("dist", &kinds, None) {
            Some("uniform") => {
                let low = parameter("low", 0.0, MAX_PARAMETER);
                let high = parameter("high", 0.0, MAX_PARAMETER);
                if high < low {
                    table.error("high", "is below low");
                }
                Self::Uniform { low, high }
            }
            Some("exponential") => Self::Exponential {
                mean: parameter("mean", 1e-9, MAX_PARAMETER),
            },
            Some("lognormal") => Self::LogNormal {
                median: parameter("median", 1e-9, MAX_PARAMETER),
                sigma: parameter("sigma", 0.0, 10.0),
            },
            Some("pareto") => Self::Pareto {
                least: parameter("least", 1e-9, MAX_PARAMETER),
                shape: parameter("shape", 0.01, 100.0),
            },
            _ => Self::Fixed(0.0),
        }
    }
}
