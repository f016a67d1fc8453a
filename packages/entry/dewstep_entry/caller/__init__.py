"""Connections of callers: requests in, answers out."""
