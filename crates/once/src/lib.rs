//! Will hold the area that docs/design.md names.
