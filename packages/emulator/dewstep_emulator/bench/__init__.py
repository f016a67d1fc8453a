"""Benchmarks with real processes: named scenarios, measures and comparison."""
