"""Balances the load of the targets by moving shards and hot keys."""
