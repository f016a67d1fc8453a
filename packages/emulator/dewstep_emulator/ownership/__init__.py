"""Deterministic simulation of the code that decides who owns a key."""
