"""To be filled."""
