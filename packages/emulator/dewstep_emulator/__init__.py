"""Stand-ins for the platform and the targets, load tool and history checker."""
