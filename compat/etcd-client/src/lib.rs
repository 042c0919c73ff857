//! Empty library. The package exists for its integration tests.
