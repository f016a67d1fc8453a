"""Simulation of the ownership of keys under faults, ordered by a seed."""
