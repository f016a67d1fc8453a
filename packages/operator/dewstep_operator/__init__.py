"""The command with which operators inspect and change a running fleet."""
