"""The view of the fleet in this process and the tasks that keep it up to date."""
