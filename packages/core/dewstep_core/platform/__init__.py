"""Clients of the platform's services: table, instance list and object store."""
