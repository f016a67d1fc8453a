"""Benchmarks with real processes: scenarios, measures and comparison of reports."""
