//! The judge of the promises.
