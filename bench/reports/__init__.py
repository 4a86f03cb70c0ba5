"""Tables and plots of results, and copies of admin pages."""
