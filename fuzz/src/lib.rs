//! Fuzzing of lemonweir's parsers of untrusted input. The targets in `tests/` run as ordinary
//! tests with a fixed seed for some seconds, or for the time set by
//! `BOLERO_RANDOM_TEST_TIME_MS`. See `docs/fuzzing.md`.
