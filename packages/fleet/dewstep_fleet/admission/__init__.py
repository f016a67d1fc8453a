"""Which requests are sent to a target, sent again, or refused."""
