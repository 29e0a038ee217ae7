//! Fuzzing of lemonweir's parsers of untrusted input. The targets are in `tests/`: they run as
//! ordinary tests with a fixed seed for some seconds, and as long as wanted
//! with `BOLERO_RANDOM_TEST_TIME_MS`. `docs/fuzzing.md` says how.
