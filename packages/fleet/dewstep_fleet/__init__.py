"""Instances that send to targets directly; a coordinator grants the key ranges."""
