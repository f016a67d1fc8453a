"""Emulated platform and targets, load generator, history checker and test scenarios."""
