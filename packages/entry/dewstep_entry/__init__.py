"""The entry process, which routes requests to the targets that own their keys."""
