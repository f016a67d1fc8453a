"""What this process knows of the fleet, and how it learns of changes."""
