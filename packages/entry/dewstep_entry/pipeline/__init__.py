"""The stages that a caller's request passes before it reaches a gate."""
