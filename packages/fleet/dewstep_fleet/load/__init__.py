"""What instances expect of the load at targets, beyond what they see themselves."""
