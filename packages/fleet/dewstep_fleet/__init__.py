"""Instances that route requests to targets, and their elected coordinator."""
