"""Command line for operators to inspect and change a running deployment."""
