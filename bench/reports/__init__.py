"""Tables and plots of results."""
