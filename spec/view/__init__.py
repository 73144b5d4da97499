"""View, authority and shares."""
