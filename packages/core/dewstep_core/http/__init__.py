"""Thin asyncio loops around the h11 state machine."""
