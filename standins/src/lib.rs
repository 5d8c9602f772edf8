//! Test tool of bramleypier.
