"""Links between entry processes."""
